/**
 * What a node knows of the limits that servers name in their answers. Of two answers the one whose request was sent later
 * counts, whichever arrives first; an answer without a limit ends it.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** A server and its start. */
export interface LimitedServer {
    readonly id: string;
    /** Start of the server, in milliseconds since the Unix epoch; a server that starts anew has no limit. */
    readonly bornMs?: number | undefined;
}

/** What an answer said, as nodes tell it to each other: an age in place of a time, since their clocks differ. */
export interface LimitReport {
    readonly serverId: string;
    readonly bornMs?: number | undefined;
    /** Requests per second; undefined when the answer named no limit. */
    readonly perSecond?: number | undefined;
    /** Time since the request was sent, in milliseconds. */
    readonly ageMs: number;
}

interface LimitObservation {
    readonly bornMs: number | undefined;
    readonly perSecond: number | undefined;
    /** Monotonic time at which the request was sent, in milliseconds. */
    readonly sentMs: number;
    /** Time without an answer after which the observation is forgotten, in milliseconds. */
    readonly retentionMs: number;
}

/** Bounds of a limit, in requests per second: never so low that no request could find out that it has ended. */
const minimumPerSecond = 0.1;
const maximumPerSecond = 100_000;
/** Least time for which a limit holds when no server answers any more, in milliseconds; nodes forget it one by one. */
const silentRetentionMs = 60_000;
/** Time for which it is remembered that a limit has ended, so that late answers do not bring it back, in milliseconds. */
const endedRetentionMs = 15_000;
/** Difference from which a report of the same limit counts as later; each report looks younger by its time on the way. */
const reportToleranceMs = 250;

/** Keeps the last observation of each server. */
export class LimitObservations {
    private readonly observations = new Map<string, LimitObservation>();

    /**
     * @param clock - The node's clock.
     * @param random - Source of randomness, 0 to 1.
     */
    constructor(
        private readonly clock: Clock,
        private readonly random: () => number,
    ) {}

    /**
     * Records what an answer said.
     *
     * @param server - The server.
     * @param perSecond - The limit, in requests per second; undefined when the answer named none.
     * @param sentMs - Monotonic time at which the request was sent, in milliseconds.
     * @returns Whether the limit is another one than before.
     */
    recordAnswer(server: LimitedServer, perSecond: number | undefined, sentMs: number): boolean {
        const known = this.observations.get(server.id);
        const isSameStart = known?.bornMs === server.bornMs;
        if (known === undefined ? perSecond === undefined : isOutdated(known, server, sentMs)) {
            return false;
        }
        const bounded = perSecond === undefined ? undefined : computeBoundedLimit(perSecond);
        const retentionMs =
            bounded === undefined ? endedRetentionMs : silentRetentionMs * (1 + this.random());
        this.observations.set(server.id, { bornMs: server.bornMs, perSecond: bounded, sentMs, retentionMs });
        return (isSameStart ? known?.perSecond : undefined) !== bounded;
    }

    /**
     * Finds the limit of a server.
     *
     * @param server - The server.
     * @returns Requests per second; undefined without a limit.
     */
    findLimit({ id, bornMs }: LimitedServer): number | undefined {
        const known = this.observations.get(id);
        if (known === undefined || known.bornMs !== bornMs) {
            return undefined;
        }
        if (this.clock.monotonicMs() - known.sentMs > known.retentionMs) {
            this.observations.delete(id);
            return undefined;
        }
        return known.perSecond;
    }

    /** @returns Whether any server may have a limit. */
    hasLimits(): boolean {
        return this.observations.size > 0;
    }

    /** @returns Identifiers of the servers with a limit. */
    listLimitedServers(): readonly string[] {
        return [...this.observations]
            .filter(([id, { bornMs }]) => this.findLimit({ id, bornMs }) !== undefined)
            .map(([id]) => id);
    }

    /**
     * Builds the report of a server's last observation.
     *
     * @param serverId - The server.
     * @returns The report; undefined when nothing is known.
     */
    buildReport(serverId: string): LimitReport | undefined {
        const known = this.observations.get(serverId);
        if (known === undefined) {
            return undefined;
        }
        const { bornMs, perSecond, sentMs } = known;
        return { serverId, bornMs, perSecond, ageMs: Math.round(this.clock.monotonicMs() - sentMs) };
    }

    /**
     * Builds reports for other nodes. Each call moves on, so that no server is left out for good.
     *
     * @param maximum - Maximum number of reports.
     * @returns The reports; empty when nothing is known.
     */
    takeReports(maximum: number): readonly LimitReport[] {
        const ids = [...this.observations.keys()].slice(0, maximum);
        return ids.flatMap((id) => {
            const known = this.observations.get(id)!;
            this.observations.delete(id);
            if (this.clock.monotonicMs() - known.sentMs > known.retentionMs) {
                return [];
            }
            this.observations.set(id, known);
            return this.buildReport(id)!;
        });
    }

    /**
     * Merges a report of another node.
     *
     * @param report - The report.
     * @returns Whether the limit is another one than before.
     */
    mergeReport({ serverId, bornMs, perSecond, ageMs }: LimitReport): boolean {
        const known = this.observations.get(serverId);
        const sentMs = this.clock.monotonicMs() - ageMs;
        const isRepeated =
            known !== undefined &&
            known.bornMs === bornMs &&
            known.perSecond === perSecond &&
            sentMs - known.sentMs < reportToleranceMs;
        return !isRepeated && this.recordAnswer({ id: serverId, bornMs }, perSecond, sentMs);
    }
}

function isOutdated(known: LimitObservation, { bornMs }: LimitedServer, sentMs: number): boolean {
    if (known.bornMs !== bornMs && known.bornMs !== undefined && bornMs !== undefined) {
        return bornMs < known.bornMs;
    }
    return sentMs < known.sentMs;
}

function computeBoundedLimit(perSecond: number): number {
    return Math.min(maximumPerSecond, Math.max(minimumPerSecond, perSecond));
}
