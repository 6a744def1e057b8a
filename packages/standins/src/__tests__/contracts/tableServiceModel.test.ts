import {
    HttpTableService,
    PlatformError,
    PlatformErrorKind,
    type JsonValue,
    type TableService,
} from "@pimentocleat/services";
import fc from "fast-check";
import { expect, inject, test } from "vitest";
import { startPlatform, type FaultInput, type RunningPlatform } from "../../index.js";

const seed = 20_261_203;
const runs = 60;
const maximumCommands = 40;
const table = "claims";
const keys = ["a", "b", "c"];
const hangTimeoutMs = 200;
const callTimeoutMs = 30_000;

/** Model of the expected rows; each value carries the unique token of the write that stored it. */
interface Model {
    readonly rows: Map<string, { readonly token: number; readonly version: number }>;
    ambiguousCommits: number;
    appliedAmbiguousCommits: number;
}

interface RealSystem {
    readonly client: TableService;
    /** Client of the same service with a short timeout, for calls that hang. */
    readonly shortTimeoutClient: TableService;
    readonly platform: RunningPlatform;
    lastToken: number;
}

type Command = fc.AsyncCommand<Model, RealSystem>;

/** Writes a row on condition of its version, and resolves an ambiguous commit by reading back the token. */
class CommitCommand implements Command {
    constructor(
        private readonly key: string,
        /** Added to the current version; any value but 0 makes the condition fail. */
        private readonly versionOffset: number,
        private readonly fault: FaultInput["kind"] | undefined,
    ) {}

    check(): boolean {
        return true;
    }

    async run(model: Model, real: RealSystem): Promise<void> {
        real.lastToken += 1;
        const token = real.lastToken;
        const before = model.rows.get(this.key);
        const conditionHolds = this.versionOffset === 0;
        const condition = { table, key: this.key, version: (before?.version ?? 0) + this.versionOffset };
        real.platform.switches.setPlan({ faults: buildFaults(this.fault) });
        const client = this.fault === "hang" ? real.shortTimeoutClient : real.client;
        const result = await commitOrResolve(client, real, condition, token, model);
        const hasEffect = conditionHolds && this.fault !== "refuse" && this.fault !== "hang";
        expect(result).toBe(hasEffect);
        if (hasEffect) {
            const row = await real.client.readRow(table, this.key);
            expect(row?.value).toEqual({ token });
            expect(row?.version).toBeGreaterThan(before?.version ?? 0);
            model.rows.set(this.key, { token, version: row?.version ?? 0 });
        }
    }

    toString(): string {
        return `commit(${this.key}, offset ${this.versionOffset}, ${this.fault ?? "no fault"})`;
    }
}

/** Compares all rows with the model. */
class ScanCommand implements Command {
    check(): boolean {
        return true;
    }

    async run(model: Model, real: RealSystem): Promise<void> {
        const rows = await real.client.scanRows(table);
        const expected = [...model.rows].sort(([left], [right]) => (left < right ? -1 : 1));
        expect(rows.map((row) => [row.key, row.value, row.version])).toEqual(
            expected.map(([key, { token, version }]) => [key, { token }, version]),
        );
    }

    toString(): string {
        return "scan()";
    }
}

async function commitOrResolve(
    client: TableService,
    real: RealSystem,
    condition: { table: string; key: string; version: number },
    token: number,
    model: Model,
): Promise<boolean> {
    const write = { table, key: condition.key, value: { token } satisfies JsonValue };
    try {
        const result = await client.commitTransaction({ conditions: [condition], writes: [write] });
        return result.outcome === "committed";
    } catch (error) {
        real.platform.switches.clear();
        const row = await real.client.readRow(table, condition.key);
        const isApplied = JSON.stringify(row?.value) === JSON.stringify({ token });
        if ((error as PlatformError).kind !== PlatformErrorKind.Ambiguous) {
            expect(isApplied).toBe(false);
            return false;
        }
        model.ambiguousCommits += 1;
        model.appliedAmbiguousCommits += isApplied ? 1 : 0;
        return isApplied;
    } finally {
        real.platform.switches.clear();
    }
}

function buildFaults(kind: FaultInput["kind"] | undefined): FaultInput[] {
    return kind === undefined ? [] : [{ kind, call: "commit", count: 1 } as FaultInput];
}

const commands = [
    fc
        .tuple(
            fc.constantFrom(...keys),
            fc.constantFrom(0, 0, 0, 1),
            fc.constantFrom("dropReply", "refuse", "failAfterEffect", "hang", undefined, undefined),
        )
        .map(
            ([key, offset, fault]) => new CommitCommand(key, offset, fault as FaultInput["kind"] | undefined),
        ),
    fc.constant(new ScanCommand()),
];

test(`the client agrees with the model when responses are lost (seed ${seed})`, async () => {
    const totals = { ambiguous: 0, applied: 0 };
    const property = fc.asyncProperty(
        fc.commands(commands, { maxCommands: maximumCommands }),
        async (list) => {
            const platform = await startPlatform();
            const { address } = platform;
            const client = new HttpTableService({ address, timeoutMs: callTimeoutMs });
            const shortTimeoutClient = new HttpTableService({ address, timeoutMs: hangTimeoutMs });
            const model: Model = { rows: new Map(), ambiguousCommits: 0, appliedAmbiguousCommits: 0 };
            const real: RealSystem = { client, shortTimeoutClient, platform, lastToken: 0 };
            try {
                await fc.asyncModelRun(() => ({ model, real }), list);
                await new ScanCommand().run(model, real);
            } finally {
                totals.ambiguous += model.ambiguousCommits;
                totals.applied += model.appliedAmbiguousCommits;
                await Promise.all([client.close(), shortTimeoutClient.close()]);
                await platform.close();
            }
        },
    );
    await fc.assert(property, { seed, numRuns: runs, endOnFailure: true, ...inject("fuzz") });
    expect(totals.applied).toBeGreaterThan(0);
    expect(totals.ambiguous).toBeGreaterThan(totals.applied);
});
