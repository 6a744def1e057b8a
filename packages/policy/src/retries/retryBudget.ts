/**
 * Limits retries and hedges to a share of first attempts.
 *
 * @packageDocumentation
 */

/** Maximum of unused retries that accumulate: small, to bound a burst of retries after a quiet period too. */
const maximumSavedRetries = 10;

/** Keeps the retries and hedges of a pool below a share of its first attempts. */
export class RetryBudget {
    private availableRetries = 1;

    /** @param share - Retries per first attempt, 0 to 1. */
    constructor(private share: number) {}

    /**
     * Changes the share; retries that accumulated before stay available.
     *
     * @param share - The new share, 0 to 1.
     */
    updateShare(share: number): void {
        this.share = share;
    }

    /** Records a first attempt, which adds the share to the budget. */
    recordFirstAttempt(): void {
        this.availableRetries = Math.min(maximumSavedRetries, this.availableRetries + this.share);
    }

    /**
     * Takes a retry from the budget if one is available.
     *
     * @returns Whether a retry or hedge may start.
     */
    tryTake(): boolean {
        if (this.availableRetries < 1) {
            return false;
        }
        this.availableRetries -= 1;
        return true;
    }
}
