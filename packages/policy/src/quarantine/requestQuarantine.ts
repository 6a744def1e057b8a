/**
 * Keeps requests away from the servers that crash each server which begins to run them: because of a part of their
 * prompt, or because of the request itself. Evidence is pooled over all nodes; a complete answer clears a cause.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { PromptPart } from "../placement/prefixCacheModel.js";
import {
    addCrash,
    buildCrashReport,
    buildRequestCause,
    createCrashRecord,
    listOpenCrashes,
    mergeCrashReport,
    type CrashRecord,
    type CrashReport,
} from "./crashRecord.js";
import { selectHarmfulCauses, type HarmfulCause } from "./harmfulCauses.js";

/** What of a request may be the cause of crashes. */
export interface RequestTraits {
    /** All parts of the prompt; the last one is its own and no cause by itself. Empty without a prompt. */
    readonly parts: readonly PromptPart[];
    /**
     * Reads the digest that requests of one caller with the same path and body have in common. It is costly, so it is
     * only read while there is evidence.
     */
    readonly readDigest: () => string;
}

/** A loss of a server while it ran a request. */
export interface ServerLoss {
    /** The server and its start. */
    readonly server: string;
    /** Time since the first data of the response, in milliseconds; undefined when none had arrived. */
    readonly runningMs?: number | undefined;
    /** Monotonic time at which the request was sent, in milliseconds; undefined when not known. */
    readonly sentMs?: number | undefined;
    /** Monotonic time of the loss, in milliseconds. */
    readonly atMs: number;
}

/** Whether a request may be sent: as usual, as the only test of a cause, or not because of a cause. */
export type QuarantineDecision =
    | { readonly type: "send" }
    | { readonly type: "probe"; readonly cause: string }
    | { readonly type: "refuse"; readonly cause: string };

/**
 * Time for which a cause is refused after its last loss, by the number of losses beyond the evidence, in milliseconds. A
 * request that is certain to be the cause begins with the second one, since its test costs a server and serves nobody.
 */
const quarantineMs = [4_000, 15_000, 60_000, 240_000] as const;
/** Time for which a node waits for the outcome of a test before another one is sent, in milliseconds. */
const probeTimeoutMs = 5_000;
/** Time for which a record is kept after a cause is no longer refused, in milliseconds. */
const retentionMs = 60_000;
/** Maximum number of records; beyond it the ones that have not changed for longest are removed. */
const maximumRecords = 1_000;
/** Time for which it is remembered that a prompt with a part was answered, in milliseconds. */
const goodRetentionMs = 120_000;
/** Maximum number of parts whose answers are remembered; beyond it the oldest are forgotten. */
const maximumGoodParts = 4_000;
/** Time for which a response may have run when its server was lost, in milliseconds; a harmful cause crashes it sooner. */
const maximumRunningMs = 1_000;

/** Decides which requests are refused because of a harmful cause. */
export class RequestQuarantine {
    /** The evidence by cause, the least recently changed first. */
    private readonly records = new Map<string, CrashRecord>();
    /** Time of the last complete answer by part, the least recent first. */
    private readonly goodParts = new Map<string, number>();
    /** Number of records that periodic reports have passed. */
    private reportedCount = 0;

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Checks a request before it is sent.
     *
     * @param traits - The request.
     * @param canProbe - Whether the request may serve as a test; a retry may not.
     * @returns The decision; a test counts as sent.
     */
    checkRequest(traits: RequestTraits, canProbe: boolean): QuarantineDecision {
        if (this.records.size === 0) {
            return { type: "send" };
        }
        const nowMs = this.clock.monotonicMs();
        const harmful = this.listHarmful(nowMs);
        if (harmful.size === 0) {
            return { type: "send" };
        }
        const found = listCauses(traits).filter((cause) => harmful.has(cause));
        const refused = found.find((cause) => !this.isProbeDue(cause, harmful.get(cause)!, nowMs));
        const [first] = found;
        if (first === undefined) {
            return { type: "send" };
        }
        if (refused !== undefined || !canProbe) {
            return { type: "refuse", cause: refused ?? first };
        }
        found.forEach((cause) => {
            this.records.get(cause)!.probeMs = nowMs;
            this.moveToEnd(cause);
        });
        return { type: "probe", cause: first };
    }

    /**
     * Records that a server was lost while it ran a request.
     *
     * @param traits - The request.
     * @param loss - The loss.
     * @returns Whether this is new evidence, which other nodes have to know.
     */
    recordLoss(traits: RequestTraits, { server, runningMs, sentMs, atMs }: ServerLoss): boolean {
        if ((runningMs ?? 0) > maximumRunningMs) {
            return false;
        }
        const isNew = listCauses(traits).map((cause, index) => {
            const record = this.ensureRecord(cause);
            record.depth = Math.max(record.depth, index);
            this.moveToEnd(cause);
            return addCrash(record, { server, atMs, sentMs });
        });
        return isNew.includes(true);
    }

    /**
     * Records a complete answer, which clears the causes of its request.
     *
     * @param traits - The request.
     * @returns Whether it clears a cause with open evidence, which other nodes have to know.
     */
    recordAnswer(traits: RequestTraits): boolean {
        const nowMs = this.clock.monotonicMs();
        for (const part of listSharedParts(traits)) {
            this.goodParts.delete(part);
            this.goodParts.set(part, nowMs);
        }
        this.removeOldGoodParts(nowMs);
        if (this.records.size === 0) {
            return false;
        }
        let hasCleared = false;
        for (const cause of listCauses(traits)) {
            const record = this.records.get(cause);
            if (record !== undefined) {
                hasCleared ||= listOpenCrashes(record).length > 0;
                record.goodMs = nowMs;
                this.moveToEnd(cause);
            }
        }
        return hasCleared;
    }

    /**
     * Builds reports of the evidence that changed last, for other nodes.
     *
     * @param limit - Maximum number of causes.
     * @returns The reports; empty when there is no evidence.
     */
    buildReports(limit: number): readonly CrashReport[] {
        const nowMs = this.clock.monotonicMs();
        this.removeOldRecords(nowMs);
        return [...this.records.values()].slice(-limit).map((record) => buildCrashReport(record, nowMs));
    }

    /**
     * Builds reports of all evidence in turn, so that no cause is left out while there are more than a message holds.
     *
     * @param limit - Maximum number of causes.
     * @returns The reports; empty when there is no evidence.
     */
    takeReports(limit: number): readonly CrashReport[] {
        const nowMs = this.clock.monotonicMs();
        this.removeOldRecords(nowMs);
        const records = [...this.records.values()];
        const start = this.reportedCount < records.length ? this.reportedCount : 0;
        this.reportedCount = start + limit;
        return records.slice(start, start + limit).map((record) => buildCrashReport(record, nowMs));
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

    /** @returns What is taken for harmful now. */
    listHarmfulCauses(): readonly string[] {
        return [...this.listHarmful(this.clock.monotonicMs()).keys()];
    }

    private listHarmful(nowMs: number): ReadonlyMap<string, HarmfulCause> {
        this.removeOldRecords(nowMs);
        return selectHarmfulCauses([...this.records.values()], nowMs);
    }

    private isProbeDue(
        cause: string,
        { furtherCrashes, lastCrashMs, isCertainRequest }: HarmfulCause,
        nowMs: number,
    ): boolean {
        const { probeMs } = this.records.get(cause)!;
        const refusedMs = selectQuarantineMs(furtherCrashes + Number(isCertainRequest));
        return nowMs - lastCrashMs >= refusedMs && nowMs - probeMs >= probeTimeoutMs;
    }

    private ensureRecord(cause: string): CrashRecord {
        const known = this.records.get(cause);
        if (known !== undefined) {
            return known;
        }
        const created = createCrashRecord(cause);
        created.goodMs = this.goodParts.get(cause) ?? created.goodMs;
        this.records.set(cause, created);
        const [oldest] = this.records.keys();
        if (this.records.size > maximumRecords && oldest !== undefined) {
            this.records.delete(oldest);
        }
        return created;
    }

    private moveToEnd(cause: string): void {
        const record = this.records.get(cause)!;
        this.records.delete(cause);
        this.records.set(cause, record);
    }

    private removeOldRecords(nowMs: number): void {
        for (const [cause, record] of this.records) {
            const lastMs = Math.max(record.probeMs, ...record.crashes.map(({ atMs }) => atMs));
            if (nowMs - lastMs > selectQuarantineMs(record.crashes.length) + retentionMs) {
                this.records.delete(cause);
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

/** Lists what may be the cause: the parts of the prompt that others share, and the request itself. */
function listCauses(traits: RequestTraits): readonly string[] {
    return [...listSharedParts(traits), buildRequestCause(traits.readDigest())];
}

function listSharedParts({ parts }: RequestTraits): readonly string[] {
    return parts.slice(0, -1).map(({ id }) => id);
}

function selectQuarantineMs(furtherCrashes: number): number {
    return quarantineMs[Math.min(furtherCrashes, quarantineMs.length - 1)]!;
}
