/**
 * The active faults of a stand-in.
 *
 * @packageDocumentation
 */
import { faultPlanSchema, type Fault, type FaultKind, type FaultPlanInput } from "./faultSchema.js";
import { SeededRandom } from "./seededRandom.js";

const defaultSeed = 1;

/** Call that a fault can apply to, by service and name. */
export interface FaultTarget {
    readonly service: string;
    readonly call: string;
}

interface ActiveFault {
    readonly fault: Fault;
    /** Number of calls that matched the service and call of the fault. */
    matchedCalls: number;
    /** Number of calls that the fault applied to. */
    affectedCalls: number;
}

/** Holds the active faults and selects those that apply to each call. */
export class FaultSwitches {
    private active: ActiveFault[] = [];
    private random = new SeededRandom(defaultSeed);
    private readonly waiters: (() => void)[] = [];

    /**
     * Replaces all active faults.
     *
     * @param plan - New faults and the seed of the random numbers that select calls by probability.
     */
    setPlan(plan: FaultPlanInput): void {
        const parsed = faultPlanSchema.parse(plan);
        this.random = new SeededRandom(parsed.seed);
        this.active = parsed.faults.map((fault) => ({ fault, matchedCalls: 0, affectedCalls: 0 }));
        this.resolveWaiters();
    }

    /** Removes all faults. */
    clear(): void {
        this.active = [];
        this.resolveWaiters();
    }

    /** Waits until the faults are replaced or cleared; concurrent waits end first in, first out. */
    waitForNextPlan(): Promise<void> {
        return new Promise((resolve) => this.waiters.push(resolve));
    }

    /**
     * Selects the faults that apply to a call and counts the call for each of them.
     *
     * @param target - The call.
     * @returns The faults, in the order of the plan.
     */
    takeFaults(target: FaultTarget): readonly Fault[] {
        if (this.active.length === 0) {
            return [];
        }
        return this.active.filter((entry) => this.tryApplyFault(entry, target)).map((entry) => entry.fault);
    }

    /**
     * Finds an active fault that affects the stand-in as a whole; it isn't counted for any call.
     *
     * @param kind - Kind of fault.
     * @returns The fault, or undefined when none of this kind is active.
     */
    findActiveFault<Kind extends FaultKind>(kind: Kind): Extract<Fault, { kind: Kind }> | undefined {
        const entry = this.active.find((candidate) => candidate.fault.kind === kind);
        return entry?.fault as Extract<Fault, { kind: Kind }> | undefined;
    }

    private resolveWaiters(): void {
        this.waiters.splice(0).forEach((finish) => finish());
    }

    /** Returns whether a fault applies to a call, and counts the call if it matches. */
    private tryApplyFault(entry: ActiveFault, target: FaultTarget): boolean {
        const { fault } = entry;
        if (!isMatch(fault.service, target.service) || !isMatch(fault.call, target.call)) {
            return false;
        }
        entry.matchedCalls += 1;
        if (entry.matchedCalls <= fault.skip || entry.affectedCalls >= (fault.count ?? Infinity)) {
            return false;
        }
        if (fault.probability < 1 && this.random.next() >= fault.probability) {
            return false;
        }
        entry.affectedCalls += 1;
        return true;
    }
}

/**
 * Finds the first fault of a kind among the faults of a call.
 *
 * @param faults - Faults that apply to a call.
 * @param kind - Kind of fault.
 * @returns The fault, or undefined when there is none of this kind.
 */
export function findFault<Kind extends FaultKind>(
    faults: readonly Fault[],
    kind: Kind,
): Extract<Fault, { kind: Kind }> | undefined {
    return faults.find((fault): fault is Extract<Fault, { kind: Kind }> => fault.kind === kind);
}

function isMatch(pattern: string | undefined, value: string): boolean {
    return pattern === undefined || pattern === value;
}
