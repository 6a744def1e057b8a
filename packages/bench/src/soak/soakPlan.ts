/**
 * Which faults strike real node processes, and when; the same for the same seed.
 *
 * @packageDocumentation
 */
import { SeededRandom, type ServerBehaviour, type StoreMode, type WriteFault } from "@pimentocleat/standins";

/** One fault. */
export type SoakFault =
    | { readonly type: "kill" | "stop"; readonly node: number }
    | { readonly type: "freeze"; readonly node: number; readonly forMs: number }
    | { readonly type: "store"; readonly mode: StoreMode; readonly forMs: number }
    | { readonly type: "writes"; readonly faults: readonly WriteFault[]; readonly lateMs: number }
    | {
          readonly type: "servers";
          readonly service: "plain" | "engines";
          readonly behaviours: readonly ServerBehaviour[];
      }
    | { readonly type: "leaving"; readonly server: number; readonly forMs: number }
    | { readonly type: "configuration" };

/** A fault and its moment. */
export interface PlannedFault {
    /** Milliseconds since the load began. */
    readonly startMs: number;
    readonly fault: SoakFault;
}

/** Nodes of a run; the fewest of which a majority remains when one is struck. */
export const nodeCount = 3;
/** Mean time between two faults, in milliseconds; shorter than most of them last, so that they overlap. */
const meanFaultIntervalMs = 700;
/** Shortest and longest time of a fault, in milliseconds; longer than a lease of the run at the most. */
const minimumFaultMs = 200;
const maximumFaultMs = 2_500;
/** Requests that get a drawn behaviour of the servers each time. */
const behavioursPerFault = 6;

const plainBehaviours: readonly ServerBehaviour[] = [
    { type: "lost" },
    { type: "silent" },
    { type: "failure", status: 500 },
    { type: "notRun", status: 503 },
    { type: "notRun", status: 429 },
    { type: "otherServer" },
    { type: "wrongIdentifier" },
    { type: "unsigned" },
];
const engineBehaviours: readonly ServerBehaviour[] = [
    ...plainBehaviours,
    { type: "brokenStream", events: 2 },
    { type: "resetWithoutLength", events: 2 },
    { type: "stalledStream", events: 2 },
    { type: "slowStream", pauseMs: 60 },
];
const storeModes: readonly StoreMode[] = ["busy", "limited", "reset", "silent"];
const writeFaults: readonly WriteFault[] = ["usual", "lost", "late"];

/**
 * Plans the faults of a run.
 *
 * @param seed - Any integer.
 * @param durationMs - Length of the load, in milliseconds.
 * @returns The faults in the order of their moments.
 */
export function planFaults(seed: number, durationMs: number): readonly PlannedFault[] {
    const random = new SeededRandom(seed);
    const draw = <Item>(items: readonly Item[]): Item => items[Math.floor(random.next() * items.length)]!;
    const drawMs = (): number =>
        Math.round(minimumFaultMs + random.next() * (maximumFaultMs - minimumFaultMs));
    const drawMany = <Item>(items: readonly Item[]): readonly Item[] =>
        [...Array(behavioursPerFault).keys()].map(() => draw(items));
    const drawNode = (): number => Math.floor(random.next() * nodeCount);
    const kinds: readonly (() => SoakFault)[] = [
        () => ({ type: "kill", node: drawNode() }),
        () => ({ type: "stop", node: drawNode() }),
        () => ({ type: "freeze", node: drawNode(), forMs: drawMs() }),
        () => ({ type: "store", mode: draw(storeModes), forMs: drawMs() }),
        () => ({ type: "writes", faults: drawMany(writeFaults), lateMs: drawMs() }),
        () => ({ type: "servers", service: "plain", behaviours: drawMany(plainBehaviours) }),
        () => ({ type: "servers", service: "engines", behaviours: drawMany(engineBehaviours) }),
        () => ({ type: "leaving", server: Math.floor(random.next() * 2), forMs: drawMs() }),
        () => ({ type: "configuration" }),
    ];
    const planned: PlannedFault[] = [];
    let atMs = 0;
    for (;;) {
        atMs += Math.round(2 * meanFaultIntervalMs * random.next());
        if (atMs >= durationMs) {
            return planned;
        }
        planned.push({ startMs: atMs, fault: draw(kinds)() });
    }
}
