/**
 * Detects violations of tier priority: a higher tier was refused while a lower tier got slots
 * beyond its floor.
 *
 * @packageDocumentation
 */

/** A refusal, with the period in which a slot could still have served the request in time. */
export interface RefusalTrace {
    readonly tier: number;
    readonly fromMs: number;
    readonly untilMs: number;
}

/** A request that started on a slot. */
export interface StartTrace {
    readonly tier: number;
    readonly atMs: number;
    readonly byFloor: boolean;
}

/**
 * Records refusals and starts, and counts the refusals that violate tier priority. A refusal is a
 * violation when a request of a lower tier started, other than by its floor, after the refusal and
 * while the refused request could still have met its first-token target.
 */
export class TierOracle {
    private readonly refusals: RefusalTrace[] = [];
    private readonly starts: StartTrace[] = [];

    /** @param refusal - The refusal to record. */
    recordRefusal(refusal: RefusalTrace): void {
        this.refusals.push(refusal);
    }

    /** @param start - The start to record; starts must be recorded in order of time. */
    recordStart(start: StartTrace): void {
        this.starts.push(start);
    }

    /** @returns Number of refusals that violate tier priority. */
    countViolations(): number {
        return this.refusals.filter((refusal) => this.isViolation(refusal)).length;
    }

    private isViolation(refusal: RefusalTrace): boolean {
        for (let index = this.findFirstStartAfter(refusal.fromMs); index < this.starts.length; index += 1) {
            const start = this.starts[index];
            if (start === undefined || start.atMs > refusal.untilMs) {
                return false;
            }
            if (start.tier > refusal.tier && !start.byFloor) {
                return true;
            }
        }
        return false;
    }

    private findFirstStartAfter(timeMs: number): number {
        let low = 0;
        let high = this.starts.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((this.starts[middle]?.atMs ?? Infinity) <= timeMs) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
