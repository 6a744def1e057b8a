/**
 * The faults in force in a stand-in.
 *
 * @packageDocumentation
 */
import { faultPlanSchema, type Fault, type FaultKind, type FaultPlanInput } from "./faultSchema.js";
import { SeededRandom } from "./seededRandom.js";

const defaultSeed = 1;

/** What a fault can strike. */
export interface FaultTarget {
    readonly service: string;
    readonly call: string;
}

interface ActiveFault {
    readonly fault: Fault;
    seen: number;
    struck: number;
}

/** Chooses the faults of each call. */
export class FaultSwitches {
    private active: ActiveFault[] = [];
    private random = new SeededRandom(defaultSeed);
    private readonly waiters: (() => void)[] = [];

    /**
     * Replaces all faults in force.
     *
     * @param plan - The new faults and the seed of their random source.
     */
    setPlan(plan: FaultPlanInput): void {
        const parsed = faultPlanSchema.parse(plan);
        this.random = new SeededRandom(parsed.seed);
        this.active = parsed.faults.map((fault) => ({ fault, seen: 0, struck: 0 }));
        this.resolveWaiters();
    }

    /** Removes all faults. */
    clear(): void {
        this.active = [];
        this.resolveWaiters();
    }

    /** Waits until the plan is replaced or cleared; waits end in the order in which they began. */
    waitForNextPlan(): Promise<void> {
        return new Promise((resolve) => this.waiters.push(resolve));
    }

    /**
     * Chooses the faults that strike a call and counts them.
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
     * Reads a fault that is a state of the whole stand-in; it is not counted.
     *
     * @param kind - The kind.
     * @returns The fault, or undefined.
     */
    findActiveFault<Kind extends FaultKind>(kind: Kind): Extract<Fault, { kind: Kind }> | undefined {
        const entry = this.active.find((candidate) => candidate.fault.kind === kind);
        return entry?.fault as Extract<Fault, { kind: Kind }> | undefined;
    }

    private resolveWaiters(): void {
        this.waiters.splice(0).forEach((finish) => finish());
    }

    private tryApplyFault(entry: ActiveFault, target: FaultTarget): boolean {
        const { fault } = entry;
        if (!isMatch(fault.service, target.service) || !isMatch(fault.call, target.call)) {
            return false;
        }
        entry.seen += 1;
        if (entry.seen <= fault.skip || entry.struck >= (fault.count ?? Infinity)) {
            return false;
        }
        if (fault.probability < 1 && this.random.next() >= fault.probability) {
            return false;
        }
        entry.struck += 1;
        return true;
    }
}

/**
 * Finds the first fault of a kind.
 *
 * @param faults - The faults of a call.
 * @param kind - The kind.
 * @returns The fault, or undefined.
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
