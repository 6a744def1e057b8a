/** A single node with a simple oracle for the scheduler's decisions. */
import { classSchema, customerSchema, poolSchema } from "@pimentocleat/schema";
import { ManualClock } from "@pimentocleat/types";
import type { PoolConfiguration, QueuedRequest } from "../poolScheduler.js";
import type { SchedulerOptions } from "../schedulerOptions.js";
import { TieredScheduler } from "../tieredScheduler.js";

export const slotsPerServer = 2;
export const serverNames = ["alpha", "beta", "gamma"];

export function buildConfiguration(overrides: { completeMs?: number } = {}): PoolConfiguration {
    const completeMs = overrides.completeMs ?? 60_000;
    const servers = serverNames.map((name, index) => ({
        name,
        address: `127.0.0.1:${9000 + index}`,
        dataCentre: "one",
        slots: slotsPerServer,
        reclaimable: name === "gamma",
    }));
    return {
        pool: poolSchema.parse({ name: "pool", kind: "model", servers }),
        classes: [1, 2, 3].map((tier) =>
            classSchema.parse({
                name: `tier-${tier}`,
                tier,
                firstTokenMs: [4_000, 8_000, 30_000][tier - 1],
                completeMs,
                floorShare: 0.02,
            }),
        ),
        customers: ["one", "two", "three"].map((name) => customerSchema.parse({ name })),
    };
}

export function buildRequest(requestId: string, overrides: Partial<QueuedRequest> = {}): QueuedRequest {
    return {
        requestId,
        customer: "one",
        requestClass: "tier-1",
        arrivedMs: 0,
        promptTokens: 10,
        maximumTokens: undefined,
        prefixBlocks: [],
        repeatable: true,
        excludedServers: [],
        attempt: 1,
        resumedTokens: 0,
        ...overrides,
    };
}

/** Options of the scheduler; the clock is driven by the test. */
export type ModelOptions = Partial<Omit<SchedulerOptions, "clock">> & { readonly clock?: ManualClock };

/** Drives a scheduler and notes every breach of what must always hold. */
export class SchedulerModel {
    readonly clock: ManualClock;
    readonly scheduler: TieredScheduler;
    readonly violations: string[] = [];
    readonly running = new Map<string, { request: QueuedRequest; server: string }>();
    readonly waiting = new Map<string, QueuedRequest>();
    readonly starts: { tier: number; atMs: number; byFloor: boolean }[] = [];
    private readonly activeSinceMs = new Map<number, number>();
    private readonly servedMs = new Map<number, number>();
    private next = 0;

    constructor(options: ModelOptions = {}) {
        this.clock = options.clock ?? new ManualClock();
        this.scheduler = new TieredScheduler({
            configuration: buildConfiguration(),
            node: "node-1",
            ...options,
            clock: this.clock,
        });
    }

    offer(tier: number, overrides: Partial<QueuedRequest> = {}): string {
        this.next += 1;
        const request = buildRequest(`request-${this.next}`, {
            requestClass: `tier-${tier}`,
            arrivedMs: this.clock.monotonicMs(),
            ...overrides,
        });
        if (this.scheduler.offerRequest(request).type === "queued") {
            this.waiting.set(request.requestId, request);
        }
        return request.requestId;
    }

    finish(index: number): void {
        const entry = [...this.running][index % Math.max(1, this.running.size)];
        if (entry !== undefined) {
            const [requestId, { server }] = entry;
            this.running.delete(requestId);
            this.scheduler.recordFirstToken(requestId);
            this.scheduler.recordTokens(requestId, 5);
            this.scheduler.recordOutcome(requestId, server, "completed");
        }
    }

    takeDecisions(): void {
        for (const decision of this.scheduler.takeDecisions()) {
            const request = this.waiting.get(decision.requestId);
            if (request === undefined) {
                this.violations.push(`decision for ${decision.requestId}, which does not wait`);
                continue;
            }
            this.waiting.delete(decision.requestId);
            if (decision.type === "start") {
                this.checkStart(request, decision.byFloor === true);
                this.running.set(decision.requestId, { request, server: decision.server });
            }
        }
        this.checkSlots();
        this.checkFloors();
    }

    private checkStart(request: QueuedRequest, byFloor: boolean): void {
        const tier = readTier(request);
        this.starts.push({ tier, atMs: this.clock.monotonicMs(), byFloor });
        this.servedMs.set(tier, this.clock.monotonicMs());
        const isPassed = [...this.waiting.values()].some((other) => readTier(other) < tier);
        if (isPassed && !byFloor) {
            this.violations.push(`tier ${tier} started before a higher tier`);
        }
    }

    private checkSlots(): void {
        const free = serverNames.map((name) => {
            const used = [...this.running.values()].filter(({ server }) => server === name).length;
            if (used > slotsPerServer) {
                this.violations.push(`${name} runs ${used} requests`);
            }
            return slotsPerServer - used;
        });
        if (this.waiting.size > 0 && free.some((count) => count > 0)) {
            this.violations.push("a request waits beside a free slot");
        }
    }

    private checkFloors(): void {
        const nowMs = this.clock.monotonicMs();
        for (const tier of [1, 2, 3]) {
            const hasDemand = [...this.waiting.values()].some((request) => readTier(request) === tier);
            if (!hasDemand) {
                this.activeSinceMs.delete(tier);
                continue;
            }
            const activeSinceMs = this.activeSinceMs.get(tier) ?? nowMs;
            this.activeSinceMs.set(tier, activeSinceMs);
            if (nowMs - Math.max(activeSinceMs, this.servedMs.get(tier) ?? 0) > 10_000) {
                this.violations.push(`tier ${tier} had demand and no start for 10 s`);
            }
        }
    }
}

function readTier({ requestClass }: QueuedRequest): number {
    return Number(requestClass.slice(-1));
}
