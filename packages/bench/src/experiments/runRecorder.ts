/**
 * Collects what happens in a run and computes its measures.
 *
 * @packageDocumentation
 */
import type { RequestClass } from "@pimentocleat/schema";
import type { ClassMeasures, RunMeasures } from "../report/measures.js";
import { computeMaxMinShares } from "../report/measures.js";
import type { Deployment } from "./deployments.js";
import { FloorMonitor } from "./floorMonitor.js";
import { TierOracle } from "./tierOracle.js";
import type { Arrival } from "./workload.js";
import { engineSpeed } from "./workload.js";

/** A request in a run. */
export interface RequestRecord {
    readonly arrival: Arrival;
    firstTokenAtMs: number | undefined;
    streamedTokens: number;
    generated: number;
    attempts: number;
    startedAtMs: number;
    server: string;
    /** Slot time in the run's duration, in milliseconds. */
    slotMs: number;
    isEnded: boolean;
}

/** Totals of the engines at the end of a run. */
export interface RunTotals {
    readonly policy: string;
    readonly availableSlotMs: number;
    readonly busySlotMs: number;
    readonly overrun: number;
    readonly overrunMs: number;
    readonly summariesPerSecond: number;
    readonly strandedMs: number | undefined;
}

/** Records one run. */
export class RunRecorder {
    readonly tierOracle = new TierOracle();
    readonly floorMonitor: FloorMonitor;
    private readonly classes = new Map<string, ClassMeasures>();
    private readonly settings: ReadonlyMap<string, RequestClass>;
    private readonly demandedTokens = new Map<string, Map<string, number>>();
    private readonly served = new Map<string, Map<string, number>>();
    private readonly refusals: Record<string, number> = {};
    private readonly retries: Record<string, number> = {};
    private attainedSlotMs = 0;
    private cheapSlotMs = 0;
    private usedSlotMs = 0;
    private cost = 0;
    private generatedTokens = 0;
    private usefulTokens = 0;
    private firstAttempts = 0;
    private retryCount = 0;

    /**
     * @param deployment - Classes and servers.
     * @param durationMs - Arrivals and slot time after this are not measured.
     */
    constructor(
        private readonly deployment: Deployment,
        private readonly durationMs: number,
    ) {
        const { classes } = deployment.configuration;
        this.settings = new Map(classes.map((settings) => [settings.name, settings]));
        this.floorMonitor = new FloorMonitor(classes, durationMs);
        for (const { name } of classes) {
            this.classes.set(name, buildClassMeasures());
            this.demandedTokens.set(name, new Map());
            this.served.set(name, new Map());
        }
    }

    /** @param arrival - An offered request. */
    recordOffer(arrival: Arrival): void {
        this.getClassMeasures(arrival).offered += 1;
        const leftMs = this.durationMs - arrival.atMs - arrival.promptTokens / engineSpeed.prefillTokensPerMs;
        const possible = Math.min(arrival.tokens, Math.max(0, leftMs / engineSpeed.tokenMs));
        addAmount(this.demandedTokens.get(arrival.requestClass), arrival.customer, possible);
    }

    /**
     * @param record - A request that a policy refused.
     * @param kind - Why.
     * @param nowMs - When.
     */
    recordRefusal(record: RequestRecord, kind: string, nowMs: number): void {
        const { arrival } = record;
        this.getClassMeasures(arrival).refused += 1;
        this.refusals[kind] = (this.refusals[kind] ?? 0) + 1;
        this.finishRequest(record);
        const { tier, firstTokenMs } = this.getClassSettings(arrival);
        const leastMs = arrival.promptTokens / engineSpeed.prefillTokensPerMs + engineSpeed.tokenMs;
        this.tierOracle.recordRefusal({
            tier,
            fromMs: nowMs,
            untilMs: arrival.atMs + firstTokenMs - leastMs,
        });
    }

    /**
     * @param record - A request that starts on its server.
     * @param byFloor - Whether by its class's floor.
     * @param nowMs - When.
     */
    recordStart(record: RequestRecord, byFloor: boolean, nowMs: number): void {
        const settings = this.getClassSettings(record.arrival);
        this.getClassMeasures(record.arrival).floorStarts += byFloor ? 1 : 0;
        this.firstAttempts += record.attempts === 1 ? 1 : 0;
        this.tierOracle.recordStart({ tier: settings.tier, atMs: nowMs, byFloor });
        this.floorMonitor.recordStart(settings.name, nowMs);
    }

    /** @param reason - Why a request is tried again. */
    recordRetry(reason: string): void {
        this.retryCount += 1;
        this.retries[reason] = (this.retries[reason] ?? 0) + 1;
    }

    /**
     * @param record - The request whose try ended.
     * @param nowMs - When.
     */
    recordAttemptEnd(record: RequestRecord, nowMs: number): void {
        const untilMs = Math.min(nowMs, this.durationMs);
        const slotMs = Math.max(0, untilMs - record.startedAtMs);
        record.slotMs += slotMs;
        this.usedSlotMs += slotMs;
        const server = this.deployment.configuration.pool.servers.find(({ name }) => name === record.server);
        if (server !== undefined) {
            this.cheapSlotMs += server.reclaimable ? slotMs : 0;
            this.cost += (slotMs * server.costPerHour) / (3_600_000 * server.slots);
        }
    }

    /**
     * Counts tokens for the customers' shares. Those after the run's duration don't count: then
     * nobody competes any more.
     *
     * @param record - The request.
     * @param tokens - New tokens.
     * @param nowMs - When.
     */
    recordTokens(record: RequestRecord, tokens: number, nowMs: number): void {
        record.generated += tokens;
        if (nowMs <= this.durationMs) {
            const { requestClass, customer } = record.arrival;
            addAmount(this.served.get(requestClass), customer, tokens);
        }
    }

    /**
     * @param record - A request whose answer is whole.
     * @param nowMs - When.
     */
    recordCompletion(record: RequestRecord, nowMs: number): void {
        const { arrival } = record;
        const { firstTokenMs, completeMs } = this.getClassSettings(arrival);
        const isFirstInTime = (record.firstTokenAtMs ?? Infinity) - arrival.atMs <= firstTokenMs;
        const measures = this.getClassMeasures(arrival);
        if (isFirstInTime && nowMs - arrival.atMs <= completeMs) {
            measures.attained += 1;
            this.attainedSlotMs += record.slotMs;
        } else {
            measures.late += 1;
        }
        this.usefulTokens += arrival.tokens;
        this.finishRequest(record);
    }

    /** @param record - A request that ends without its answer. */
    recordFailure(record: RequestRecord): void {
        this.getClassMeasures(record.arrival).failed += 1;
        this.finishRequest(record);
    }

    /**
     * @param totals - Totals of the engines.
     * @returns The measures of the run.
     */
    buildMeasures(totals: RunTotals): RunMeasures {
        for (const [name, measures] of this.classes) {
            measures.leastFloorShare = this.floorMonitor.computeMinimumShare(name);
        }
        return {
            policy: totals.policy,
            classes: Object.fromEntries(this.classes),
            goodput: this.attainedSlotMs / totals.availableSlotMs,
            utilization: totals.busySlotMs / totals.availableSlotMs,
            wastedTokens: computeRatio(this.generatedTokens - this.usefulTokens, this.generatedTokens),
            worstCustomer: this.computeWorstCustomer(),
            costPerThousandTokens: computeRatio(this.cost * 1_000, this.usefulTokens),
            cheapShare: computeRatio(this.cheapSlotMs, this.usedSlotMs),
            overrun: totals.overrun,
            meanOverrun: totals.overrunMs / this.durationMs,
            summariesPerSecond: totals.summariesPerSecond,
            retryShare: computeRatio(this.retryCount, this.firstAttempts),
            refusals: this.refusals,
            retries: this.retries,
            tierViolations: this.tierOracle.countViolations(),
            strandedMs: totals.strandedMs,
        };
    }

    private finishRequest(record: RequestRecord): void {
        record.isEnded = true;
        this.generatedTokens += record.generated;
    }

    private computeWorstCustomer(): number {
        const fair = new Map<string, number>();
        const got = new Map<string, number>();
        for (const [name, demands] of this.demandedTokens) {
            const served = this.served.get(name) ?? new Map<string, number>();
            const total = [...served.values()].reduce((sum, tokens) => sum + tokens, 0);
            for (const [customer, share] of computeMaxMinShares(demands, total)) {
                addAmount(fair, customer, share);
                addAmount(got, customer, served.get(customer) ?? 0);
            }
        }
        const ratios = [...fair].map(([customer, share]) => computeRatio(got.get(customer) ?? 0, share));
        return Math.min(1, ...ratios);
    }

    private getClassMeasures(arrival: Arrival): ClassMeasures {
        const measures = this.classes.get(arrival.requestClass);
        if (measures === undefined) {
            throw new Error(`unknown class ${arrival.requestClass}`);
        }
        return measures;
    }

    private getClassSettings(arrival: Arrival): RequestClass {
        const settings = this.settings.get(arrival.requestClass);
        if (settings === undefined) {
            throw new Error(`unknown class ${arrival.requestClass}`);
        }
        return settings;
    }
}

function buildClassMeasures(): ClassMeasures {
    return {
        offered: 0,
        attained: 0,
        late: 0,
        refused: 0,
        failed: 0,
        floorStarts: 0,
        leastFloorShare: undefined,
    };
}

function addAmount(amounts: Map<string, number> | undefined, name: string, amount: number): void {
    amounts?.set(name, (amounts.get(name) ?? 0) + amount);
}

function computeRatio(part: number, whole: number): number {
    return whole <= 0 ? 0 : part / whole;
}
