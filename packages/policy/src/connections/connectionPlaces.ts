/**
 * Decides which connection of a caller is closed when there is no place for another one.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/** What happens on a connection. */
export type ConnectionStage =
    /** No request has come yet. */
    | "unused"
    /** Its requests have ended. */
    | "idle"
    /** A request has begun to come, or the caller does not read what is sent to it. */
    | "unfinished"
    /** A request runs, and its caller reads what is sent to it. */
    | "busy";

/** A connection that has a place. */
export interface PlacedConnection {
    /**
     * Computes what an unfinished connection has cost its node.
     *
     * @param nowMs - Monotonic time, in milliseconds.
     * @returns The cost; the dearest one is closed first.
     */
    computeCost(nowMs: number): number;
    /** Closes the connection. */
    close(): void;
}

/** Options of {@link ConnectionPlaces}. */
export interface ConnectionPlacesOptions {
    readonly maximumConnections: number;
    readonly clock: Clock;
}

/** The connections of a node, each with what happens on it; those of a stage in the order in which they reached it. */
export class ConnectionPlaces {
    private readonly stages: Record<ConnectionStage, Set<PlacedConnection>> = {
        unused: new Set(),
        idle: new Set(),
        unfinished: new Set(),
        busy: new Set(),
    };

    /** @param options - The number of places and the clock. */
    constructor(private readonly options: ConnectionPlacesOptions) {}

    /** @returns Number of connections that have a place. */
    countConnections(): number {
        return Object.values(this.stages).reduce((sum, { size }) => sum + size, 0);
    }

    /**
     * Gives a place to a new connection. Another one may be closed for it: one that was never used, the longest idle one,
     * or the unfinished one that has cost most. One on which a request runs is not.
     *
     * @param connection - The connection.
     * @returns Whether there is a place.
     */
    tryAdd(connection: PlacedConnection): boolean {
        if (this.countConnections() >= this.options.maximumConnections) {
            const replaced = this.selectReplaced();
            if (replaced === undefined) {
                return false;
            }
            this.remove(replaced);
            replaced.close();
        }
        this.stages.unused.add(connection);
        return true;
    }

    /**
     * Records what happens on a connection from now on; it has no effect on one that has no place.
     *
     * @param connection - The connection.
     * @param from - Its stage until now.
     * @param to - Its stage.
     */
    move(connection: PlacedConnection, from: ConnectionStage, to: ConnectionStage): void {
        if (this.stages[from].delete(connection)) {
            this.stages[to].add(connection);
        }
    }

    /** @param connection - A connection that has closed. */
    remove(connection: PlacedConnection): void {
        Object.values(this.stages).forEach((stage) => stage.delete(connection));
    }

    private selectReplaced(): PlacedConnection | undefined {
        const [unused] = this.stages.unused;
        const [idle] = this.stages.idle;
        return unused ?? idle ?? this.selectDearest();
    }

    private selectDearest(): PlacedConnection | undefined {
        const nowMs = this.options.clock.monotonicMs();
        let dearest: PlacedConnection | undefined;
        let dearestCost = -1;
        for (const connection of this.stages.unfinished) {
            const cost = connection.computeCost(nowMs);
            if (cost > dearestCost) {
                dearest = connection;
                dearestCost = cost;
            }
        }
        return dearest;
    }
}
