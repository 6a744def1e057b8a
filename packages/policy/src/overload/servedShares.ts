/**
 * Measures which share of the requests of each kind, customer and size starts, and finds those below their floors.
 *
 * @packageDocumentation
 */
import type { AdmissionRequest } from "./admissionRequest.js";
import { RecentMap } from "./recentMap.js";

/** Weight of the latest request in a share; a node sees about one request of a kind per second. */
const shareGain = 1 / 16;
/** Minimum share of a kind and of a customer; a quarter is required, the rest covers the noise of one node's counts. */
const minimumShare = 0.3;
/** Minimum share of a size relative to its kind; half is required, the rest covers the noise of one node's counts. */
const minimumRelativeShare = 0.6;
/** Lower bounds of the ranks of the sizes that have a floor: the largest tenth, and the fifth below it. */
const sizeBounds: readonly number[] = [0.9, 0.7];

/** Keeps the shares of one node. */
export class ServedShares {
    private readonly shares = new RecentMap<number>();

    /**
     * Records the decision about a request.
     *
     * @param request - The request.
     * @param isStarted - Whether it started; otherwise it was refused.
     */
    recordOutcome(request: AdmissionRequest, isStarted: boolean): void {
        for (const key of [formatKind(request), formatSize(request), formatCustomer(request)]) {
            if (key !== undefined) {
                this.updateShare(key, isStarted ? 1 : 0);
            }
        }
    }

    /**
     * Checks whether the kind, the customer or the size of a request is below its floor.
     *
     * @param request - The request.
     * @returns Whether the request is owed a start.
     */
    isOwed(request: AdmissionRequest): boolean {
        const kindShare = this.readShare(formatKind(request));
        return (
            kindShare < minimumShare ||
            this.readShare(formatCustomer(request)) < minimumShare ||
            this.readShare(formatSize(request)) < kindShare * minimumRelativeShare
        );
    }

    /** A share of which nothing is known counts as full, so that no floor overrides the decision without a reason. */
    private readShare(key: string | undefined): number {
        return key === undefined ? 1 : (this.shares.get(key) ?? 1);
    }

    private updateShare(key: string, outcome: number): void {
        const share = this.readShare(key);
        this.shares.set(key, share + shareGain * (outcome - share));
    }
}

function formatKind({ kind }: AdmissionRequest): string {
    return `kind/${kind}`;
}

function formatSize({ kind, sizeRank }: AdmissionRequest): string | undefined {
    const bound = sizeBounds.find((lowerBound) => sizeRank >= lowerBound);
    return bound === undefined ? undefined : `size/${String(bound)}/${kind}`;
}

function formatCustomer({ customer }: AdmissionRequest): string | undefined {
    return customer === undefined ? undefined : `customer/${customer}`;
}
