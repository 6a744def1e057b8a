/**
 * Requests in flight on this node.
 *
 * @packageDocumentation
 */
import type { CancelReason } from "@pimentocleat/policy";
import { ErrorKind, RouterError } from "@pimentocleat/types";
import { WorkCounter } from "../lifecycle/workCounter.js";

/** A request in flight and the way to cancel it. */
export class ActiveRequest {
    private reason: CancelReason | undefined;
    private listener: ((reason: CancelReason) => void) | undefined;
    private resolveCancel: ((reason: CancelReason) => void) | undefined;

    /**
     * @param requestId - The request's identifier.
     * @param keyId - The key it came with; undefined on open routes.
     */
    constructor(
        readonly requestId: string,
        readonly keyId: string | undefined,
    ) {}

    /** Why the request was cancelled; undefined while it is wanted. */
    get cancelReason(): CancelReason | undefined {
        return this.reason;
    }

    /**
     * Cancels the request; only the first call counts.
     *
     * @param reason - Why.
     */
    cancel(reason: CancelReason): void {
        if (this.reason !== undefined) {
            return;
        }
        this.reason = reason;
        this.listener?.(reason);
        this.resolveCancel?.(reason);
    }

    /** @returns Resolves with the reason when the request is cancelled; to be called once. */
    waitForCancel(): Promise<CancelReason> {
        return new Promise((resolve) => {
            this.resolveCancel = resolve;
        });
    }

    /**
     * Sets the one receiver of the cancellation; it replaces the last one.
     *
     * @param listener - Called at most once; undefined removes the receiver.
     */
    setCancelListener(listener: ((reason: CancelReason) => void) | undefined): void {
        this.listener = listener;
    }
}

/**
 * Builds the error for a cancelled request.
 *
 * @param reason - Why it was cancelled.
 * @param sent - Whether a byte of it may have reached a backend server.
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

/** All requests in flight, by key. */
export class ActiveRequests {
    private readonly requestsByKey = new Map<string, Set<ActiveRequest>>();
    private readonly requestCounter = new WorkCounter();

    /** @param request - A request that starts. */
    addRequest(request: ActiveRequest): void {
        this.requestCounter.addWork();
        if (request.keyId === undefined) {
            return;
        }
        const ofKey = this.requestsByKey.get(request.keyId) ?? new Set();
        ofKey.add(request);
        this.requestsByKey.set(request.keyId, ofKey);
    }

    /** @param request - A request that ended. */
    removeRequest(request: ActiveRequest): void {
        this.requestCounter.removeWork();
        const ofKey = this.requestsByKey.get(request.keyId ?? "");
        ofKey?.delete(request);
        if (ofKey?.size === 0) {
            this.requestsByKey.delete(request.keyId ?? "");
        }
    }

    /**
     * Cancels every request of a withdrawn key.
     *
     * @param keyId - The key.
     * @returns How many were cancelled.
     */
    cancelKeyRequests(keyId: string): number {
        const requests = [...(this.requestsByKey.get(keyId) ?? [])];
        requests.forEach((request) => request.cancel("keyWithdrawn"));
        return requests.length;
    }

    /** @returns Requests in flight. */
    countRequests(): number {
        return this.requestCounter.countWork();
    }

    /** @returns Resolves when no request is in flight. */
    waitUntilIdle(): Promise<void> {
        return this.requestCounter.waitUntilIdle();
    }
}
