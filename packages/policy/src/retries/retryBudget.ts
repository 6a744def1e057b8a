/**
 * Retries and hedges as a share of first tries.
 *
 * @packageDocumentation
 */

/** Retries that may be saved up; small, so that a storm after a calm is bounded too. */
const maximumSavedRetries = 10;

/** Keeps the retries of a pool under a share of its first tries. */
export class RetryBudget {
    private availableRetries = 1;

    /** @param share - Retries for each first try, 0 to 1. */
    constructor(private share: number) {}

    /** @param share - The share from now on. */
    updateShare(share: number): void {
        this.share = share;
    }

    /** Notes a first try. */
    recordFirstAttempt(): void {
        this.availableRetries = Math.min(maximumSavedRetries, this.availableRetries + this.share);
    }

    /** @returns Whether a retry or hedge may start; if so, it is taken from the budget. */
    tryTake(): boolean {
        if (this.availableRetries < 1) {
            return false;
        }
        this.availableRetries -= 1;
        return true;
    }
}
