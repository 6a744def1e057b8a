import { createHash } from "node:crypto";
import { createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { MemoryTableService } from "@pimentocleat/services";
import { ApplyOutcome, OperatorService, settingsSchema, WithdrawOutcome } from "@pimentocleat/schema";
import { ConsolaLogger, MemoryMetrics } from "@pimentocleat/telemetry";
import { SystemClock } from "@pimentocleat/types";
import { request } from "undici";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { answerJson, FakeBackend, type ReceivedRequest } from "../../__tests__/support/fakeBackend.js";
import { Daemon } from "../daemon.js";
import type { DaemonAddresses } from "../daemonOptions.js";

const peerSecret = "peer-secret-0123456789";
const operatorCredential = "operator-credential-0123456789";
const callerSecret = "pk-caller-secret";
const digest = createHash("sha256").update(callerSecret).digest("hex");
const content = `
customers: [{name: chain}]
classes: [{name: quick, tier: 1, firstTokenMs: 500, completeMs: 5000}]
pools: [{name: jobs, kind: plain}]
routes: [{path: /jobs/*, methods: [GET], pool: jobs, repeatable: true}]
keys: [{id: chain-1, customer: chain, digest: ${digest}, defaultClass: quick}]
`;

interface RunningDaemon {
    readonly daemon: Daemon;
    readonly addresses: DaemonAddresses;
    readonly operator: Client<typeof OperatorService>;
}

describe("Daemon", () => {
    let table: MemoryTableService;
    let isStoreUnavailable: boolean;
    let lines: string[];
    const running: RunningDaemon[] = [];

    beforeEach(() => {
        table = new MemoryTableService();
        lines = [];
        isStoreUnavailable = false;
        table.setFaultPlan(() => (isStoreUnavailable ? "unavailable" : "none"));
    });

    afterEach(async () => {
        await Promise.all(running.splice(0).map(({ daemon }) => daemon.abort()));
    });

    async function startDaemon(
        name: string,
        isolationLimitMs = 60_000,
        closeServices: () => Promise<void> = () => Promise.resolve(),
    ): Promise<RunningDaemon> {
        const settings = settingsSchema.parse({
            name,
            dataCentre: "catania",
            callerAddress: "127.0.0.1:0",
            operatorAddress: "127.0.0.1:0",
            peerAddress: "127.0.0.1:0",
            platformAddress: "127.0.0.1:1",
            peerSeeds: running.map(({ addresses }) => addresses.peer),
            peerSecret,
            operatorCredential,
            storePollMs: "50",
            drainDelayMs: "0",
            isolationLimitMs: String(isolationLimitMs),
        });
        const logger = new ConsolaLogger({
            format: "json",
            level: "debug",
            writeLine: (line) => lines.push(line),
        });
        const daemon = new Daemon({
            settings,
            services: {
                tableService: table,
                hostList: { listHosts: () => Promise.resolve([]) },
                close: closeServices,
            },
            logger,
            metrics: new MemoryMetrics(),
            clock: new SystemClock(),
            random: Math.random,
        });
        const addresses = await daemon.start();
        const started = { daemon, addresses, operator: createOperator(addresses.operator) };
        running.push(started);
        return started;
    }

    async function startConfigured(): Promise<RunningDaemon> {
        const first = await startDaemon("node-1");
        const result = await first.operator.applyConfiguration({
            author: "o",
            changes: [{ name: "a.yaml", content }],
        });
        expect(result.outcome).toBe(ApplyOutcome.APPLIED);
        return first;
    }

    async function sendCall(daemon: RunningDaemon): Promise<{ status: number; kind: string }> {
        const answer = await request(`http://${daemon.addresses.caller}/jobs/1`, {
            headers: { authorization: `Bearer ${callerSecret}` },
        });
        const body = (await answer.body.json()) as { error?: { kind?: string }; kind?: string };
        return { status: answer.statusCode, kind: body.error?.kind ?? body.kind ?? "" };
    }

    async function waitForKind(daemon: RunningDaemon, kind: string): Promise<void> {
        await vi.waitFor(async () => expect((await sendCall(daemon)).kind).toBe(kind), { timeout: 30_000 });
    }

    it("is not ready without a configuration, and serves requests once one is applied", async () => {
        const first = await startDaemon("node-1");
        expect((await sendCall(first)).kind).toBe("not_ready");
        expect((await first.operator.getStatus({})).node?.state).toBe("noConfiguration");
        await first.operator.applyConfiguration({ author: "o", changes: [{ name: "a.yaml", content }] });
        expect((await sendCall(first)).kind).toBe("no_backend_server");
        expect((await first.operator.getStatus({})).node).toMatchObject({ state: "ready", revision: 1n });
    });

    it("lists the active revision of each node", async () => {
        const first = await startConfigured();
        await startDaemon("node-2");
        await vi.waitFor(
            async () => {
                const { nodes } = await first.operator.listNodes({});
                expect(nodes.map((node) => [node.name, node.revision])).toEqual([
                    ["node-1", 1n],
                    ["node-2", 1n],
                ]);
            },
            { timeout: 30_000 },
        );
    });

    it("starts from a peer while the store is unavailable, and spreads withdrawals without it", async () => {
        const first = await startConfigured();
        isStoreUnavailable = true;
        const second = await startDaemon("node-2");
        await waitForKind(second, "no_backend_server");
        const result = await second.operator.withdrawKey({ author: "o", keyId: "chain-1" });
        expect(result).toMatchObject({ outcome: WithdrawOutcome.ACCEPTED, recorded: false, peers: 1 });
        expect((await sendCall(first)).kind).toBe("key_withdrawn");
        // The node that accepted the withdrawal stops before the store recovers; the other one records it.
        await running.pop()?.daemon.abort();
        isStoreUnavailable = false;
        const third = await startDaemon("node-3");
        await waitForKind(third, "key_withdrawn");
    });

    it("stops serving requests while it reaches neither store nor peers, and resumes afterwards", async () => {
        const first = await startDaemon("node-1", 1_000);
        await first.operator.applyConfiguration({ author: "o", changes: [{ name: "a.yaml", content }] });
        expect((await sendCall(first)).kind).toBe("no_backend_server");
        isStoreUnavailable = true;
        await waitForKind(first, "not_ready");
        expect((await first.operator.getStatus({})).node?.state).toBe("isolated");
        isStoreUnavailable = false;
        await waitForKind(first, "no_backend_server");
    });

    it("keeps a withdrawn key withdrawn when the configuration is applied again", async () => {
        const first = await startConfigured();
        await first.operator.withdrawKey({ author: "o", keyId: "chain-1" });
        const { files } = await first.operator.getConfiguration({});
        const baseDigest = createHash("sha256").update(files[0]!.content).digest("hex");
        const changes = [{ name: "a.yaml", content: `${content}# again\n`, baseDigest }];
        expect((await first.operator.applyConfiguration({ author: "o", changes })).outcome).toBe(
            ApplyOutcome.APPLIED,
        );
        expect((await sendCall(first)).kind).toBe("key_withdrawn");
        expect((await first.operator.listKeys({})).keys).toMatchObject([
            { keyId: "chain-1", withdrawn: true },
        ]);
    });

    it("counts requests in flight on another node against a customer's limit", async () => {
        const service = await new FakeBackend().start();
        const heldRequests: ReceivedRequest[] = [];
        const answer = answerJson({ kind: "answered" });
        service.behavior = (received, count) =>
            count === 1 ? void heldRequests.push(received) : answer(received, count);
        const servers = `servers: [{name: s1, address: "${service.address}", dataCentre: catania}]`;
        const limited = content
            .replace("{name: chain}", "{name: chain, limits: {concurrency: 1}}")
            .replace("kind: plain}", `kind: plain, ${servers}}`);
        const first = await startDaemon("node-1");
        const changes = [{ name: "a.yaml", content: limited }];
        await first.operator.applyConfiguration({ author: "o", changes });
        const second = await startDaemon("node-2");
        const running = sendCall(first);
        await vi.waitFor(() => expect(heldRequests).toHaveLength(1), { timeout: 30_000 });
        await waitForKind(second, "concurrency_limited");
        answer(heldRequests[0]!, 1);
        expect((await running).kind).toBe("answered");
        await waitForKind(second, "answered");
        await service.stop();
    });

    it("closes everything and logs the reason when a step of a graceful stop fails", async () => {
        const failClose = (): Promise<void> => Promise.reject(new Error("cannot close the platform clients"));
        const { daemon, addresses } = await startDaemon("entry-1", 60_000, failClose);
        await daemon.stop();
        expect(lines.filter((line) => line.includes("cannot close the platform clients"))).toHaveLength(1);
        await expect(request(`http://${addresses.caller}/healthz`)).rejects.toThrow();
    });

    it("writes no secret to the log", async () => {
        const first = await startConfigured();
        const created = await first.operator.createKey({ author: "o", keyId: "k2", customer: "chain" });
        await sendCall(first);
        await first.operator.withdrawKey({ author: "o", keyId: "k2" });
        expect(lines.length).toBeGreaterThan(3);
        for (const secret of [peerSecret, operatorCredential, callerSecret, digest, created.secret]) {
            expect(lines.join("\n")).not.toContain(secret);
        }
    });
});

function createOperator(address: string): Client<typeof OperatorService> {
    const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "1.1",
        interceptors: [
            (next) => (call) => {
                call.header.set("authorization", `Bearer ${operatorCredential}`);
                return next(call);
            },
        ],
    });
    return createClient(OperatorService, transport);
}
