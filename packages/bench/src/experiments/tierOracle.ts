/**
 * Checks a trace: was a higher tier refused while a lower one got slots outside its floor?
 *
 * @packageDocumentation
 */

/** A refusal and the time in which a slot would still have served the request. */
export interface RefusalTrace {
    readonly tier: number;
    readonly fromMs: number;
    readonly untilMs: number;
}

/** A slot start. */
export interface StartTrace {
    readonly tier: number;
    readonly atMs: number;
    readonly byFloor: boolean;
}

/**
 * A refusal is a violation when a request of a lower tier started, other than by its floor, after
 * the refusal and while the refused request could still have met its first token target.
 */
export class TierOracle {
    private readonly refusals: RefusalTrace[] = [];
    private readonly starts: StartTrace[] = [];

    /** @param refusal - A refusal because of load. */
    recordRefusal(refusal: RefusalTrace): void {
        this.refusals.push(refusal);
    }

    /** @param start - A start, in order of time. */
    recordStart(start: StartTrace): void {
        this.starts.push(start);
    }

    /** @returns Refusals that the trace doesn't justify. */
    countViolations(): number {
        return this.refusals.filter((refusal) => this.isViolated(refusal)).length;
    }

    private isViolated(refusal: RefusalTrace): boolean {
        for (let index = this.findFirstStart(refusal.fromMs); index < this.starts.length; index += 1) {
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

    private findFirstStart(fromMs: number): number {
        let low = 0;
        let high = this.starts.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((this.starts[middle]?.atMs ?? Infinity) <= fromMs) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
