/**
 * Guards against two failures: an unrepeatable request is executed twice, or an executed one is reported as not
 * executed. Real daemons are killed and suspended while such requests pass through them, and the platform and the
 * service drop responses. The results are checked against the executions that the plain service counted.
 */
import { createHash } from "node:crypto";
import { SeededRandom, startPlainService, type RunningPlainService } from "@pimentocleat/standins";
import { SystemClock } from "@pimentocleat/types";
import { request } from "undici";
import { afterAll, beforeAll, expect, it, vi } from "vitest";
import { DaemonCluster } from "./daemonCluster.js";

const orders = 48;
const callersPerOrder = 2;
const maximumAttemptsPerCaller = 6;
const callerSecret = "pk-caller-secret";
const names = ["a", "b", "c"];
const clock = new SystemClock();
const random = new SeededRandom(20_261_208);
let cluster: DaemonCluster;
let service: RunningPlainService;

interface Answer {
    readonly order: string;
    readonly status: number;
    readonly requestId: string;
    readonly executed: string | undefined;
}

beforeAll(async () => {
    cluster = await DaemonCluster.create();
    service = await startPlainService({ serviceMs: 20 });
    const digest = createHash("sha256").update(callerSecret).digest("hex");
    const content = [
        "customers: [{name: chain}]",
        "classes: [{name: quick, tier: 1, firstTokenMs: 5000, completeMs: 10000}]",
        `pools: [{name: orders, kind: plain, servers: [{name: one, address: "${service.address}", dataCentre: catania, slots: 16}]}]`,
        "routes: [{path: /orders, methods: [POST], pool: orders, repeatable: false}]",
        `keys: [{id: chain-1, customer: chain, digest: ${digest}, defaultClass: quick}]`,
    ].join("\n");
    expect(await cluster.applyConfiguration(content)).toBe("applied");
    for (const name of names) {
        await cluster.startDaemon(name);
    }
});

afterAll(async () => {
    await cluster.close();
    await service.close();
});

/** Sends an order through a node; returns undefined when the node is unreachable or the response is lost. */
async function sendOrder(order: string, name: string): Promise<Answer | undefined> {
    const address = cluster.daemons.get(name)!.address;
    try {
        const answer = await request(`http://${address}/orders`, {
            method: "POST",
            headers: {
                authorization: `Bearer ${callerSecret}`,
                "content-type": "application/json",
                "idempotency-key": order,
            },
            body: JSON.stringify({ orderId: order }),
            headersTimeout: 5_000,
        });
        const text = await answer.body.text();
        const executed = (JSON.parse(text) as { error?: { executed?: string } }).error?.executed;
        const requestId = String(answer.headers["x-request-id"]);
        return { order, status: answer.statusCode, requestId, executed };
    } catch {
        return undefined;
    }
}

/** Sends an order through random nodes until it is confirmed or the attempts are used up. */
async function runCaller(order: string, answers: Answer[]): Promise<void> {
    for (let attempts = 0; attempts < maximumAttemptsPerCaller; attempts += 1) {
        const answer = await sendOrder(order, names[Math.floor(random.next() * names.length)]!);
        if (answer !== undefined) {
            answers.push(answer);
        }
        if (answer?.status === 200) {
            return;
        }
        await clock.wait(100 * random.next());
    }
}

/** Suspends one daemon at a time while another is killed and started again; returns the number of kills. */
async function runFailures(signal: AbortSignal): Promise<number> {
    let kills = 0;
    while (!signal.aborted) {
        await clock.wait(300 * random.next(), signal);
        const killed = names[kills % names.length]!;
        const suspended = cluster.daemons.get(names[(kills + 1) % names.length]!)!;
        suspended.sendSignal("SIGSTOP");
        cluster.daemons.get(killed)!.sendSignal("SIGKILL");
        await cluster.startDaemon(killed);
        suspended.sendSignal("SIGCONT");
        kills += 1;
    }
    return kills;
}

it(
    "runs each order at most once, and reports only unexecuted requests as not executed",
    { timeout: 240_000 },
    async () => {
        await vi.waitFor(async () => expect((await sendOrder("first", "a"))?.status).toBe(200), {
            timeout: 20_000,
            interval: 200,
        });
        cluster.platform.switches.setPlan({
            seed: 1,
            faults: [
                { kind: "dropReply", service: "table", call: "commit", probability: 0.15 },
                { kind: "refuse", service: "table", probability: 0.05 },
            ],
        });
        service.switches.setPlan({
            seed: 2,
            faults: [{ kind: "dropReply", call: "order", probability: 0.1 }],
        });
        const answers: Answer[] = [];
        const failing = new AbortController();
        const failures = runFailures(failing.signal);
        for (let first = 0; first < orders; first += 8) {
            const batch = [...Array(8 * callersPerOrder).keys()].map(
                (index) => `order-${first + (index % 8)}`,
            );
            await Promise.all(batch.map((order) => runCaller(order, answers)));
        }
        failing.abort();
        const kills = await failures;
        const response = await request(`http://${service.address}/counts`);
        const counts = (await response.body.json()) as Record<"orders" | "requests", Record<string, number>>;
        const confirmed = new Set(answers.filter(({ status }) => status === 200).map(({ order }) => order));
        const refused = answers.filter(({ executed }) => executed === "no");
        console.info(
            `${kills} kills, ${confirmed.size} of ${orders} orders confirmed, ${answers.length} answers, ` +
                `${refused.length} reported as not executed`,
        );
        expect(Object.values(counts.orders).filter((count) => count > 1)).toEqual([]);
        expect(refused.filter(({ requestId }) => counts.requests[requestId] !== undefined)).toEqual([]);
        expect([...confirmed].filter((order) => counts.orders[order] !== 1)).toEqual([]);
        expect([confirmed.size > 0, refused.length > 0, kills > 1]).toEqual([true, true, true]);
    },
);
