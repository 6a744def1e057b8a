/**
 * What a pool's dispatch task is built from, and what it gives to running requests.
 *
 * @packageDocumentation
 */
import type { CancelReason, PoolConfiguration, PoolScheduler } from "@pimentocleat/policy";
import type { BackendServer } from "@pimentocleat/schema";
import type { WaitingClock } from "@pimentocleat/types";

/** Permission to send a request to a server. */
export interface StartGrant {
    readonly server: BackendServer;
    readonly priority: number;
}

/** Receives what happens to a running request. */
export interface RunningRequestListener {
    /** The request has to stop on its server. */
    onCancel(reason: CancelReason): void;
    /**
     * The scheduler has given the request a slot on another server, where it should continue.
     *
     * @param server - Name of that server.
     */
    onMove(server: string): void;
}

/** Options of a a pool's task. */
export interface PoolTaskOptions {
    readonly configuration: PoolConfiguration;
    readonly scheduler: PoolScheduler;
    readonly clock: WaitingClock;
    /** Receives anything that the scheduler throws. */
    readonly onError: (error: unknown) => void;
}
