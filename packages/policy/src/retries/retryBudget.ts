/**
 * Limits retries and hedges to a share of first attempts.
 *
 * @packageDocumentation
 */

/**
 * Maximum number of unused retries that accumulate. Small, so that a burst of retries after a quiet period
 * is bounded too.
 */
const maximumSavedRetries = 10;

/** Keeps the retries and hedges of a pool below a share of its first attempts. */
export class RetryBudget {
    private availableRetries = 1;

    /** @param share - Retries per first attempt, 0 to 1. */
    constructor(private share: number) {}

    /** @param share - New share; retries that accumulated before stay available. */
    updateShare(share: number): void {
        this.share = share;
    }

    /** Records a first attempt, which adds the share to the budget. */
    recordFirstAttempt(): void {
        this.availableRetries = Math.min(maximumSavedRetries, this.availableRetries + this.share);
    }

    /** @returns Whether a retry or hedge may start; if so, it is charged to the budget. */
    tryTake(): boolean {
        if (this.availableRetries < 1) {
            return false;
        }
        this.availableRetries -= 1;
        return true;
    }
}
