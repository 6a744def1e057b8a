/**
 * Limits of customers and keys over all nodes.
 *
 * @packageDocumentation
 */
import type { Limits } from "@pimentocleat/schema";
import type { Clock } from "@pimentocleat/types";
import type { LimitRefusal, SubjectUsage } from "./subjectLimits.js";
import { SubjectLimits } from "./subjectLimits.js";

/** Usage of limited customers and keys on one node, for the other nodes. */
export interface LimitSummary {
    readonly node: string;
    /** Grows with each summary of the node's incarnation. */
    readonly sequence: number;
    readonly usage: Readonly<Record<string, SubjectUsage>>;
}

/** Checks limits; a subject is a customer or a key, such as `customer/press` or `key/press-1`. */
export class Limiter {
    private readonly subjects = new Map<string, SubjectLimits>();
    private readonly peerSequences = new Map<string, number>();
    private readonly announcedUsage = new Map<string, SubjectUsage>();
    private sequence = 0;

    /**
     * @param clock - Source of time.
     * @param node - This node.
     */
    constructor(
        private readonly clock: Clock,
        private readonly node: string,
    ) {}

    /** @param limits - Limits by subject; subjects without limits may be left out. */
    updateLimits(limits: ReadonlyMap<string, Limits>): void {
        const nowMs = this.clock.monotonicMs();
        for (const subject of this.subjects.keys()) {
            if (!limits.has(subject)) {
                this.subjects.delete(subject);
            }
        }
        for (const [subject, settings] of limits) {
            const known = this.subjects.get(subject);
            known?.updateLimits(settings, nowMs);
            this.subjects.set(subject, known ?? new SubjectLimits(settings, nowMs));
        }
    }

    /**
     * Checks a request against the limits of its customer and its key, and counts it when it may run.
     *
     * @param subjects - The customer and the key.
     * @returns The refusal, or undefined when the request was counted; then call `recordEnd` once.
     */
    acquire(subjects: readonly string[]): LimitRefusal | undefined {
        const nowMs = this.clock.monotonicMs();
        const nodes = this.peerSequences.size + 1;
        const limited = this.listLimits(subjects);
        for (const limits of limited) {
            const refusal = limits.check(nodes, nowMs);
            if (refusal !== undefined) {
                return refusal;
            }
        }
        limited.forEach((limits) => limits.recordStart(nowMs));
        return undefined;
    }

    /**
     * @param subjects - As for `acquire`.
     * @param count - Generated tokens.
     */
    recordTokens(subjects: readonly string[], count: number): void {
        const nowMs = this.clock.monotonicMs();
        this.listLimits(subjects).forEach((limits) => limits.recordTokens(count, nowMs));
    }

    /** @param subjects - As for `acquire`. */
    recordEnd(subjects: readonly string[]): void {
        this.listLimits(subjects).forEach((limits) => limits.recordEnd());
    }

    /** @returns Usage that changed since the last summary. */
    summarizeUsage(): LimitSummary {
        this.sequence += 1;
        const nowMs = this.clock.monotonicMs();
        const changed: Record<string, SubjectUsage> = {};
        for (const [subject, limits] of this.subjects) {
            const usage = limits.summarizeUsage(nowMs);
            if (this.announcedUsage.get(subject) !== usage) {
                this.announcedUsage.set(subject, usage);
                changed[subject] = usage;
            }
        }
        return { node: this.node, sequence: this.sequence, usage: changed };
    }

    /** @param summary - A peer's usage; older than known is ignored. */
    recordPeerSummary(summary: LimitSummary): void {
        if (summary.sequence <= (this.peerSequences.get(summary.node) ?? 0)) {
            return;
        }
        this.peerSequences.set(summary.node, summary.sequence);
        const nowMs = this.clock.monotonicMs();
        for (const [subject, usage] of Object.entries(summary.usage)) {
            this.subjects.get(subject)?.recordPeerUsage(summary.node, usage, nowMs);
        }
    }

    /** @param node - A peer that is gone. */
    removePeer(node: string): void {
        this.peerSequences.delete(node);
        this.subjects.forEach((limits) => limits.removePeer(node));
    }

    private listLimits(subjects: readonly string[]): SubjectLimits[] {
        return subjects.flatMap((subject) => this.subjects.get(subject) ?? []);
    }
}
