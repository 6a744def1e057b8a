/**
 * Which servers may be cold, as one node knows. A server that may have started again counts as cold until it has shown
 * that it runs and the time for which a server is cold has passed since.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** A server and its start. */
export interface ColdServer {
    readonly id: string;
    /** Start of the server, in milliseconds since the Unix epoch. */
    readonly bornMs?: number | undefined;
}

/** What a server's registration says. */
export interface ServerRow extends ColdServer {
    readonly version: number;
    /** Time for which the server stays cold, in milliseconds; undefined when it is not known. */
    readonly remainingColdMs?: number | undefined;
}

/** A server that may have started again, as nodes tell each other; ages since their clocks differ. */
export interface ColdReport {
    readonly serverId: string;
    readonly bornMs?: number | undefined;
    /** Time since the event after which it may be cold, in milliseconds. */
    readonly ageMs: number;
    /** Time since it showed that it runs, in milliseconds; undefined when it has not. */
    readonly aliveAgeMs?: number | undefined;
}

/** An event after which a server may be cold. */
interface Doubt {
    readonly bornMs: number | undefined;
    /** Monotonic time of the event, in milliseconds. */
    readonly atMs: number;
    /** Monotonic time at which the server first showed after the event that it runs, in milliseconds. */
    readonly aliveMs: number | undefined;
    /** Whether the event concerns the server, and not only this node. */
    readonly isShared: boolean;
}

/** Events that nodes notice within this time of each other are the same one, in milliseconds. */
export const sameEventMs = 1_000;
/**
 * Time after an event from which on a changed registration shows that the server runs, in milliseconds. One that was
 * written before the event is read within this time.
 */
const rowDelayMs = 2_000;
/** Time after which an event is forgotten, in milliseconds; a server that has not shown itself until then is gone. */
const retentionMs = 600_000;

/** Keeps what one node knows. */
export class ColdServers {
    private readonly doubts = new Map<string, Doubt>();
    /** Monotonic time until which a server is cold by its own word, in milliseconds. */
    private readonly coldUntilMs = new Map<string, number>();
    private readonly rows = new Map<string, ServerRow>();

    /**
     * @param clock - The node's clock.
     * @param doubtsFirstRows - Whether registrations of the first read may be outdated; not in a deployment that starts.
     */
    constructor(
        private readonly clock: Clock,
        private readonly doubtsFirstRows: boolean,
    ) {}

    /**
     * Records a registration.
     *
     * @param row - The registration.
     * @param isFirstRead - Whether it is part of the first read of this node.
     * @returns Whether the server may be cold because of it.
     */
    recordRow(row: ServerRow, isFirstRead: boolean): boolean {
        const known = this.rows.get(row.id);
        if (known !== undefined && known.version >= row.version) {
            return false;
        }
        this.rows.set(row.id, row);
        const isNewStart = known === undefined || known.bornMs !== row.bornMs;
        if ((row.remainingColdMs ?? 0) > 0) {
            if (isNewStart) {
                this.doubts.delete(row.id);
            }
            this.recordCold(row.id, row.remainingColdMs!);
            return isNewStart;
        }
        const isTrusted = isFirstRead && !this.doubtsFirstRows && row.remainingColdMs === 0;
        if (isNewStart && !isTrusted) {
            const nowMs = this.readNowMs();
            this.doubts.set(row.id, { bornMs: row.bornMs, atMs: nowMs, aliveMs: nowMs, isShared: false });
            return true;
        }
        const doubt = this.doubts.get(row.id);
        if (doubt !== undefined && this.readNowMs() - doubt.atMs >= rowDelayMs) {
            this.recordAlive(row.id, doubt);
        }
        return false;
    }

    /**
     * Records that a server said that it stays cold for a time.
     *
     * @param id - The server.
     * @param remainingMs - The time, in milliseconds.
     */
    recordCold(id: string, remainingMs: number): void {
        this.coldUntilMs.set(id, this.readNowMs() + remainingMs);
    }

    /**
     * Records an event after which a server may be cold: it was lost, returns to service, or this node was stalled.
     *
     * @param server - The server.
     * @param isShared - Whether the event concerns the server, and not only this node.
     * @returns Whether this is another event than the known one.
     */
    recordDoubt({ id, bornMs }: ColdServer, isShared: boolean): boolean {
        const nowMs = this.readNowMs();
        const known = this.doubts.get(id);
        const isKnown =
            known !== undefined &&
            nowMs - known.atMs < sameEventMs &&
            (known.isShared || !isShared) &&
            known.aliveMs === undefined;
        if (!isKnown) {
            this.doubts.set(id, { bornMs, atMs: nowMs, aliveMs: undefined, isShared });
        }
        return !isKnown;
    }

    /**
     * Records an answer.
     *
     * @param id - The server.
     * @param sentMs - Monotonic time at which its request was sent, in milliseconds.
     * @param coldMs - Time for which the server stays cold by the answer, in milliseconds; undefined when it names none.
     */
    recordAnswer(id: string, sentMs: number, coldMs: number | undefined): void {
        const doubt = this.doubts.get(id);
        const isCurrent = doubt === undefined || sentMs >= doubt.atMs;
        if (coldMs !== undefined && coldMs > 0) {
            this.recordCold(id, coldMs);
        } else if (coldMs === 0 && isCurrent) {
            this.doubts.delete(id);
            this.coldUntilMs.delete(id);
        }
        if (doubt !== undefined && isCurrent && coldMs !== 0) {
            this.recordAlive(id, doubt);
        }
    }

    /**
     * Computes for how long a server still counts as cold.
     *
     * @param id - The server.
     * @param durationMs - Time for which a server is cold after it starts, in milliseconds.
     * @returns The time, in milliseconds; 0 when it is not cold. A server that has not shown itself since an event stays
     * cold at least for the given duration.
     */
    computeColdMs(id: string, durationMs: number): number {
        const nowMs = this.readNowMs();
        const doubt = this.doubts.get(id);
        if (doubt !== undefined && nowMs - doubt.atMs > retentionMs) {
            this.doubts.delete(id);
        }
        const saidMs = (this.coldUntilMs.get(id) ?? nowMs) - nowMs;
        const doubtedMs = doubt === undefined ? 0 : (doubt.aliveMs ?? nowMs) + durationMs - nowMs;
        return Math.max(0, saidMs, doubtedMs);
    }

    /**
     * Computes how long a server stays cold by its own word.
     *
     * @param id - The server.
     * @returns The time, in milliseconds; 0 when it did not say so.
     */
    computeSaidMs(id: string): number {
        return Math.max(0, (this.coldUntilMs.get(id) ?? Number.NEGATIVE_INFINITY) - this.readNowMs());
    }

    /**
     * Builds the report of a server for other nodes.
     *
     * @param id - The server.
     * @returns The report; undefined when no event is known that concerns the server.
     */
    buildReport(id: string): ColdReport | undefined {
        const doubt = this.doubts.get(id);
        if (doubt?.isShared !== true) {
            return undefined;
        }
        const nowMs = this.readNowMs();
        const { bornMs, atMs, aliveMs } = doubt;
        return {
            serverId: id,
            bornMs,
            ageMs: Math.round(nowMs - atMs),
            aliveAgeMs: aliveMs === undefined ? undefined : Math.round(nowMs - aliveMs),
        };
    }

    /**
     * Merges a report of another node. Of two events the later one counts, and of the signs of life the first one since.
     *
     * @param report - The report.
     * @returns Whether the event was not known.
     */
    mergeReport({ serverId, bornMs, ageMs, aliveAgeMs }: ColdReport): boolean {
        const nowMs = this.readNowMs();
        const atMs = nowMs - ageMs;
        const aliveMs = aliveAgeMs === undefined ? undefined : nowMs - aliveAgeMs;
        const known = this.doubts.get(serverId);
        const row = this.rows.get(serverId);
        const isOfEarlierStart = row?.bornMs !== undefined && bornMs !== undefined && bornMs < row.bornMs;
        if (isOfEarlierStart || (known !== undefined && known.atMs - atMs >= sameEventMs)) {
            return false;
        }
        const isNew = known === undefined || atMs - known.atMs >= sameEventMs;
        const latestMs = isNew ? atMs : Math.max(atMs, known.atMs);
        const signs = [aliveMs, known?.aliveMs].filter(
            (signMs) => signMs !== undefined && signMs >= latestMs,
        );
        this.doubts.set(serverId, {
            bornMs,
            atMs: latestMs,
            aliveMs: signs.length === 0 ? undefined : Math.min(...(signs as number[])),
            isShared: true,
        });
        return isNew;
    }

    private recordAlive(id: string, doubt: Doubt): void {
        if (doubt.aliveMs === undefined) {
            this.doubts.set(id, { ...doubt, aliveMs: this.readNowMs() });
        }
    }

    private readNowMs(): number {
        return this.clock.monotonicMs();
    }
}
