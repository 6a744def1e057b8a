/**
 * What happens to nodes while their store goes away and comes back from a copy.
 *
 * @packageDocumentation
 */
import { scenarioNodes, StoreCopyScenario } from "./storeCopyScenario.js";
import { usersDurations } from "./usageDurations.js";
import type { ReportFault } from "./usageSimulation.js";

/** The moment and the kind of a return of the store, in milliseconds. */
export interface StoreReturn {
    readonly ageMs: number;
    readonly awayMs: number;
    /** Time from the start of the event until the store goes away. */
    readonly offsetMs: number;
}

export interface StoreEvent {
    readonly name: string;
    /** Difference of the wall clock of the first node from true time, in milliseconds. */
    readonly firstClockOffsetMs?: number;
    /** Whether a node lives on, so that the loss of windows is bounded. */
    readonly hasSurvivor: boolean;
    readonly run: (scenario: StoreCopyScenario, storeReturn: StoreReturn) => Promise<void>;
}

const allIndexes: readonly number[] = [...Array(scenarioNodes).keys()];
/** Time for which faults of reports or of the connection to the store go on after its return, in milliseconds. */
const faultTailMs = 6_000;
/** Time after which a frozen reporter goes on, in milliseconds. */
const freezeMs = 9_000;
/** Time between two returns beyond the offset, in milliseconds. */
const secondReturnMs = 500;
/** Difference of a wrong wall clock from true time, in milliseconds. */
const wrongClockMs = 2_000;

async function returnStore(
    scenario: StoreCopyScenario,
    { ageMs, awayMs, offsetMs }: StoreReturn,
): Promise<void> {
    await scenario.advance(offsetMs);
    scenario.returnStore(ageMs, awayMs);
    await scenario.advance(awayMs);
}

async function returnStoreWithReportFaults(
    scenario: StoreCopyScenario,
    storeReturn: StoreReturn,
    fault: ReportFault,
): Promise<void> {
    scenario.simulation.chooseReportFault = (): ReportFault => fault;
    await returnStore(scenario, storeReturn);
    await scenario.advance(faultTailMs);
    scenario.simulation.chooseReportFault = (): ReportFault => "none";
}

/** Freezes or kills the reporter right after its report; it may have been replaced. */
function freezeReporter(scenario: StoreCopyScenario, reporter: number): void {
    scenario.simulation.leases.nodes[reporter]?.host.freeze();
}

/** Lets the store go away at the moment of a window as a wrong clock measures it. */
function returnStoreByClock(
    scenario: StoreCopyScenario,
    { offsetMs, ...rest }: StoreReturn,
    clockOffsetMs: number,
): Promise<void> {
    return returnStore(scenario, { ...rest, offsetMs: offsetMs + usersDurations.windowMs - clockOffsetMs });
}

/** Cuts nodes off from the store as it goes away; the indexes are counted from the reporter. */
async function returnStoreToOthers(
    scenario: StoreCopyScenario,
    { offsetMs, ...rest }: StoreReturn,
    cutOffFromReporter: readonly number[],
): Promise<void> {
    const { cutOff } = scenario.simulation.leases;
    await scenario.advance(offsetMs);
    const reporter = Math.max(0, scenario.findReporter());
    cutOffFromReporter.forEach((index) => cutOff.add((reporter + index) % scenarioNodes));
    await returnStore(scenario, { ...rest, offsetMs: 0 });
    await scenario.advance(faultTailMs);
    cutOff.clear();
}

async function returnStoreTwice(
    scenario: StoreCopyScenario,
    storeReturn: StoreReturn,
    onFirst: () => void = () => undefined,
): Promise<void> {
    await returnStore(scenario, storeReturn);
    onFirst();
    await returnStore(scenario, { ...storeReturn, offsetMs: secondReturnMs + storeReturn.offsetMs });
}

/** The events; each name completes "a store that comes back from a copy while". */
export const storeEvents: readonly StoreEvent[] = [
    { name: "all nodes live on", hasSurvivor: true, run: returnStore },
    {
        name: "all nodes are killed as it goes away",
        hasSurvivor: false,
        run: async (scenario, { offsetMs, ...rest }) => {
            await scenario.advance(offsetMs);
            scenario.simulation.killAll();
            await returnStore(scenario, { ...rest, offsetMs: 0 });
        },
    },
    {
        name: "all nodes are killed as it is back",
        hasSurvivor: false,
        run: async (scenario, storeReturn) => {
            await returnStore(scenario, storeReturn);
            scenario.simulation.killAll();
        },
    },
    {
        name: "the reporter freezes after its report and the others start anew",
        hasSurvivor: true,
        run: async (scenario, storeReturn) => {
            let frozen = 0;
            await scenario.advanceToReport((reporter) => {
                frozen = reporter;
                freezeReporter(scenario, reporter);
            });
            scenario.killNodes(allIndexes.filter((index) => index !== frozen));
            await returnStore(scenario, storeReturn);
            await scenario.advance(freezeMs);
            scenario.simulation.leases.thaw(frozen);
        },
    },
    {
        name: "the reporter is killed after its report",
        hasSurvivor: true,
        run: async (scenario, storeReturn) => {
            await scenario.advanceToReport((reporter) => scenario.killNodes([reporter]));
            await returnStore(scenario, storeReturn);
        },
    },
    {
        name: "answers of reports are lost",
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreWithReportFaults(scenario, storeReturn, "lostAnswer"),
    },
    {
        name: "reports arrive late",
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreWithReportFaults(scenario, storeReturn, "slow"),
    },
    {
        name: "a report is under way",
        hasSurvivor: true,
        run: async (scenario, { ageMs, awayMs, offsetMs }) => {
            await scenario.advance(offsetMs);
            await scenario.advanceToReport(() => scenario.returnStore(ageMs, awayMs));
            await scenario.advance(awayMs);
        },
    },
    {
        name: "a window was sealed and is not yet summed",
        hasSurvivor: true,
        run: async (scenario, { ageMs, awayMs, offsetMs }) => {
            await scenario.advance(offsetMs);
            await scenario.advanceToSeal(() => scenario.returnStore(ageMs, awayMs));
            await scenario.advance(awayMs);
        },
    },
    {
        name: "a window was sealed, and its reporter is killed after the report",
        hasSurvivor: true,
        run: async (scenario, { ageMs, awayMs, offsetMs }) => {
            await scenario.advance(offsetMs);
            await scenario.advanceToSeal(() => scenario.returnStore(ageMs, awayMs));
            await scenario.advanceToReport((reporter) => scenario.killNodes([reporter]));
        },
    },
    {
        name: "the reporter cannot reach it",
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreToOthers(scenario, storeReturn, [0]),
    },
    {
        name: "the reporter and another node cannot reach it",
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreToOthers(scenario, storeReturn, [0, 2]),
    },
    {
        name: "two nodes but not the reporter cannot reach it",
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreToOthers(scenario, storeReturn, [1, 3]),
    },
    {
        name: "it does so again before the first era had a report",
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreTwice(scenario, storeReturn),
    },
    {
        name: "it does so again and all nodes are killed in between",
        hasSurvivor: false,
        run: (scenario, storeReturn) =>
            returnStoreTwice(scenario, storeReturn, () => scenario.simulation.killAll()),
    },
    {
        name: "one clock is 2 s ahead",
        firstClockOffsetMs: wrongClockMs,
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreByClock(scenario, storeReturn, wrongClockMs),
    },
    {
        name: "one clock is 2 s behind",
        firstClockOffsetMs: -wrongClockMs,
        hasSurvivor: true,
        run: (scenario, storeReturn) => returnStoreByClock(scenario, storeReturn, -wrongClockMs),
    },
];
