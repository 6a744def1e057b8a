/**
 * Tracks the requests in flight on this node.
 *
 * @packageDocumentation
 */
import type { CancelReason } from "@pimentocleat/policy";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import { WorkCounter } from "../lifecycle/workCounter.js";

/** A request in flight that can be cancelled. */
export class ActiveRequest {
    private reason: CancelReason | undefined;
    private listener: ((reason: CancelReason) => void) | undefined;
    private resolveCancel: ((reason: CancelReason) => void) | undefined;

    /**
     * @param requestId - Identifier of the request.
     * @param keyId - Identifier of the caller's key; undefined on open routes without a key.
     */
    constructor(
        readonly requestId: string,
        readonly keyId: string | undefined,
    ) {}

    /** The reason for the cancellation, or undefined while the request is not cancelled. */
    get cancelReason(): CancelReason | undefined {
        return this.reason;
    }

    /**
     * Cancels the request; calls after the first one have no effect.
     *
     * @param reason - Reason for the cancellation.
     */
    cancel(reason: CancelReason): void {
        if (this.reason !== undefined) {
            return;
        }
        this.reason = reason;
        this.listener?.(reason);
        this.resolveCancel?.(reason);
    }

    /**
     * Waits for the cancellation of the request; must be called at most once.
     *
     * @returns A promise that resolves with the reason when the request is cancelled.
     */
    waitForCancel(): Promise<CancelReason> {
        return new Promise((resolve) => {
            this.resolveCancel = resolve;
        });
    }

    /**
     * Sets the only listener for the cancellation, replacing the previous one.
     *
     * @param listener - Called at most once; undefined removes the current listener.
     */
    setCancelListener(listener: ((reason: CancelReason) => void) | undefined): void {
        this.listener = listener;
    }
}

/**
 * Builds the error for a cancelled request.
 *
 * @param reason - Reason for the cancellation.
 * @param sent - Whether a byte of the request may have reached a backend server.
 * @returns The error for the caller.
 */
export function buildCancelError(reason: CancelReason, sent: boolean): RouterError {
    const executed = sent ? "unknown" : "no";
    const kinds: Readonly<Record<CancelReason, ErrorKind>> = {
        callerGone: ErrorKind.StreamInterrupted,
        keyWithdrawn: ErrorKind.KeyWithdrawn,
        preempted: ErrorKind.Shed,
        reclaimed: ErrorKind.StreamInterrupted,
    };
    return new RouterError(kinds[reason], undefined, { executed });
}

/** Registers all requests in flight and finds them by key. */
export class ActiveRequests {
    private readonly requestsByKey = new Map<string, Set<ActiveRequest>>();
    private readonly requestCounter = new WorkCounter();

    /**
     * Registers a starting request.
     *
     * @param request - The request.
     */
    addRequest(request: ActiveRequest): void {
        this.requestCounter.addWork();
        if (request.keyId === undefined) {
            return;
        }
        const keyRequests = this.requestsByKey.get(request.keyId) ?? new Set();
        keyRequests.add(request);
        this.requestsByKey.set(request.keyId, keyRequests);
    }

    /**
     * Removes a request that ended.
     *
     * @param request - The request.
     */
    removeRequest(request: ActiveRequest): void {
        this.requestCounter.removeWork();
        const keyRequests = this.requestsByKey.get(request.keyId ?? "");
        keyRequests?.delete(request);
        if (keyRequests?.size === 0) {
            this.requestsByKey.delete(request.keyId ?? "");
        }
    }

    /**
     * Cancels all requests of a withdrawn key.
     *
     * @param keyId - Identifier of the key.
     * @returns Number of cancelled requests.
     */
    cancelKeyRequests(keyId: string): number {
        const requests = [...(this.requestsByKey.get(keyId) ?? [])];
        requests.forEach((request) => request.cancel("keyWithdrawn"));
        return requests.length;
    }

    /** @returns Number of requests in flight. */
    countRequests(): number {
        return this.requestCounter.countWork();
    }

    /**
     * Waits until no request is in flight.
     *
     * @returns A promise that resolves then.
     */
    waitUntilIdle(): Promise<void> {
        return this.requestCounter.waitUntilIdle();
    }
}
