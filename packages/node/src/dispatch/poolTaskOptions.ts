/**
 * Types of a pool's dispatch task: its options, start grants and the listener of a running request.
 *
 * @packageDocumentation
 */
import type { CancelReason, PoolConfiguration, PoolScheduler } from "@pimentocleat/policy";
import type { BackendServer } from "@pimentocleat/schema";
import type { WaitingClock } from "@pimentocleat/types";

/** The scheduler's permission to send a request to a server. */
export interface StartGrant {
    readonly server: BackendServer;
    /** Priority of the request on the server. */
    readonly priority: number;
}

/** Receives the scheduler's decisions about a running request. */
export interface RunningRequestListener {
    /**
     * Called when the request must stop on its server.
     *
     * @param reason - Reason for the cancellation.
     */
    onCancel(reason: CancelReason): void;
    /**
     * Called when the scheduler reserved a slot on another server, where the request should continue.
     *
     * @param server - Name of the other server.
     */
    onMove(server: string): void;
}

/** Options of a pool's dispatch task. */
export interface PoolTaskOptions {
    readonly configuration: PoolConfiguration;
    readonly scheduler: PoolScheduler;
    readonly clock: WaitingClock;
    /** Called with any error that the scheduler throws. */
    readonly onError: (error: unknown) => void;
}
