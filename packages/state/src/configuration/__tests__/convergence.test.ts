import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { PlatformError, PlatformErrorKind, type TableService } from "@pimentocleat/services";
import { WithdrawalFollower } from "../../keys/withdrawalFollower.js";
import { ConfigurationFollower } from "../configurationFollower.js";
import { computeContentDigest } from "../configurationSnapshot.js";
import type { ApplyResult, FileChange } from "../configurationStore.js";
import { buildDigest, Cluster, convergenceBoundMs, defaultParts, type ClusterParts } from "./cluster.js";

const nodeCount = 4;
const seed = 20_261_203;
const runs = 120;
const keyIds = ["k0", "k1", "k2"];
const keyFile = `keys:\n${keyIds.map((id) => `  - {id: ${id}, customer: base, digest: ${buildDigest(id)}}\n`).join("")}`;
const baseFile = "customers: [{name: base}]\n";

type Step =
    | { readonly type: "edit"; readonly operator: number; readonly file: number; readonly isStale: boolean }
    | { readonly type: "race"; readonly files: readonly number[] }
    | { readonly type: "withdraw"; readonly node: number; readonly key: number }
    | { readonly type: "rewriteKeys" }
    | { readonly type: "outage"; readonly isStoreDown: boolean }
    | { readonly type: "lose"; readonly share: number }
    | { readonly type: "slow"; readonly delayMs: number }
    | { readonly type: "peers"; readonly areReachable: boolean }
    | { readonly type: "pause" | "cut" | "restart" | "poll"; readonly node: number }
    | { readonly type: "wait"; readonly durationMs: number };

const node = fc.nat(nodeCount - 1);
const steps: fc.Arbitrary<Step[]> = fc.array(
    fc.oneof(
        fc.record({
            type: fc.constant("edit" as const),
            operator: fc.nat(2),
            file: fc.nat(3),
            isStale: fc.boolean(),
        }),
        fc.record({
            type: fc.constant("race" as const),
            files: fc.array(fc.nat(3), { minLength: 2, maxLength: 4 }),
        }),
        fc.record({ type: fc.constant("withdraw" as const), node, key: fc.nat(2) }),
        fc.record({ type: fc.constant("rewriteKeys" as const) }),
        fc.record({ type: fc.constant("outage" as const), isStoreDown: fc.boolean() }),
        fc.record({ type: fc.constant("lose" as const), share: fc.constantFrom(0, 0.3, 0.6) }),
        fc.record({ type: fc.constant("slow" as const), delayMs: fc.constantFrom(0, 300, 900) }),
        fc.record({ type: fc.constant("peers" as const), areReachable: fc.boolean() }),
        fc.record({ type: fc.constantFrom("pause" as const, "cut" as const, "restart" as const), node }),
        fc.record({ type: fc.constant("wait" as const), durationMs: fc.constantFrom(100, 2_000, 12_000) }),
    ),
    { minLength: 5, maxLength: 30 },
);

interface Attempt {
    readonly changes: readonly FileChange[];
    readonly result: ApplyResult;
}

/** Runs steps and checks the oracle; throws if an invariant is violated. */
class ConvergenceRun {
    readonly cluster: Cluster;
    private readonly attempts: Attempt[] = [];
    private readonly acceptedWithdrawals = new Set<string>();
    private edits = 0;
    private known = new Map<string, string>();

    constructor(parts: ClusterParts) {
        this.cluster = new Cluster(parts, nodeCount, seed);
    }

    async runSteps(steps: readonly Step[]): Promise<void> {
        await this.apply([
            { name: "base.yaml", content: baseFile },
            { name: "keys.yaml", content: keyFile },
        ]);
        await this.cluster.advance(convergenceBoundMs, keyIds);
        for (const step of steps) {
            await this.runStep(step);
        }
        await this.checkEnd();
    }

    private async runStep(step: Step): Promise<void> {
        const { cluster } = this;
        switch (step.type) {
            case "edit":
                return this.apply([this.buildEdit(step.file, step.isStale)]);
            case "race":
                return this.applyTogether(step.files.map((file) => [this.buildEdit(file, false)]));
            case "withdraw":
                return this.withdraw(step.node, keyIds[step.key] ?? "");
            case "rewriteKeys":
                this.edits += 1;
                return this.apply([
                    this.buildChange("keys.yaml", `${keyFile}# ${String(this.edits)}\n`, false),
                ]);
            case "outage":
                cluster.isStoreDown = step.isStoreDown;
                return;
            case "lose":
                cluster.lostReplyShare = step.share;
                return;
            case "slow":
                cluster.storeDelayMs = step.delayMs;
                return;
            case "peers":
                cluster.arePeersReachable = step.areReachable;
                return;
            case "pause":
                togglePause(cluster, step.node);
                return;
            case "cut":
                cluster.nodes[step.node]!.isCut = !cluster.nodes[step.node]!.isCut;
                return;
            case "restart":
                return cluster.restartNode(step.node);
            case "poll":
                // May overlap with a running poll, like the poll that an operator's apply requests.
                void cluster.nodes[step.node]!.follower.pollOnce();
                return;
            case "wait":
                return cluster.advance(step.durationMs, keyIds);
        }
    }

    private buildEdit(file: number, isStale: boolean): FileChange {
        this.edits += 1;
        const content = `customers: [{name: c${String(file)}-${String(this.edits)}}]\n`;
        return this.buildChange(`file${String(file)}.yaml`, content, isStale);
    }

    private buildChange(name: string, content: string, isStale: boolean): FileChange {
        const before = isStale ? "an older text" : this.known.get(name);
        return {
            name,
            content,
            ...(before === undefined ? {} : { baseDigest: computeContentDigest(before) }),
        };
    }

    private apply(changes: readonly FileChange[]): Promise<void> {
        return this.applyTogether([changes]);
    }

    private async applyTogether(requests: readonly (readonly FileChange[])[]): Promise<void> {
        const calls = requests.map((changes) =>
            this.cluster.createOperator().applyChanges({ author: "o", changes }),
        );
        const results = await this.cluster.finish(Promise.all(calls), keyIds);
        requests.forEach((changes, index) => this.attempts.push({ changes, result: results[index]! }));
        this.known = this.replay().files;
    }

    private async withdraw(index: number, keyId: string): Promise<void> {
        const node = this.cluster.nodes[index]!;
        if (node.gate.isClosed) {
            return;
        }
        const result = await this.cluster.finish(node.withdrawals.withdrawKey(keyId, "o"), keyIds);
        if (result.type === "accepted") {
            this.acceptedWithdrawals.add(keyId);
        }
    }

    /** Replays the accepted edits into files, and groups the attempts by the revision that their result names. */
    private replay() {
        const files = new Map<string, string>();
        const byRevision = new Map<number, Attempt[]>();
        for (const attempt of this.attempts) {
            const { result } = attempt;
            if (result.type === "applied" || result.type === "unknown") {
                byRevision.set(result.revision, [...(byRevision.get(result.revision) ?? []), attempt]);
            }
        }
        for (const revision of [...byRevision.keys()].sort((left, right) => left - right)) {
            const attempts = byRevision.get(revision)!;
            const applied = attempts.filter((attempt) => attempt.result.type === "applied");
            if (applied.length > 1) {
                throw new Error(`revision ${String(revision)} was reported as applied to two operators`);
            }
            if (applied[0] !== undefined) {
                applied[0].changes.forEach((change) => files.set(change.name, change.content ?? ""));
            }
        }
        return { files, byRevision };
    }

    private async checkEnd(): Promise<void> {
        const { cluster } = this;
        cluster.isStoreDown = false;
        cluster.lostReplyShare = 0;
        cluster.storeDelayMs = 0;
        cluster.arePeersReachable = true;
        cluster.nodes.forEach((node) => {
            node.isCut = false;
            node.gate.open();
        });
        await cluster.advance(convergenceBoundMs, keyIds);
        const snapshot = await cluster.finish(cluster.createOperator().readSnapshot());
        this.checkFiles(snapshot.revision, new Map(snapshot.files.map((file) => [file.name, file.content])));
        for (const node of cluster.nodes) {
            expect(node.isReady).toBe(true);
            expect(node.configuration.readSnapshot()).toEqual(snapshot);
            for (const keyId of this.acceptedWithdrawals) {
                expect(node.registry.findKey(`secret-of-${keyId}`)).toEqual({ type: "withdrawn", keyId });
            }
        }
        cluster.close();
    }

    private checkFiles(revision: number, stored: ReadonlyMap<string, string>): void {
        const { byRevision } = this.replay();
        const files = new Map<string, string>();
        for (let current = 1; current <= revision; current += 1) {
            const attempts = byRevision.get(current) ?? [];
            const committed = attempts.find((attempt) => attempt.result.type === "applied") ?? attempts[0];
            if (committed === undefined) {
                throw new Error(`revision ${String(current)} exists, but was reported to no operator`);
            }
            committed.changes.forEach((change) => files.set(change.name, change.content ?? ""));
        }
        expect(stored).toEqual(files);
    }
}

function togglePause(cluster: Cluster, index: number): void {
    const { gate } = cluster.nodes[index]!;
    if (gate.isClosed) {
        gate.open();
    } else {
        gate.close();
    }
}

function checkSteps(parts: ClusterParts, overrides: fc.Parameters<[Step[]]> = {}): Promise<void> {
    return fc.assert(
        fc.asyncProperty(steps, async (list) => new ConvergenceRun(parts).runSteps(list)),
        { seed, numRuns: runs, endOnFailure: true, ...overrides },
    );
}

class RevertingFollower extends ConfigurationFollower {
    override readRevision(): number {
        return 0;
    }
}

class WithdrawalIgnoringFollower extends WithdrawalFollower {
    override receiveWithdrawals(): void {}
    override recordPending(): Promise<void> {
        return Promise.resolve();
    }
}

function changeCommits(change: (table: TableService) => TableService["commitTransaction"]): ClusterParts {
    return {
        ...defaultParts,
        wrapOperatorTable: (table) => ({
            readRow: (...call) => table.readRow(...call),
            scanRows: (...call) => table.scanRows(...call),
            commitTransaction: change(table),
        }),
    };
}

interface Mutant {
    readonly title: string;
    readonly parts: ClusterParts;
    /** Part of the error that the oracle reports. */
    readonly expectedError: string;
}

const mutants: readonly Mutant[] = [
    {
        title: "applies any revision",
        parts: { ...defaultParts, createConfigurationFollower: (options) => new RevertingFollower(options) },
        expectedError: "reverted from",
    },
    {
        title: "ignores the withdrawals of peers",
        parts: {
            ...defaultParts,
            createWithdrawalFollower: (options) => new WithdrawalIgnoringFollower(options),
        },
        expectedError: "expected { type: 'valid'",
    },
    {
        title: "accepts requests while partitioned",
        parts: { ...defaultParts, isolationLimitMs: Number.POSITIVE_INFINITY },
        expectedError: "accepts requests although it is cut off",
    },
    {
        title: "commits without a condition",
        parts: changeCommits(
            (table) => (transaction) => table.commitTransaction({ ...transaction, conditions: [] }),
        ),
        expectedError: "was reported as applied to two operators",
    },
    {
        title: "treats a lost reply as a success",
        parts: changeCommits((table) => async (transaction) => {
            try {
                return await table.commitTransaction(transaction);
            } catch (error) {
                if (error instanceof PlatformError && error.kind === PlatformErrorKind.Ambiguous) {
                    return { outcome: "committed", version: 1 };
                }
                throw error;
            }
        }),
        expectedError: "was reported as applied to two operators",
    },
    {
        title: "treats a lost reply as a failure",
        parts: changeCommits((table) => async (transaction) => {
            try {
                return await table.commitTransaction(transaction);
            } catch {
                throw new PlatformError(PlatformErrorKind.Unavailable, "refused");
            }
        }),
        expectedError: "was reported to no operator",
    },
];

describe("configuration and withdrawals under faults", () => {
    it("never reverts, loses no accepted edit and converges within the bound", async () => {
        await checkSteps(defaultParts, inject("fuzz"));
    });

    it.each(mutants)("detects a mutant that $title", async ({ parts, expectedError }) => {
        const failure: unknown = await checkSteps(parts).catch((error: unknown) => error);
        expect(String((failure as Error | undefined)?.cause)).toContain(expectedError);
    });
});
