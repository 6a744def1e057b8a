/**
 * Simulates the schedulers of several nodes and the engines of a pool under one manual clock.
 *
 * @packageDocumentation
 */
import type { Decision } from "@pimentocleat/policy";
import { RetryBudget, chooseRetryAction } from "@pimentocleat/policy";
import { ManualClock } from "@pimentocleat/types";
import type { RunMeasures } from "../report/measures.js";
import type { EngineEvent } from "./engineModel.js";
import { EngineModel } from "./engineModel.js";
import { DelayedActionQueue } from "./delayedActionQueue.js";
import type { NodeState } from "./nodeState.js";
import { RandomSource } from "./randomSource.js";
import type { RequestRecord } from "./runRecorder.js";
import type { RunContext, RunOptions } from "./runContext.js";
import { SimulatedTransport } from "./simulatedTransport.js";
import { RunRecorder } from "./runRecorder.js";
import type { Arrival } from "./workload.js";
import { engineSpeed } from "./workload.js";

/** Time by which each step advances the simulation. */
const stepMs = 10;
/** Maximum time for which the run continues after its duration, until all requests have ended. */
const maximumDrainMs = 60_000;
/** Share of the available slots that must be busy for the pool to be in full use. */
const fullUseShare = 0.97;

/** Simulates one policy under one workload. */
export class ExperimentRun implements RunContext {
    readonly clock = new ManualClock();
    readonly nodes: NodeState[];
    readonly engines = new Map<string, EngineModel>();
    readonly recorder: RunRecorder;
    private readonly random: RandomSource;
    readonly records = new Map<string, RequestRecord>();
    readonly delayedActions = new DelayedActionQueue(this.clock);
    private readonly transport: SimulatedTransport;
    private readonly nodesByRequest = new Map<string, NodeState>();
    private readonly waitingByClass = new Map<string, number>();
    private nextArrival = 0;
    private nextFault = 0;
    private fullUseAtMs: number | undefined;

    /** @param options - Deployment, policy, arrivals and faults. */
    constructor(readonly options: RunOptions) {
        const { deployment, variant, seed } = options;
        this.random = new RandomSource(seed + 1);
        this.recorder = new RunRecorder(deployment, options.durationMs);
        const count = options.nodes ?? deployment.nodes;
        this.nodes = Array.from(Array(count).keys(), (index) => {
            const name = `node-${index + 1}`;
            const settings = { configuration: deployment.configuration, clock: this.clock, node: name };
            const scheduler = variant.createScheduler(settings, () => this.random.next());
            const retryBudget = new RetryBudget(deployment.configuration.pool.retryShare);
            return {
                name,
                scheduler,
                retryBudget,
                state: "live" as const,
                deathNoticedMs: Infinity,
                backlog: [],
            };
        });
        for (const { name, slots } of deployment.configuration.pool.servers) {
            const cacheBlocks = options.cacheBlocks ?? 0;
            const settings = { name, slots, cacheBlocks, ...engineSpeed };
            this.engines.set(name, new EngineModel(settings, () => this.random.next()));
        }
        this.transport = new SimulatedTransport(this, () => this.random.next());
    }

    /**
     * Runs the simulation until all requests have ended, at most 60 s longer than its duration.
     *
     * @returns The measures of the run.
     */
    run(): RunMeasures {
        const endMs = this.options.durationMs + maximumDrainMs;
        let busySlotMs = 0;
        for (let nowMs = 0; nowMs < endMs && !this.isIdle(nowMs); nowMs += stepMs) {
            this.advanceStep(nowMs);
            if (nowMs < this.options.durationMs) {
                busySlotMs = this.sumOverEngines((engine) => engine.busySlotMs);
            }
        }
        const slots = this.sumOverEngines((engine) => engine.settings.slots);
        return this.recorder.buildMeasures({
            policy: this.options.variant.name,
            availableSlotMs: slots * this.options.durationMs,
            busySlotMs,
            overrun: Math.max(...[...this.engines.values()].map(({ overrun }) => overrun)),
            summariesPerSecond:
                (this.transport.countSummaries() * 1_000) / this.options.durationMs / this.nodes.length,
            overrunMs: this.sumOverEngines((engine) => engine.overrunMs),
            strandedMs: this.computeStrandedMs(),
        });
    }

    private isIdle(nowMs: number): boolean {
        return nowMs > this.options.durationMs && [...this.records.values()].every(({ isEnded }) => isEnded);
    }

    private advanceStep(nowMs: number): void {
        const { faults = [], arrivals } = this.options;
        for (let fault = faults[this.nextFault]; fault !== undefined && fault.atMs <= nowMs;) {
            fault.apply(this);
            this.nextFault += 1;
            fault = faults[this.nextFault];
        }
        this.delayedActions.runDue();
        for (let arrival = arrivals[this.nextArrival]; arrival !== undefined && arrival.atMs <= nowMs;) {
            this.offerArrival(arrival);
            this.nextArrival += 1;
            arrival = arrivals[this.nextArrival];
        }
        this.transport.sendDue(nowMs);
        this.nodes.forEach((node) => this.applyDecisions(node));
        this.clock.advance(stepMs);
        for (const engine of this.engines.values()) {
            engine.advance(stepMs).forEach((event) => this.receiveEngineEvent(engine, event));
        }
        this.recordState(nowMs);
    }

    private recordState(nowMs: number): void {
        for (const { name } of this.options.deployment.configuration.classes) {
            this.recorder.floorMonitor.recordWaiting(name, this.waitingByClass.get(name) ?? 0, nowMs);
        }
        const fromMs = this.options.recoveryStartMs;
        if (fromMs !== undefined && nowMs >= fromMs && this.fullUseAtMs === undefined) {
            const slots = this.sumOverEngines(({ isDown, settings }) => (isDown ? 0 : settings.slots));
            const running = this.sumOverEngines((engine) => engine.readLoad().runningRequests);
            this.fullUseAtMs = running >= slots * fullUseShare ? nowMs : undefined;
        }
    }

    private computeStrandedMs(): number | undefined {
        const fromMs = this.options.recoveryStartMs;
        return fromMs === undefined ? undefined : (this.fullUseAtMs ?? Infinity) - fromMs;
    }

    private chooseNode(arrival: Arrival): NodeState {
        const nowMs = this.clock.monotonicMs();
        const registered = this.nodes.filter(({ deathNoticedMs }) => nowMs < deathNoticedMs);
        const nodes = this.options.variant.hasSingleOwner ? registered.slice(0, 1) : registered;
        const node = nodes[Math.floor(arrival.nodeChoice * nodes.length)];
        if (node === undefined) {
            throw new Error(`no node is left for request ${arrival.requestId}`);
        }
        return node;
    }

    getNode(record: RequestRecord): NodeState {
        const node = this.nodesByRequest.get(record.arrival.requestId);
        if (node === undefined) {
            throw new Error(`request ${record.arrival.requestId} is assigned to no node`);
        }
        return node;
    }

    private offerArrival(arrival: Arrival): void {
        const record: RequestRecord = {
            arrival,
            firstTokenAtMs: undefined,
            streamedTokens: 0,
            generated: 0,
            attempts: 1,
            startedAtMs: 0,
            server: "",
            slotMs: 0,
            isEnded: false,
        };
        this.records.set(arrival.requestId, record);
        this.recorder.recordOffer(arrival);
        const node = this.chooseNode(arrival);
        this.nodesByRequest.set(arrival.requestId, node);
        if (node.state === "dead") {
            this.recorder.recordFailure(record);
            return;
        }
        node.retryBudget.recordFirstAttempt();
        this.handleOnNode(node, () => this.offerRequest(node, record, []));
    }

    private handleOnNode(node: NodeState, handle: () => void): void {
        if (node.state === "frozen") {
            node.backlog.push(handle);
        } else {
            handle();
        }
    }

    private offerRequest(node: NodeState, record: RequestRecord, excludedServers: readonly string[]): void {
        const { arrival } = record;
        const result = node.scheduler.offerRequest({
            requestId: arrival.requestId,
            customer: arrival.customer,
            requestClass: arrival.requestClass,
            arrivedMs: arrival.atMs,
            promptTokens: arrival.promptTokens,
            maximumTokens: undefined,
            prefixBlocks: arrival.prefixBlocks,
            repeatable: arrival.repeatable,
            excludedServers,
            attempt: record.attempts,
            resumedTokens: record.streamedTokens,
        });
        if (result.type === "refused") {
            this.recorder.recordRefusal(record, result.kind, this.clock.monotonicMs());
        } else {
            this.addWaiting(arrival.requestClass, 1);
        }
    }

    private addWaiting(requestClass: string, amount: number): void {
        this.waitingByClass.set(requestClass, (this.waitingByClass.get(requestClass) ?? 0) + amount);
    }

    private applyDecisions(node: NodeState): void {
        if (node.state !== "live") {
            return;
        }
        for (const decision of node.scheduler.takeDecisions()) {
            this.applyDecision(decision);
        }
    }

    private applyDecision(decision: Decision): void {
        const record = this.records.get(decision.requestId);
        if (record === undefined || record.isEnded) {
            return;
        }
        const nowMs = this.clock.monotonicMs();
        const node = this.getNode(record);
        if (decision.type === "refuse") {
            this.addWaiting(record.arrival.requestClass, -1);
            this.recorder.recordRefusal(record, decision.kind, nowMs);
            return;
        }
        if (decision.type === "move") {
            this.recorder.recordAttemptEnd(record, nowMs);
            this.engines.get(record.server)?.cancelJob(decision.requestId);
            node.scheduler.recordOutcome(decision.requestId, record.server, "cancelled");
            this.recorder.recordRetry("move");
        } else if (decision.type === "start") {
            this.addWaiting(record.arrival.requestClass, -1);
            this.recorder.recordStart(record, decision.byFloor === true, nowMs);
        }
        this.startJob(record, decision.server);
    }

    private startJob(record: RequestRecord, server: string): void {
        const { arrival } = record;
        record.server = server;
        record.startedAtMs = Infinity;
        this.engines.get(server)?.addJob({
            requestId: arrival.requestId,
            node: 0,
            promptTokens: arrival.promptTokens + record.streamedTokens,
            prefixBlocks: arrival.prefixBlocks,
            tokens: arrival.tokens - record.streamedTokens,
        });
    }

    private receiveEngineEvent(engine: EngineModel, event: EngineEvent): void {
        const record = this.records.get(event.job.requestId);
        if (record !== undefined) {
            this.handleOnNode(this.getNode(record), () => this.handleEngineEvent(engine, event, record));
        }
    }

    private handleEngineEvent(engine: EngineModel, event: EngineEvent, record: RequestRecord): void {
        const { requestId } = event.job;
        if (record.isEnded || record.server !== engine.settings.name) {
            return;
        }
        const { scheduler } = this.getNode(record);
        const nowMs = this.clock.monotonicMs();
        if (event.type === "admitted") {
            record.startedAtMs = nowMs;
        } else if (event.type === "firstToken") {
            record.firstTokenAtMs ??= nowMs;
            scheduler.recordFirstToken(requestId);
        } else if (event.type === "tokens") {
            record.streamedTokens += event.tokens;
            this.recorder.recordTokens(record, event.tokens, nowMs);
            scheduler.recordTokens(requestId, event.tokens);
        } else {
            this.recorder.recordAttemptEnd(record, nowMs);
            scheduler.recordOutcome(requestId, record.server, event.type);
            this.finishAttempt(record, event.type, nowMs);
        }
    }

    private finishAttempt(record: RequestRecord, outcome: "completed" | "failed", nowMs: number): void {
        if (outcome === "completed") {
            this.recorder.recordCompletion(record, nowMs);
            return;
        }
        const node = this.getNode(record);
        const action = chooseRetryAction({
            outcome,
            repeatable: record.arrival.repeatable,
            bytesSent: true,
            tokensStreamed: record.streamedTokens,
            resumable: true,
            attempt: record.attempts,
            serverLeaving: this.engines.get(record.server)?.isLeaving === true,
        });
        if (
            action.type === "fail" ||
            node.state !== "live" ||
            (action.isBudgeted && !node.retryBudget.tryTake())
        ) {
            this.recorder.recordFailure(record);
            return;
        }
        record.attempts += 1;
        this.recorder.recordRetry(action.type);
        this.offerRequest(node, record, [record.server]);
    }

    private sumOverEngines(read: (engine: EngineModel) => number): number {
        return [...this.engines.values()].reduce((sum, engine) => sum + read(engine), 0);
    }
}
