/**
 * Keeps prompts away from the servers that hold a part which crashes each server that begins to answer. Evidence is
 * pooled over all nodes; a complete answer clears a part.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { PromptPart } from "../placement/prefixCacheModel.js";
import {
    addCrash,
    buildCrashReport,
    createCrashRecord,
    listOpenCrashes,
    mergeCrashReport,
    type CrashRecord,
    type CrashReport,
} from "./crashRecord.js";
import { selectHarmfulParts, type HarmfulPart } from "./harmfulParts.js";

/** Whether a prompt may be sent: as usual, as the only test of a part, or not because of a part. */
export type QuarantineDecision =
    | { readonly type: "send" }
    | { readonly type: "probe"; readonly part: string }
    | { readonly type: "refuse"; readonly part: string };

/** Time for which a part is refused after its last loss, by the number of losses beyond the evidence, in milliseconds. */
const quarantineMs = [4_000, 15_000, 60_000, 240_000] as const;
/** Time for which a node waits for the outcome of a test before another one is sent, in milliseconds. */
const probeTimeoutMs = 5_000;
/** Time for which a record is kept after a part is no longer refused, in milliseconds. */
const retentionMs = 60_000;
/** Time for which it is remembered that a prompt with a part was answered, in milliseconds. */
const goodRetentionMs = 120_000;
/** Maximum number of parts whose answers are remembered; beyond it the oldest are forgotten. */
const maximumGoodParts = 4_000;
/** Time for which a response may have run when its server was lost, in milliseconds; a harmful part crashes it sooner. */
const maximumRunningMs = 1_000;

/** Decides which prompts are refused because of a harmful part. */
export class PromptQuarantine {
    private readonly records = new Map<string, CrashRecord>();
    /** Time of the last complete answer by part, the least recent first. */
    private readonly goodParts = new Map<string, number>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Checks a prompt before it is sent.
     *
     * @param parts - All parts of the prompt; the last one is its own and is never harmful.
     * @param canProbe - Whether the request may serve as a test; a retry may not.
     * @returns The decision; a test counts as sent.
     */
    checkPrompt(parts: readonly PromptPart[], canProbe: boolean): QuarantineDecision {
        if (this.records.size === 0) {
            return { type: "send" };
        }
        const nowMs = this.clock.monotonicMs();
        const harmful = this.listHarmful(nowMs);
        const found = listShared(parts).filter((part) => harmful.has(part));
        const refused = found.find((part) => !this.isProbeDue(part, harmful.get(part)!, nowMs));
        const [first] = found;
        if (first === undefined) {
            return { type: "send" };
        }
        if (refused !== undefined || !canProbe) {
            return { type: "refuse", part: refused ?? first };
        }
        found.forEach((part) => {
            this.records.get(part)!.probeMs = nowMs;
        });
        return { type: "probe", part: first };
    }

    /**
     * Records that a server was lost while a response was in flight.
     *
     * @param parts - All parts of the prompt.
     * @param server - The server and its start.
     * @param runningMs - Time since the first data of the response, in milliseconds; undefined when none had arrived.
     * @returns Whether this is new evidence, which other nodes have to know.
     */
    recordLoss(parts: readonly PromptPart[], server: string, runningMs: number | undefined): boolean {
        if ((runningMs ?? 0) > maximumRunningMs) {
            return false;
        }
        const nowMs = this.clock.monotonicMs();
        const isNew = listShared(parts).map((part, depth) => {
            const record = this.ensureRecord(part);
            record.depth = Math.max(record.depth, depth);
            return addCrash(record, { server, atMs: nowMs });
        });
        return isNew.includes(true);
    }

    /**
     * Records a complete answer, which clears the parts of its prompt.
     *
     * @param parts - All parts of the prompt.
     * @returns Whether it clears a part of open evidence, which other nodes have to know.
     */
    recordAnswer(parts: readonly PromptPart[]): boolean {
        const nowMs = this.clock.monotonicMs();
        let hasCleared = false;
        for (const part of listShared(parts)) {
            this.goodParts.delete(part);
            this.goodParts.set(part, nowMs);
            const record = this.records.get(part);
            if (record !== undefined) {
                hasCleared ||= listOpenCrashes(record).length > 0;
                record.goodMs = nowMs;
            }
        }
        this.removeOldGoodParts(nowMs);
        return hasCleared;
    }

    /**
     * Builds reports of all evidence for other nodes.
     *
     * @param limit - Maximum number of parts; those with the most losses come first.
     * @returns The reports; empty when there is no evidence.
     */
    buildReports(limit: number): readonly CrashReport[] {
        const nowMs = this.clock.monotonicMs();
        this.removeOldRecords(nowMs);
        return [...this.records.values()]
            .sort((left, right) => right.crashes.length - left.crashes.length)
            .slice(0, limit)
            .map((record) => buildCrashReport(record, nowMs));
    }

    /**
     * Merges reports of another node.
     *
     * @param reports - The reports.
     */
    mergeReports(reports: readonly CrashReport[]): void {
        const nowMs = this.clock.monotonicMs();
        reports.forEach((report) => mergeCrashReport(this.ensureRecord(report.part), report, nowMs));
    }

    /** @returns The parts that are taken for harmful now. */
    listHarmfulParts(): readonly string[] {
        return [...this.listHarmful(this.clock.monotonicMs()).keys()];
    }

    private listHarmful(nowMs: number): ReadonlyMap<string, HarmfulPart> {
        this.removeOldRecords(nowMs);
        return selectHarmfulParts([...this.records.values()], nowMs);
    }

    private isProbeDue(part: string, { furtherCrashes, lastCrashMs }: HarmfulPart, nowMs: number): boolean {
        const { probeMs } = this.records.get(part)!;
        return nowMs - lastCrashMs >= selectQuarantineMs(furtherCrashes) && nowMs - probeMs >= probeTimeoutMs;
    }

    private ensureRecord(part: string): CrashRecord {
        const known = this.records.get(part);
        if (known !== undefined) {
            return known;
        }
        const created = createCrashRecord(part);
        created.goodMs = this.goodParts.get(part) ?? created.goodMs;
        this.records.set(part, created);
        return created;
    }

    private removeOldRecords(nowMs: number): void {
        for (const [part, record] of this.records) {
            const lastMs = Math.max(record.probeMs, ...record.crashes.map(({ atMs }) => atMs));
            if (nowMs - lastMs > selectQuarantineMs(record.crashes.length) + retentionMs) {
                this.records.delete(part);
            }
        }
    }

    private removeOldGoodParts(nowMs: number): void {
        for (const [part, goodMs] of this.goodParts) {
            if (nowMs - goodMs <= goodRetentionMs && this.goodParts.size <= maximumGoodParts) {
                return;
            }
            this.goodParts.delete(part);
        }
    }
}

function listShared(parts: readonly PromptPart[]): readonly string[] {
    return parts.slice(0, -1).map(({ id }) => id);
}

function selectQuarantineMs(furtherCrashes: number): number {
    return quarantineMs[Math.min(furtherCrashes, quarantineMs.length - 1)]!;
}
