/**
 * Plans how the store comes back from older copies of itself, and what happens to the reporter of usage meanwhile. The
 * same seed gives the same plan.
 *
 * @packageDocumentation
 */
import { SeededRandom, type StoreMode } from "@pimentocleat/standins";

/** What happens to the node that has sent the last usage report. */
export type ReporterFault = "kill" | "freeze" | "killDataCentre";

/** One return of the store to an older copy. */
export interface StoreReturn {
    readonly fault: ReporterFault;
    /** Time from the arrival of a report until the fault and the loss of the store, in milliseconds. */
    readonly delayMs: number;
    /** Age of the copy when the store goes away, in milliseconds. */
    readonly ageMs: number;
    /** Time for which the store is away, in milliseconds. */
    readonly awayMs: number;
    readonly awayMode: StoreMode;
    /** Time until killed nodes start again or a frozen one goes on, in milliseconds. */
    readonly downMs: number;
}

const reporterFaults: readonly ReporterFault[] = ["kill", "freeze", "killDataCentre"];
const awayModes: readonly StoreMode[] = ["silent", "busy", "reset"];
/** Share of the faults that come together with a report; the others come one to three seconds after it. */
const immediateShare = 0.3;
const delayRangeMs = [1_000, 3_000] as const;
/** Ages of a copy as the users publish them, in milliseconds. */
const ageRangeMs = [500, 12_000] as const;
const awayRangeMs = [200, 4_000] as const;
/** Frozen nodes go on before, during and after the takeover of a lease of three seconds. */
const downRangeMs = [2_000, 9_000] as const;

/**
 * Plans the returns of the store.
 *
 * @param seed - Any integer.
 * @param count - Number of returns.
 * @returns The returns in their order.
 */
export function planStoreReturns(seed: number, count: number): readonly StoreReturn[] {
    const random = new SeededRandom(seed);
    const draw = <Item>(items: readonly Item[]): Item => items[Math.floor(random.next() * items.length)]!;
    const drawMs = ([minimumMs, maximumMs]: readonly [number, number]): number =>
        Math.round(minimumMs + random.next() * (maximumMs - minimumMs));
    return [...Array(count).keys()].map(() => ({
        fault: draw(reporterFaults),
        delayMs: random.next() < immediateShare ? 0 : drawMs(delayRangeMs),
        ageMs: drawMs(ageRangeMs),
        awayMs: drawMs(awayRangeMs),
        awayMode: draw(awayModes),
        downMs: drawMs(downRangeMs),
    }));
}
