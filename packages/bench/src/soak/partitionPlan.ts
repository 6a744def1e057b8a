/**
 * Plans partitions of nodes from all backend servers. The same seed gives the same plan.
 *
 * @packageDocumentation
 */
import { SeededRandom, type LinkState } from "@pimentocleat/standins";

/** Which nodes lose their links. */
export type PartitionScope = "dataCentre" | "allButOneDataCentre" | "third" | "twoThirds";

/** One partition. */
export interface PlannedPartition {
    readonly scope: PartitionScope;
    /** Indexes of the nodes that lose their links. */
    readonly nodes: readonly number[];
    readonly durationMs: number;
}

/** A deployment and its partitions. */
export interface PartitionPlan {
    /** How links fail. */
    readonly failure: LinkState;
    /** Data centre of each node, by its position in the list of data centres. */
    readonly dataCentres: readonly number[];
    readonly partitions: readonly PlannedPartition[];
}

/** What differs from a drawn plan. */
export interface PartitionOptions {
    readonly failure?: LinkState | undefined;
    readonly scope?: PartitionScope | undefined;
    /** Number of nodes in each data centre. */
    readonly dataCentreSizes?: readonly number[] | undefined;
    readonly partitionCount?: number;
    readonly durationMs?: number | undefined;
}

const failures: readonly LinkState[] = ["hanging", "reset", "refusingNew"];
const scopes: readonly PartitionScope[] = ["dataCentre", "dataCentre", "third", "twoThirds"];
/** Numbers of nodes in the data centres of a drawn deployment. */
const drawnSizes: readonly (readonly number[])[] = [
    [3, 3, 3],
    [9, 9],
    [14, 4],
    [8, 8, 8],
];
/** Some partitions outlast each timeout of a node. */
const durationRangeMs = [6_000, 14_000] as const;
const defaultPartitionCount = 2;

/**
 * Plans a run.
 *
 * @param seed - Any integer.
 * @param options - What is given instead of drawn.
 * @returns The plan.
 */
export function planPartitions(seed: number, options: PartitionOptions = {}): PartitionPlan {
    const random = new SeededRandom(seed);
    const draw = <Item>(items: readonly Item[]): Item => items[Math.floor(random.next() * items.length)]!;
    const failure = options.failure ?? draw(failures);
    const sizes = options.dataCentreSizes ?? draw(drawnSizes);
    const dataCentres = sizes.flatMap((size, index) => Array<number>(size).fill(index));
    const partitions = Array.from({ length: options.partitionCount ?? defaultPartitionCount }, () => {
        const scope = options.scope ?? draw(scopes);
        const cut = Math.floor(random.next() * sizes.length);
        const [minimumMs, maximumMs] = durationRangeMs;
        const drawnMs = Math.round(minimumMs + random.next() * (maximumMs - minimumMs));
        const order = [...dataCentres.keys()].map((index) => ({ index, rank: random.next() }));
        const shuffled = order.sort((left, right) => left.rank - right.rank).map(({ index }) => index);
        const count = Math.round(shuffled.length * (scope === "third" ? 1 / 3 : 2 / 3));
        const nodes = scope.endsWith("ataCentre")
            ? shuffled.filter((index) => (dataCentres[index] === cut) === (scope === "dataCentre"))
            : shuffled.slice(0, count);
        return { scope, nodes, durationMs: options.durationMs ?? drawnMs };
    });
    return { failure, dataCentres, partitions };
}
