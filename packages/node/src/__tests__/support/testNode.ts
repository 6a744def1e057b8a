/** Starts a node whose dependencies are in-memory fakes. */
import { configurationSchema, type Configuration, type Key, type Limits } from "@pimentocleat/schema";
import { FifoScheduler } from "@pimentocleat/policy";
import type { HostList } from "@pimentocleat/services";
import type {
    AppliedConfiguration,
    Claim,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimStore,
    ConfigurationSource,
    KeyLookup,
    KeyRegistry,
    UsageAmount,
} from "@pimentocleat/state";
import { MemoryMetrics, SilentLogger } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { startNode, type NodeHandle, type NodeOptions } from "../../index.js";
import type { FakeBackend } from "./fakeBackend.js";

export const secret = "pc-secret-4f7a9c21e8";
export const poolCredential = "pool-credential-77";

/** In-memory configuration source. */
export class FakeConfiguration implements ConfigurationSource {
    private readonly listeners = new Set<(applied: AppliedConfiguration) => void>();

    constructor(public applied: AppliedConfiguration | undefined) {}

    readCurrent(): AppliedConfiguration | undefined {
        return this.applied;
    }

    onChange(listener: (applied: AppliedConfiguration) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    apply(configuration: Configuration): void {
        this.applied = { revision: (this.applied?.revision ?? 0) + 1, configuration };
        this.listeners.forEach((listener) => listener(this.applied!));
    }
}

/** In-memory key registry. */
export class FakeKeys implements KeyRegistry {
    private readonly withdrawn = new Set<string>();
    private readonly listeners = new Set<(keyId: string) => void>();

    constructor(private readonly keys: ReadonlyMap<string, Key>) {}

    findKey(presented: string): KeyLookup {
        const key = this.keys.get(presented);
        if (key === undefined) {
            return { type: "unknown" };
        }
        return this.withdrawn.has(key.id) ? { type: "withdrawn", keyId: key.id } : { type: "valid", key };
    }

    isWithdrawn(keyId: string): boolean {
        return this.withdrawn.has(keyId);
    }

    onWithdrawal(listener: (keyId: string) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    withdraw(keyId: string): void {
        this.withdrawn.add(keyId);
        this.listeners.forEach((listener) => listener(keyId));
    }
}

/** In-memory claim store, which several nodes may share. */
export class FakeClaims implements ClaimStore {
    readonly outcomes: ClaimOutcome[] = [];
    available = true;
    private readonly records = new Map<string, { digest: string; outcome?: ClaimOutcome }>();

    async claimKey(request: ClaimRequest): Promise<ClaimResult> {
        if (!this.available) {
            return { type: "unavailable", retryAfterMs: 1_500 };
        }
        const key = `${request.customer}|${request.route}|${request.idempotencyKey}`;
        const record = this.records.get(key);
        if (record === undefined) {
            this.records.set(key, { digest: request.requestDigest });
            return { type: "claimed", claim: { key, token: request.requestId, version: 1 } };
        }
        if (record.digest !== request.requestDigest) {
            return { type: "conflict" };
        }
        if (record.outcome?.type === "answered") {
            return { type: "answered", answer: record.outcome.answer };
        }
        return { type: record.outcome === undefined ? "inProgress" : "outcomeUnknown" };
    }

    async recordOutcome(claim: Claim, outcome: ClaimOutcome): Promise<void> {
        this.outcomes.push(outcome);
        if (outcome.type === "notRun") {
            this.records.delete(claim.key);
        } else {
            this.records.set(claim.key, { ...this.records.get(claim.key)!, outcome });
        }
    }
}

/** A started node and its fake dependencies. */
export interface TestNode {
    readonly handle: NodeHandle;
    readonly url: string;
    readonly keys: FakeKeys;
    readonly claims: FakeClaims;
    readonly configuration: FakeConfiguration;
    readonly metrics: MemoryMetrics;
    readonly usage: UsageAmount[];
}

export interface TestNodeOptions {
    readonly engines?: readonly FakeBackend[];
    readonly services?: readonly FakeBackend[];
    readonly answerTimeoutMs?: number;
    readonly slots?: number;
    readonly limits?: NodeOptions["limits"];
    readonly claims?: FakeClaims;
    readonly customerLimits?: Limits;
    readonly hosts?: HostList;
    readonly createScheduler?: NodeOptions["createScheduler"];
    readonly ready?: boolean;
}

/** Builds the configuration of the test node. */
export function buildConfiguration(options: TestNodeOptions): Configuration {
    const buildServers = (prefix: string, backends: readonly FakeBackend[] = []): object[] =>
        backends.map((backend, index) => ({
            name: `${prefix}-${index}`,
            address: backend.address,
            dataCentre: "palermo",
            slots: options.slots ?? 8,
        }));
    const { answerTimeoutMs = 5_000 } = options;
    const credentialVariable = "POOL_CREDENTIAL";
    return configurationSchema.parse({
        customers: [
            { name: "volantino", limits: options.customerLimits },
            { name: "limited", classes: ["standard"] },
        ],
        keys: [],
        classes: [
            { name: "urgent", tier: 1, firstTokenMs: 500, completeMs: 5_000 },
            { name: "standard", tier: 2, firstTokenMs: 2_000, completeMs: 30_000 },
        ],
        pools: [
            {
                name: "engines",
                kind: "model",
                models: ["copy-1"],
                credentialVariable,
                answerTimeoutMs,
                retryShare: 1,
                servers: buildServers("engine", options.engines),
            },
            {
                name: "orders",
                kind: "plain",
                credentialVariable,
                answerTimeoutMs,
                retryShare: 1,
                servers: buildServers("order", options.services),
            },
        ],
        routes: [
            { path: "/orders", methods: ["POST"], pool: "orders", repeatable: false, class: "urgent" },
            { path: "/jobs/*", methods: ["GET"], pool: "orders", repeatable: true },
            {
                path: "/open",
                methods: ["GET"],
                pool: "orders",
                repeatable: true,
                open: true,
                class: "standard",
            },
            { path: "/private", methods: ["GET"], pool: "orders", repeatable: true, customers: ["limited"] },
        ],
    });
}

/** Starts a node that forwards to the given backends. */
export async function startTestNode(options: TestNodeOptions): Promise<TestNode> {
    const buildKey = (id: string, customer: string): Key => ({
        id,
        customer,
        digest: "0".repeat(64),
        defaultClass: "standard",
        limits: {},
        withdrawn: false,
    });
    const keys = new FakeKeys(
        new Map([
            [secret, buildKey("key-1", "volantino")],
            ["limited-secret", buildKey("key-2", "limited")],
        ]),
    );
    const claims = options.claims ?? new FakeClaims();
    const applied = { revision: 1, configuration: buildConfiguration(options) };
    const configuration = new FakeConfiguration(options.ready === false ? undefined : applied);
    const metrics = new MemoryMetrics();
    const usage: UsageAmount[] = [];
    const clock = new SystemClock();
    const handle = await startNode({
        name: "entry-1",
        dataCentre: "palermo",
        callerAddress: { host: "127.0.0.1", port: 0 },
        configuration,
        keys,
        claims,
        usage: { recordUsage: (amount) => usage.push(amount) },
        logger: new SilentLogger(),
        metrics,
        clock,
        hosts: options.hosts,
        createScheduler:
            options.createScheduler ??
            ((poolConfiguration) =>
                new FifoScheduler({ configuration: poolConfiguration, clock, node: "entry-1" })),
        limits: { drainDelayMs: 0, ...options.limits },
        readCredential: () => poolCredential,
    });
    return { handle, url: `http://${handle.callerAddress}`, keys, claims, configuration, metrics, usage };
}
