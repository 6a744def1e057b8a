/**
 * Measures how the time of a scheduling decision depends on the length of the queue.
 *
 * @packageDocumentation
 */
import type { PoolConfiguration, QueuedRequest } from "@pimentocleat/policy";
import { TieredScheduler } from "@pimentocleat/policy";
import { classSchema, customerSchema, poolSchema } from "@pimentocleat/schema";
import { ManualClock } from "@pimentocleat/types";

/** Time of decisions and offers at one queue length. */
export interface DecisionCost {
    readonly servers: number;
    readonly queued: number;
    /** Median time to record an outcome and take the decisions that follow, in microseconds. */
    readonly decisionMedianUs: number;
    /** 99th percentile of the same time, in microseconds. */
    readonly decisionHighUs: number;
    /** Median time to offer a request, in microseconds. */
    readonly offerMedianUs: number;
}

const serverCount = 64;
const slotsPerServer = 8;
const queueLengths = [10, 100, 1_000, 10_000, 100_000];
const rounds = 3_000;
const warmUpRequests = 1_000;
const customerCount = 230;
const prefixLength = 8;

/**
 * Measures the time of decisions and offers with 64 servers, for queues of 10 to 100,000 requests.
 *
 * @returns The cost at each queue length.
 */
export function measureDecisionCost(): DecisionCost[] {
    // The first run warms up the just-in-time compiler and isn't reported.
    measureLength(1_000);
    return queueLengths.map((queued) => measureLength(queued));
}

function measureLength(queued: number): DecisionCost {
    const clock = new ManualClock();
    const configuration = buildConfiguration();
    const scheduler = new TieredScheduler({ configuration, clock, node: "node-1" });
    const running: { readonly requestId: string; readonly server: string }[] = [];
    let next = 0;
    const offer = (): number => {
        next += 1;
        const request = buildRequest(next, clock.monotonicMs());
        const startUs = performance.now() * 1_000;
        scheduler.offerRequest(request);
        return performance.now() * 1_000 - startUs;
    };
    const takeDecisions = (): void => {
        for (const decision of scheduler.takeDecisions()) {
            if (decision.type === "start") {
                running.push({ requestId: decision.requestId, server: decision.server });
            }
        }
    };
    // Short responses first, so that admission estimates that even a long queue drains in time.
    while (next < warmUpRequests) {
        offer();
        takeDecisions();
        clock.advance(1);
        for (const ended of running.splice(0)) {
            scheduler.recordOutcome(ended.requestId, ended.server, "completed");
        }
    }
    next = 0;
    while (next < queued + serverCount * slotsPerServer) {
        offer();
    }
    takeDecisions();
    const decisionsUs: number[] = [];
    const offersUs: number[] = [];
    for (let round = 0; round < rounds; round += 1) {
        clock.advance(1);
        const ended = running.splice(round % running.length, 1)[0];
        const startUs = performance.now() * 1_000;
        scheduler.recordOutcome(ended?.requestId ?? "", ended?.server ?? "", "completed");
        takeDecisions();
        decisionsUs.push(performance.now() * 1_000 - startUs);
        offersUs.push(offer());
    }
    return {
        servers: serverCount,
        queued: scheduler.readStatus().waiting,
        decisionMedianUs: computeQuantile(decisionsUs, 0.5),
        decisionHighUs: computeQuantile(decisionsUs, 0.99),
        offerMedianUs: computeQuantile(offersUs, 0.5),
    };
}

function computeQuantile(values: readonly number[], quantile: number): number {
    const sorted = values.toSorted((left, right) => left - right);
    return Number((sorted[Math.floor(sorted.length * quantile)] ?? 0).toFixed(1));
}

function buildConfiguration(): PoolConfiguration {
    const servers = Array.from(Array(serverCount).keys(), (index) => ({
        name: `server-${index}`,
        address: `127.0.0.1:${9000 + index}`,
        dataCentre: `centre-${index % 3}`,
        slots: slotsPerServer,
    }));
    const classes = [1, 2, 3].flatMap((tier) =>
        ["first", "second"].map((name) =>
            classSchema.parse({
                name: `${name}-${tier}`,
                tier,
                firstTokenMs: 1_000_000_000,
                completeMs: 1_000_000_000,
            }),
        ),
    );
    const customers = Array.from(Array(customerCount).keys(), (index) =>
        customerSchema.parse({ name: `customer-${index}` }),
    );
    const pool = poolSchema.parse({ name: "pool", kind: "model", models: ["standard"], servers });
    return { pool, classes, customers };
}

function buildRequest(index: number, nowMs: number): QueuedRequest {
    const name = index % 2 === 0 ? "first" : "second";
    return {
        requestId: `request-${nowMs}-${index}`,
        customer: `customer-${(index * 7) % customerCount}`,
        requestClass: `${name}-${1 + (index % 3)}`,
        arrivedMs: nowMs,
        promptTokens: 500,
        maximumTokens: undefined,
        prefixBlocks: Array.from(Array(prefixLength).keys(), (block) => `${index % 50}/${block}`),
        repeatable: true,
        excludedServers: [],
        attempt: 1,
        resumedTokens: 0,
    };
}
