/**
 * Simulates several hosts with claim stores on one table service, and counts the runs of each request.
 *
 * @packageDocumentation
 */
import { MemoryTableService } from "@pimentocleat/services";
import type { TableService } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import {
    advanceTime,
    HostTableService,
    flushTasks,
    SimulatedHost,
} from "../../retrying/__tests__/simulatedHost.js";
import type { ClaimOutcome, ClaimResult, ClaimStore, StoredAnswer } from "../claimStore.js";
import { TableClaimStore, type TableClaimStoreOptions } from "../tableClaimStore.js";

/** Creates the claim store of one node; mutants create a defective one. */
export type ClaimStoreFactory = (options: TableClaimStoreOptions) => ClaimStore;

export interface ClaimNode {
    readonly name: string;
    readonly host: SimulatedHost;
    readonly table: HostTableService;
    readonly store: ClaimStore;
}

/** A request and the result that its caller observed. */
export interface Attempt {
    readonly key: string;
    readonly node: string;
    result?: ClaimResult;
    ran: boolean;
}

export const storedAnswer: StoredAnswer = { status: 200, headers: { a: "b" }, body: "aGVsbG8=" };

export function createStore(options: TableClaimStoreOptions): ClaimStore {
    return new TableClaimStore(options);
}

export class ClaimSimulation {
    readonly clock = new ManualClock();
    readonly memory = new MemoryTableService();
    readonly nodes: ClaimNode[] = [];
    readonly deadOwners = new Set<string>();
    readonly attempts: Attempt[] = [];
    private readonly runs = new Map<string, number>();
    private tokens = 0;

    constructor(
        nodeCount: number,
        private readonly factory: ClaimStoreFactory = createStore,
        private readonly table: TableService = this.memory,
    ) {
        for (let index = 0; index < nodeCount; index += 1) {
            this.nodes.push(this.createNode(`node-${index}-1`));
        }
    }

    countRuns(key: string): number {
        return this.runs.get(key) ?? 0;
    }

    /** Handles a request like a node: claims its key, runs it only if claimed, and records the outcome. */
    async request(index: number, key: string, outcome: ClaimOutcome["type"] = "answered"): Promise<Attempt> {
        const node = this.nodes[index]!;
        const attempt: Attempt = { key, node: node.name, ran: false };
        this.attempts.push(attempt);
        const result = await node.store.claimKey({
            customer: "customer",
            route: "/orders",
            idempotencyKey: key,
            requestDigest: "digest",
            requestId: "request",
            node: node.name,
        });
        await node.host.waitUntilThawed();
        attempt.result = result;
        if (result.type === "claimed") {
            if (outcome !== "notRun") {
                attempt.ran = true;
                this.runs.set(key, this.countRuns(key) + 1);
            }
            await node.host.waitUntilThawed();
            await node.store.recordOutcome(result.claim, this.createOutcome(outcome));
        }
        return attempt;
    }

    /** Crashes a node: the old incarnation never continues, and a new one starts. */
    crash(index: number, isKnown: boolean): void {
        const old = this.nodes[index]!;
        old.host.freeze();
        if (isKnown) {
            this.deadOwners.add(old.name);
        }
        this.nodes[index] = this.createNode(`${old.name}x`);
    }

    async advance(durationMs: number): Promise<void> {
        await advanceTime(this.clock, durationMs);
    }

    /** Ends all faults and freezes, and lets pending work finish. */
    async recoverAll(): Promise<void> {
        this.memory.setFaultPlan(() => "none");
        this.memory.applyDelayedCommits();
        this.nodes.forEach((node) => node.host.thaw());
        await flushTasks();
        await this.advance(30_000);
    }

    private createNode(name: string): ClaimNode {
        const host = new SimulatedHost(this.clock);
        const table = new HostTableService(this.table, host);
        const store = this.factory({
            tableService: table,
            clock: host,
            random: () => 0.5,
            logger: new SilentLogger(),
            isOwnerDead: (owner) => this.deadOwners.has(owner),
            createToken: () => `token-${(this.tokens += 1)}`,
        });
        return { name, host, table, store };
    }

    private createOutcome(type: ClaimOutcome["type"]): ClaimOutcome {
        return type === "answered" ? { type, answer: storedAnswer } : { type };
    }
}
