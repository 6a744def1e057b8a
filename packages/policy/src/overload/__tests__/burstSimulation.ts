/**
 * Plays bursts of requests on simulated engines, with the real placement and admission control of each node.
 *
 * @packageDocumentation
 */
import { ManualClock } from "@pimentocleat/types";
import { defaultPlacementSettings } from "../../placement/placementSettings.js";
import type { PlacementServer } from "../../placement/serverEstimate.js";
import { ServerPlacement } from "../../placement/serverPlacement.js";
import { createRandom } from "../../random/random.js";
import type { AdmissionRequest } from "../admissionRequest.js";
import { OverloadControl } from "../overloadControl.js";

/** A kind of request of the bakeries (docs/design/17-hard-load.md). */
interface Kind {
    readonly name: string;
    readonly priority: number;
    readonly meanTokens: number;
    readonly targetMs: number;
    readonly pauseTargetMs: number;
    readonly timeoutMs: number;
    /** Only the number of the urgent kind is on the page; the others are assumed. */
    readonly events: number;
    /** Usual requests per second, assumed: together about 0.6 of the prefill speed of all engines. */
    readonly perSecond: number;
}

export const kinds: readonly Kind[] = [
    {
        name: "urgent",
        priority: 0,
        meanTokens: 1_460,
        targetMs: 1_211,
        pauseTargetMs: 200,
        timeoutMs: 15_140,
        events: 43,
        perSecond: 125,
    },
    {
        name: "medium",
        priority: 1,
        meanTokens: 9_190,
        targetMs: 1_219,
        pauseTargetMs: 300,
        timeoutMs: 6_096,
        events: 20,
        perSecond: 60,
    },
    {
        name: "long",
        priority: 2,
        meanTokens: 17_020,
        targetMs: 2_027,
        pauseTargetMs: 800,
        timeoutMs: 12_163,
        events: 30,
        perSecond: 30,
    },
];

/** One kind comes more often for some time. */
export interface Burst {
    readonly kind: string;
    readonly factor: number;
    readonly fromMs: number;
    readonly untilMs: number;
}

/** What became of one request. */
export interface Outcome {
    readonly kind: string;
    readonly promptTokens: number;
    readonly arrivedMs: number;
    isStarted: boolean;
    isComplete: boolean;
    isInTime: boolean;
    longestPauseMs: number;
    refusals: number;
}

interface Running {
    readonly call: Call;
    readonly placed: ReturnType<ServerPlacement["recordDispatch"]>;
    readonly tokens: number;
    readonly id: string;
    events: number;
    lastEventMs: number;
    firstEventMs: number;
}

/** A request of a caller, at the node that has it. */
interface Call {
    readonly outcome: Outcome;
    readonly kind: Kind;
    readonly admission: AdmissionRequest;
    readonly node: Node;
    readonly isRetry: boolean;
}

interface Node {
    readonly placement: ServerPlacement;
    readonly control: OverloadControl;
    waiting: Call[];
}

const engineCount = 42;
const slots = 64;
const capacityTokens = 580_722;
const prefillTokensPerMs = 51.1;
/** Tokens that an engine prefills between two decoding steps; assumed: a step then stays just within 200 ms. */
const chunkTokens = 8_192;
/** Duration of a decoding step without and with each running stream, in milliseconds; assumed. */
const stepMs = 20;
const stepPerStreamMs = 0.8;
const newsDelayMs = 100;
const tickMs = 5;
const pollMs = 50;
/** Difference of the seeds of arrivals and choices. */
const arrivalSeedStep = 1_000;
/** Time after the last arrival in which all requests end, in milliseconds. */
const longestTimeoutMs = 15_140;
/** Share of the largest prompt (53,200 tokens) beyond which an exponential size is cut. */
const maximumSizeFactor = 53_200 / 17_020;

/** An engine that prefills in chunks between decoding steps and holds what fits into its memory. */
class Engine {
    readonly running: Running[] = [];
    prefilling: { readonly work: Running; leftTokens: number }[] = [];
    queue: Running[] = [];
    private nextMs = 0;
    private usedTokens = 0;

    constructor(readonly placed: PlacementServer) {}

    offer(work: Running): void {
        this.queue.push(work);
    }

    /** Performs the steps that are due; each gives one event to every running stream. */
    advance(nowMs: number, onEvent: (work: Running) => void, onEnd: (work: Running) => void): void {
        if (this.nextMs > nowMs) {
            return;
        }
        this.removeOverdue(nowMs, onEnd);
        for (const work of [...this.running]) {
            onEvent(work);
            if (work.events === work.call.kind.events) {
                this.running.splice(this.running.indexOf(work), 1);
                this.usedTokens -= work.call.admission.promptTokens;
                onEnd(work);
            }
        }
        this.startQueued();
        let budget = chunkTokens;
        while (budget > 0 && this.prefilling[0] !== undefined) {
            const first = this.prefilling[0];
            const done = Math.min(budget, first.leftTokens);
            first.leftTokens -= done;
            budget -= done;
            if (first.leftTokens <= 0) {
                this.prefilling.shift();
                this.running.push(first.work);
            }
        }
        const prefillMs = (chunkTokens - budget) / prefillTokensPerMs;
        const isIdle = this.running.length === 0 && prefillMs === 0;
        this.nextMs = nowMs + (isIdle ? tickMs : stepMs + stepPerStreamMs * this.running.length + prefillMs);
    }

    isIdle(): boolean {
        return this.running.length + this.prefilling.length + this.queue.length === 0;
    }

    private startQueued(): void {
        while (this.queue[0] !== undefined && this.running.length + this.prefilling.length < slots) {
            const { promptTokens } = this.queue[0].call.admission;
            if (this.usedTokens + promptTokens > capacityTokens) {
                return;
            }
            const work = this.queue.shift()!;
            this.usedTokens += promptTokens;
            this.prefilling.push({ work, leftTokens: work.tokens });
        }
    }

    private removeOverdue(nowMs: number, onEnd: (work: Running) => void): void {
        const isOverdue = (work: Running): boolean => work.call.admission.deadlineMs <= nowMs;
        const held = [...this.running, ...this.prefilling.map(({ work }) => work)].filter(isOverdue);
        const queued = this.queue.filter(isOverdue);
        held.forEach((work) => (this.usedTokens -= work.call.admission.promptTokens));
        this.queue = this.queue.filter((work) => !isOverdue(work));
        this.prefilling = this.prefilling.filter(({ work }) => !isOverdue(work));
        held.filter((work) => this.running.includes(work)).forEach((work) =>
            this.running.splice(this.running.indexOf(work), 1),
        );
        [...held, ...queued].forEach(onEnd);
    }
}

/** Options of {@link playBursts}. */
export interface SimulationOptions {
    readonly nodeCount: number;
    readonly seed: number;
    readonly durationMs: number;
    readonly bursts: readonly Burst[];
    readonly isControlled: boolean;
    /** Factor on all usual rates; 1 by default. */
    readonly rateFactor?: number;
}

/**
 * Plays the load.
 *
 * @param options - Load and nodes.
 * @returns The outcome of each request.
 */
export function playBursts(options: SimulationOptions): readonly Outcome[] {
    const { nodeCount, durationMs, bursts, isControlled, rateFactor = 1 } = options;
    const clock = new ManualClock();
    const random = createRandom(options.seed);
    // Requests are drawn apart, so that they are the same whatever is decided about them.
    const arrivals = createRandom(options.seed + arrivalSeedStep);
    const zones = ["a", "b", "c", "d"];
    const engines = Array.from({ length: engineCount }, (...[, index]) => {
        const dataCentre = zones[index % zones.length]!;
        return new Engine({
            id: `engine-${String(index)}`,
            dataCentre,
            slots,
            capacityTokens,
            isReclaimable: false,
        });
    });
    const servers = engines.map(({ placed }) => placed);
    const nodes = Array.from({ length: nodeCount }, (...[, index]): Node => {
        const settings = {
            ...defaultPlacementSettings,
            dataCentre: zones[index % zones.length]!,
            prefillTokensPerMs,
        };
        const placement = new ServerPlacement(settings, clock, { readDelayMs: () => newsDelayMs, random });
        placement.updateServers(servers);
        return { placement, control: new OverloadControl(clock), waiting: [] };
    });
    const outcomes: Outcome[] = [];
    const later: { readonly atMs: number; readonly run: () => void }[] = [];
    let sequence = 0;
    const nowMs = () => clock.monotonicMs();
    const plan = (delayMs: number, run: () => void): void => {
        later.push({ atMs: nowMs() + delayMs, run });
    };
    const tellPeers = (from: Node, tell: (placement: ServerPlacement) => void): void =>
        plan(newsDelayMs, () => nodes.forEach((node) => node !== from && tell(node.placement)));
    const buildPlacementRequest = ({ kind, admission }: Call) => ({
        parts: [],
        promptTokens: admission.promptTokens,
        pauseTargetMs: kind.pauseTargetMs,
        excluded: new Set<string>(),
    });

    const dispatch = (call: Call): void => {
        const { node, kind, admission, outcome } = call;
        outcome.isStarted = true;
        const request = buildPlacementRequest(call);
        const serverId = node.placement.chooseServer(request, servers)!;
        const placed = node.placement.recordDispatch(serverId, request);
        sequence += 1;
        const id = `peer/${String(sequence)}`;
        const { promptTokens: tokens } = admission;
        const { pauseTargetMs } = kind;
        tellPeers(node, (placement) =>
            placement.recordPeerDispatch({ id, serverId, tokens, pauseTargetMs }, []),
        );
        engines
            .find((engine) => engine.placed.id === serverId)!
            .offer({ call, placed, tokens, id, events: 0, lastEventMs: nowMs(), firstEventMs: 0 });
    };
    const readLoad = () => {
        const taken = engines.reduce(
            (sum, engine) => sum + engine.running.length + engine.prefilling.length,
            0,
        );
        const waiting = engines.reduce((sum, engine) => sum + engine.queue.length, 0);
        return { takenShare: taken / (slots * engineCount), waiting };
    };
    const admit = (call: Call): boolean => {
        const { node, admission, outcome } = call;
        // Predicted without control too, so that both draw the same random numbers for the choice of servers.
        const estimate = node.placement.estimateStart(buildPlacementRequest(call), servers);
        if (!isControlled) {
            dispatch(call);
            return true;
        }
        const decision = node.control.chooseAdmission(admission, estimate, readLoad);
        if (decision.type === "start") {
            node.control.recordStart(admission);
            dispatch(call);
        } else if (decision.type === "refuse") {
            node.control.recordRefusal(admission);
            outcome.refusals += 1;
            if (!call.isRetry) {
                plan(decision.returnMs, () => arrive(call.kind, outcome, admission.deadlineMs));
            }
        }
        return decision.type !== "wait";
    };
    const arrive = (kind: Kind, outcome: Outcome, deadlineMs: number): void => {
        const node = nodes[Math.floor(random() * nodeCount)]!;
        const isRetry = outcome.refusals > 0;
        sequence += 1;
        const admission: AdmissionRequest = {
            requestId: `request-${String(sequence)}`,
            kind: kind.name,
            customer: undefined,
            priority: kind.priority,
            promptTokens: outcome.promptTokens,
            sizeRank: node.control.recordArrival(kind.name, outcome.promptTokens),
            arrivedMs: nowMs(),
            deadlineMs,
            targetMs: kind.targetMs,
            pauseTargetMs: kind.pauseTargetMs,
            isReturning: isRetry,
            isResumption: false,
        };
        const call = { outcome, kind, admission, node, isRetry };
        if (!admit(call)) {
            node.waiting.push(call);
            node.waiting.sort((left, right) => node.control.compareRequests(left.admission, right.admission));
        }
    };
    const onEvent = (work: Running): void => {
        const { call, placed, id } = work;
        const { node, kind, outcome } = call;
        work.events += 1;
        const pauseMs = nowMs() - work.lastEventMs;
        work.lastEventMs = nowMs();
        if (work.events === 1) {
            work.firstEventMs = nowMs();
            outcome.isInTime = nowMs() - outcome.arrivedMs <= kind.targetMs;
            node.placement.recordFirstEvent(placed);
            tellPeers(node, (placement) => placement.recordPeerFirstEvent(id));
            return;
        }
        outcome.longestPauseMs = Math.max(outcome.longestPauseMs, pauseMs);
        if (pauseMs > kind.pauseTargetMs * 0.3) {
            node.placement.recordPause(placed, pauseMs);
        }
    };
    const onEnd = (engine: Engine, work: Running): void => {
        const { call, placed, id } = work;
        const { node, kind, outcome } = call;
        outcome.isComplete = work.events === kind.events;

        outcome.isInTime &&= outcome.isComplete && outcome.longestPauseMs <= kind.pauseTargetMs;
        node.placement.recordEnd(placed, outcome.isComplete ? "answered" : "cancelled");
        node.placement.recordLoad(engine.placed.id, engine.running.length, engine.queue.length);
        if (outcome.isComplete) {
            node.control.recordAnswer(kind.name, nowMs() - work.firstEventMs);
        }
        tellPeers(node, (placement) => placement.recordPeerEnd(id));
    };
    const computeRate = ({ name, perSecond }: Kind): number =>
        bursts
            .filter(({ kind, fromMs, untilMs }) => kind === name && fromMs <= nowMs() && nowMs() < untilMs)
            .reduce((rate, { factor }) => rate * factor, perSecond * rateFactor);

    for (let passedMs = 0; passedMs < durationMs + longestTimeoutMs; passedMs += tickMs) {
        clock.advance(tickMs);
        const isOver = passedMs >= durationMs && later.length === 0;
        if (
            isOver &&
            engines.every((engine) => engine.isIdle()) &&
            nodes.every(({ waiting }) => waiting.length === 0)
        ) {
            break;
        }
        for (const due of later.filter(({ atMs }) => atMs <= nowMs())) {
            later.splice(later.indexOf(due), 1);
            due.run();
        }
        for (const engine of engines) {
            engine.advance(nowMs(), onEvent, (work) => onEnd(engine, work));
        }
        for (const kind of passedMs < durationMs ? kinds : []) {
            // At most one request per kind and tick; the rates are below a tenth of that limit's inverse.
            if (arrivals() < (computeRate(kind) * tickMs) / 1_000) {
                const size = Math.min(maximumSizeFactor, -Math.log(1 - arrivals()));
                const promptTokens = Math.round(kind.meanTokens * size);
                const outcome: Outcome = {
                    kind: kind.name,
                    promptTokens,
                    arrivedMs: nowMs(),
                    isStarted: false,
                    isComplete: false,
                    isInTime: false,
                    longestPauseMs: 0,
                    refusals: 0,
                };
                outcomes.push(outcome);
                arrive(kind, outcome, nowMs() + kind.timeoutMs);
            }
        }
        // Nodes are not synchronized.
        for (const [index, node] of nodes.entries()) {
            if ((passedMs + index * tickMs) % pollMs === 0) {
                node.waiting = node.waiting.filter(
                    (call) => call.admission.deadlineMs > nowMs() && !admit(call),
                );
            }
        }
    }
    return outcomes;
}
