/**
 * Records the events of a run and computes its measures.
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

/** The progress of a request in a run. */
export interface RequestRecord {
    readonly arrival: Arrival;
    firstTokenAtMs: number | undefined;
    /** Tokens of the response so far; a retry resumes after them. */
    streamedTokens: number;
    /** Tokens that engines have generated. */
    generated: number;
    attempts: number;
    /** Time at which the engine started the current attempt, in milliseconds; `Infinity` while it waits. */
    startedAtMs: number;
    server: string;
    /** Time for which the request has occupied a slot within the run's duration, in milliseconds. */
    slotMs: number;
    isEnded: boolean;
}

/** Totals at the end of a run, which the recorder can't compute from requests. */
export interface RunTotals {
    readonly policy: string;
    readonly availableSlotMs: number;
    readonly busySlotMs: number;
    readonly overrun: number;
    readonly overrunMs: number;
    readonly summariesPerSecond: number;
    readonly strandedMs: number | undefined;
}

/** Records the events of one run. */
export class RunRecorder {
    readonly tierOracle = new TierOracle();
    readonly floorMonitor: FloorMonitor;
    private readonly classes = new Map<string, ClassMeasures>();
    private readonly classSettings: ReadonlyMap<string, RequestClass>;
    private readonly demandedTokens = new Map<string, Map<string, number>>();
    private readonly servedTokens = new Map<string, Map<string, number>>();
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
     * @param durationMs - Duration of the measurement, in milliseconds. Later slot time doesn't count,
     * nor do later tokens for the customers' shares.
     */
    constructor(
        private readonly deployment: Deployment,
        private readonly durationMs: number,
    ) {
        const { classes } = deployment.configuration;
        this.classSettings = new Map(classes.map((settings) => [settings.name, settings]));
        this.floorMonitor = new FloorMonitor(classes, durationMs);
        for (const { name } of classes) {
            this.classes.set(name, buildClassMeasures());
            this.demandedTokens.set(name, new Map());
            this.servedTokens.set(name, new Map());
        }
    }

    /**
     * Records an offered request, and the tokens that it could get within the run's duration as demand
     * of its customer.
     *
     * @param arrival - The request.
     */
    recordOffer(arrival: Arrival): void {
        this.getClassMeasures(arrival).offered += 1;
        const remainingMs =
            this.durationMs - arrival.atMs - arrival.promptTokens / engineSpeed.prefillTokensPerMs;
        const possibleTokens = Math.min(arrival.tokens, Math.max(0, remainingMs / engineSpeed.tokenMs));
        addAmount(this.demandedTokens.get(arrival.requestClass), arrival.customer, possibleTokens);
    }

    /**
     * Records that the policy refused a request.
     *
     * @param record - The request.
     * @param kind - Kind of the refusal.
     * @param nowMs - Time of the refusal, in milliseconds.
     */
    recordRefusal(record: RequestRecord, kind: string, nowMs: number): void {
        const { arrival } = record;
        this.getClassMeasures(arrival).refused += 1;
        this.refusals[kind] = (this.refusals[kind] ?? 0) + 1;
        this.finishRequest(record);
        const { tier, firstTokenMs } = this.getClassSettings(arrival);
        const minimumServiceMs = arrival.promptTokens / engineSpeed.prefillTokensPerMs + engineSpeed.tokenMs;
        this.tierOracle.recordRefusal({
            tier,
            fromMs: nowMs,
            untilMs: arrival.atMs + firstTokenMs - minimumServiceMs,
        });
    }

    /**
     * Records that a request starts on its server.
     *
     * @param record - The request.
     * @param byFloor - Whether it got the slot by its class's floor.
     * @param nowMs - Time of the start, in milliseconds.
     */
    recordStart(record: RequestRecord, byFloor: boolean, nowMs: number): void {
        const settings = this.getClassSettings(record.arrival);
        this.getClassMeasures(record.arrival).floorStarts += byFloor ? 1 : 0;
        this.firstAttempts += record.attempts === 1 ? 1 : 0;
        this.tierOracle.recordStart({ tier: settings.tier, atMs: nowMs, byFloor });
        this.floorMonitor.recordStart(settings.name, nowMs);
    }

    /** @param reason - Type of the retry, or `move` for a request that moves to another server. */
    recordRetry(reason: string): void {
        this.retryCount += 1;
        this.retries[reason] = (this.retries[reason] ?? 0) + 1;
    }

    /**
     * Records the slot time and the cost of an attempt that ended.
     *
     * @param record - The request, with the start and the server of the attempt.
     * @param nowMs - Time of the end, in milliseconds.
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
     * Records generated tokens. For the customers' shares, tokens after the run's duration don't
     * count, because no new requests compete for the slots by then.
     *
     * @param record - The request.
     * @param tokens - Newly generated tokens.
     * @param nowMs - Time of the tokens, in milliseconds.
     */
    recordTokens(record: RequestRecord, tokens: number, nowMs: number): void {
        record.generated += tokens;
        if (nowMs <= this.durationMs) {
            const { requestClass, customer } = record.arrival;
            addAmount(this.servedTokens.get(requestClass), customer, tokens);
        }
    }

    /**
     * Records that a request got its complete response.
     *
     * @param record - The request.
     * @param nowMs - Time of the completion, in milliseconds.
     */
    recordCompletion(record: RequestRecord, nowMs: number): void {
        const { arrival } = record;
        const { firstTokenMs, completeMs } = this.getClassSettings(arrival);
        const isFirstTokenInTime = (record.firstTokenAtMs ?? Infinity) - arrival.atMs <= firstTokenMs;
        const measures = this.getClassMeasures(arrival);
        if (isFirstTokenInTime && nowMs - arrival.atMs <= completeMs) {
            measures.attained += 1;
            this.attainedSlotMs += record.slotMs;
        } else {
            measures.late += 1;
        }
        this.usefulTokens += arrival.tokens;
        this.finishRequest(record);
    }

    /** @param record - Request that ends without a complete response. */
    recordFailure(record: RequestRecord): void {
        this.getClassMeasures(record.arrival).failed += 1;
        this.finishRequest(record);
    }

    /**
     * Computes the measures at the end of the run.
     *
     * @param totals - Totals at the end of the run.
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
        const fairTokens = new Map<string, number>();
        const receivedTokens = new Map<string, number>();
        for (const [name, demands] of this.demandedTokens) {
            const served = this.servedTokens.get(name) ?? new Map<string, number>();
            const total = [...served.values()].reduce((sum, tokens) => sum + tokens, 0);
            for (const [customer, share] of computeMaxMinShares(demands, total)) {
                addAmount(fairTokens, customer, share);
                addAmount(receivedTokens, customer, served.get(customer) ?? 0);
            }
        }
        const ratios = [...fairTokens].map(([customer, share]) =>
            computeRatio(receivedTokens.get(customer) ?? 0, share),
        );
        return Math.min(1, ...ratios);
    }

    private getClassMeasures(arrival: Arrival): ClassMeasures {
        const measures = this.classes.get(arrival.requestClass);
        if (measures === undefined) {
            throw new Error(`request ${arrival.requestId} has the unknown class ${arrival.requestClass}`);
        }
        return measures;
    }

    private getClassSettings(arrival: Arrival): RequestClass {
        const settings = this.classSettings.get(arrival.requestClass);
        if (settings === undefined) {
            throw new Error(`request ${arrival.requestId} has the unknown class ${arrival.requestClass}`);
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

function computeRatio(part: number, total: number): number {
    return total <= 0 ? 0 : part / total;
}
