/**
 * The rate at which permits for a cold server are granted.
 *
 * @packageDocumentation
 */
import { permitDepthSeconds } from "../serverLimits/permitQueue.js";

/** What a cold server bears. */
export interface ColdBounds {
    /** Requests per second that a cold server takes from all nodes combined. */
    readonly requestsPerSecond: number;
    /** Factor by which that rate may be exceeded in any one second. */
    readonly overage: number;
    /** Number of requests that it may get in any one second beyond that. */
    readonly slack: number;
}

/** Two keepers grant at the same time while they cannot hear each other. */
const grantingKeepers = 2;
/** Time between the grant of a permit and the arrival of the request at the server, in seconds: reply and sending. */
const useSeconds = 0.1;

/**
 * Computes the rate of one keeper, so that the grants of two of them stay within the bound in any one second, with the
 * permits that have added up and those that are used late.
 *
 * @param bounds - What the server bears.
 * @returns Permits per second.
 */
export function computeGrantRate({ requestsPerSecond, overage, slack }: ColdBounds): number {
    const perKeeper = (requestsPerSecond * overage + slack) / grantingKeepers;
    // At low rates one whole permit adds up, at higher ones those of the depth.
    const bounded = Math.min(
        (perKeeper - 1) / (1 + useSeconds),
        perKeeper / (1 + permitDepthSeconds + useSeconds),
    );
    // Without slack no rate satisfies the bound for two keepers; a fifth still shows when the server is warm.
    return Math.min(requestsPerSecond, Math.max(bounded, requestsPerSecond / 5));
}
