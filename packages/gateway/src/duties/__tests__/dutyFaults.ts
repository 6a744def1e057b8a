/**
 * Random series of overlapping faults of a deployment, and the plays that run them.
 *
 * @packageDocumentation
 */
import { DutySimulation, type DutySimulationOptions, type ReportFault } from "./dutySimulation.js";
import type { ReportStep } from "./dutyStore.js";

/** How wrong the clocks of nodes get: by less than a window for a time, or single ones by more than a window. */
export type ClockErrors = "none" | "belowWindow" | "beyondWindow";

export interface PlayOptions extends Omit<DutySimulationOptions, "firstClockErrorMs"> {
    readonly clocks?: ClockErrors;
    readonly faultCount?: number;
}

export interface PlayResult {
    readonly violations: readonly string[];
    /** The faults with their time in milliseconds since the start. */
    readonly faults: readonly string[];
    readonly simulation: DutySimulation;
}

interface Play {
    readonly simulation: DutySimulation;
    /** Draws a number between two bounds. */
    readonly draw: (minimum: number, maximum: number) => number;
    readonly choose: <Value>(values: readonly Value[]) => Value;
    /** Draws a share of the nodes. */
    readonly chooseNodes: (share: number) => readonly number[];
    /** The reporter, or a random node without one. */
    readonly findReporter: () => number;
    /** Ends a fault after a time in milliseconds. */
    readonly endAfter: (durationMs: number, end: () => void) => void;
}

type Fault = (play: Play) => void;

/** Shortest and longest time before the first fault, in milliseconds. */
const shortestWarmUpMs = 8_000;
const longestWarmUpMs = 20_000;
const aftermathMs = 30_000;
/** The fault that outlasts the aftermath, and the additional time for it, in milliseconds. */
const longestFault = "freezeBeyondRetention";
const longestFaultAftermathMs = 20_000;
const defaultFaultCount = 12;
/** Shortest and longest time from one fault to the next, in milliseconds; most faults last longer. */
const shortestPauseMs = 200;
const longestPauseMs = 3_500;
const copyAgesMs: readonly number[] = [500, 1_000, 2_000, 4_000, 8_000, 12_000];
const absencesMs: readonly number[] = [0, 0, 1_000, 5_000];
/** Time for which a node is frozen beyond the retention of rows, which is six windows, in milliseconds. */
const beyondRetentionMs = 36_000;
const restartIntervalMs = 700;
/** Largest errors of single clocks, in milliseconds; a window is 5,000 ms long. */
const farErrorsMs: readonly number[] = [-11_000, -6_500, 6_500, 11_000];

function returnStore({ simulation, draw, choose }: Play): void {
    simulation.store.returnFromCopy(choose(copyAgesMs), choose(absencesMs), draw(0, 1) < 0.5);
}

function freezeAtStep({ simulation, draw }: Play, step: ReportStep): void {
    simulation.store.onStep = (reached, index): void => {
        if (reached === step) {
            simulation.store.onStep = (): void => undefined;
            simulation.freezeNodes([index], draw(2_000, 12_000));
        }
    };
}

function runAtReport({ simulation }: Play, action: (index: number) => void): void {
    simulation.onReport = (index): void => {
        simulation.onReport = (): void => undefined;
        action(index);
    };
}

function cutOff({ simulation, draw, endAfter }: Play, indexes: readonly number[]): void {
    const { store } = simulation;
    indexes.forEach((index) => store.cutOff.add(index));
    endAfter(draw(1_000, 9_000), () => indexes.forEach((index) => store.cutOff.delete(index)));
}

const faults: Readonly<Record<string, Fault>> = {
    returnStore,
    returnStoreAgain: (play) => {
        returnStore(play);
        play.endAfter(play.draw(500, 7_000), () => returnStore(play));
    },
    returnStoreAtReport: (play) => runAtReport(play, () => returnStore(play)),
    returnStoreAndKill: (play) =>
        runAtReport(play, (index) => {
            const { simulation, choose } = play;
            const killed = choose([[index], simulation.listDataCentre(index), simulation.listIndexes()]);
            play.endAfter(play.draw(0, 2_000), () => simulation.killNodes(killed));
            returnStore(play);
        }),
    returnStoreUnseen: (play) => {
        cutOff(play, [play.findReporter()]);
        returnStore(play);
    },
    busyStore: ({ simulation, draw, chooseNodes, choose, endAfter }) => {
        const { busyFor } = simulation.store;
        const indexes = chooseNodes(choose([0.3, 0.7, 1]));
        indexes.forEach((index) => busyFor.add(index));
        endAfter(draw(1_000, 6_000), () => indexes.forEach((index) => busyFor.delete(index)));
    },
    lateStore: ({ simulation, draw, endAfter }) => {
        simulation.store.setLateness(0.4, draw(1_500, 7_000));
        endAfter(draw(2_000, 8_000), () => simulation.store.setLateness());
    },
    lostAnswers: ({ simulation, draw, endAfter }) => {
        simulation.store.lostAnswerShare = 0.5;
        endAfter(draw(1_000, 6_000), () => (simulation.store.lostAnswerShare = 0));
    },
    lostMessages: ({ simulation, draw, endAfter }) => {
        const { lossShare } = simulation;
        simulation.lossShare = 0.9;
        endAfter(draw(2_000, 8_000), () => (simulation.lossShare = Math.min(lossShare, 0.1)));
    },
    killReporter: ({ simulation, findReporter }) => simulation.killNodes([findReporter()]),
    killReporterAtReport: (play) => runAtReport(play, (index) => play.simulation.killNodes([index])),
    killDataCentre: ({ simulation, findReporter }) =>
        simulation.killNodes(simulation.listDataCentre(findReporter())),
    killAll: ({ simulation }) => simulation.killNodes(simulation.listIndexes()),
    restartInSeries: ({ simulation, chooseNodes, endAfter }) =>
        chooseNodes(0.2)
            .slice(0, 12)
            .forEach((index, place) =>
                endAfter(place * restartIntervalMs, () => simulation.killNodes([index])),
            ),
    freezeReporter: ({ simulation, draw, findReporter }) =>
        simulation.freezeNodes([findReporter()], draw(1_000, 12_000)),
    freezeAtReport: (play) =>
        runAtReport(play, (index) => play.simulation.freezeNodes([index], play.draw(2_000, 12_000))),
    freezeAtSeal: (play) => freezeAtStep(play, "seal"),
    freezeAtSum: (play) => freezeAtStep(play, "sum"),
    freezeSome: ({ simulation, draw, chooseNodes }) =>
        simulation.freezeNodes(chooseNodes(0.15), draw(2_000, 12_000)),
    [longestFault]: ({ simulation, chooseNodes }) =>
        simulation.freezeNodes(chooseNodes(0.02), beyondRetentionMs),
    freezeOthers: ({ simulation, draw, findReporter }) => {
        const reporter = findReporter();
        simulation.freezeNodes(
            simulation.listIndexes().filter((index) => index !== reporter),
            draw(3_000, 9_000),
        );
    },
    cutOffReporter: (play) => cutOff(play, [play.findReporter()]),
    cutOffHalf: (play) => cutOff(play, play.chooseNodes(0.5)),
    faultyReports: ({ simulation, draw, choose, endAfter }) => {
        simulation.reportFault = choose<ReportFault>(["lostReport", "lostAnswer", "slow"]);
        endAfter(draw(2_000, 8_000), () => (simulation.reportFault = "none"));
    },
};

const clockFaults: Readonly<Record<ClockErrors, Readonly<Record<string, Fault>>>> = {
    none: {},
    belowWindow: {
        clocksAhead: ({ simulation, chooseNodes }) => simulation.stepClocks(chooseNodes(0.28), 2_400, 6_000),
        clocksBack: ({ simulation, chooseNodes }) => simulation.stepClocks(chooseNodes(0.23), -1_900, 8_000),
    },
    beyondWindow: {
        clockFarOff: ({ simulation, draw, choose, findReporter }) =>
            simulation.stepClocks([findReporter()], choose(farErrorsMs), draw(6_000, 20_000)),
        clocksFarOff: ({ simulation, draw, choose, chooseNodes }) =>
            simulation.stepClocks(chooseNodes(0.1), choose(farErrorsMs), draw(6_000, 20_000)),
    },
};

function createPlay(simulation: DutySimulation): Play {
    const { random } = simulation;
    const draw = (minimum: number, maximum: number): number => minimum + random() * (maximum - minimum);
    const choose = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]!;
    return {
        simulation,
        draw,
        choose,
        chooseNodes: (share) => {
            const chosen = simulation.listIndexes().filter(() => random() < share);
            return chosen.length > 0 ? chosen : [choose(simulation.listIndexes())];
        },
        findReporter: () => {
            const reporter = simulation.findReporter();
            return reporter < 0 ? choose(simulation.listIndexes()) : reporter;
        },
        endAfter: (durationMs, end) => void simulation.clock.wait(durationMs).then(end),
    };
}

/**
 * Runs a deployment through a random series of overlapping faults.
 *
 * @param options - The deployment, the seed and how wrong its clocks get.
 * @returns What is wrong with its reports and the holders of its lease, and the faults.
 */
export async function runPlay(options: PlayOptions): Promise<PlayResult> {
    const { clocks = "none", faultCount = defaultFaultCount, seed } = options;
    const isFarOff = clocks === "beyondWindow" && seed % 2 === 0;
    const firstClockErrorMs = isFarOff ? farErrorsMs[(seed / 2) % farErrorsMs.length] : undefined;
    const simulation = new DutySimulation({ ...options, firstClockErrorMs });
    const play = createPlay(simulation);
    const kinds = Object.entries({ ...faults, ...clockFaults[clocks] });
    // Returns of the store and errors of clocks are drawn more often, so that several of them overlap.
    const frequentKinds = kinds.filter(([name]) => /^(returnStore|clock)/.test(name));
    const happened: string[] = isFarOff ? [`first clock off by ${String(firstClockErrorMs)} ms`] : [];
    await simulation.advance(play.draw(shortestWarmUpMs, longestWarmUpMs));
    for (let fault = 0; fault < faultCount; fault += 1) {
        const [name, run] = play.choose(play.draw(0, 1) < 0.4 ? frequentKinds : kinds);
        happened.push(`${String(simulation.clock.monotonicMs())} ${name}`);
        run(play);
        await simulation.advance(play.draw(shortestPauseMs, longestPauseMs));
    }
    await simulation.advance(aftermathMs);
    if (happened.some((fault) => fault.endsWith(longestFault))) {
        await simulation.advance(longestFaultAftermathMs);
    }
    return { violations: simulation.findViolations(), faults: happened, simulation };
}
