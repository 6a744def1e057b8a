import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../random/random.js";
import { defaultPlacementSettings } from "../placementSettings.js";
import { PrefixCacheModel } from "../prefixCacheModel.js";
import type { PlacementServer } from "../serverEstimate.js";
import { ServerPlacement } from "../serverPlacement.js";

const nodeCount = 91;
const engineCount = 42;
const newsMs = 120;
const durationMs = 6_000;
const eventIntervalMs = 30;
const prefillTokensPerMs = 51.1;
const dataCentres = ["a", "b", "c", "d"];
/** Long, medium and short urgent prompts. */
const kinds = [
    { perMs: 0.045, shared: 12_000, own: 5_020, documents: 40, pauseTargetMs: 800, events: 60 },
    { perMs: 0.06, shared: 6_000, own: 3_190, documents: 30, pauseTargetMs: 300, events: 50 },
    { perMs: 0.09, shared: 700, own: 760, documents: 10, pauseTargetMs: 200, events: 43 },
];

interface Engine {
    readonly placed: PlacementServer;
    readonly tokensPerMs: number;
    readonly cache: PrefixCacheModel;
    readonly queue: { tokens: number; readonly finish: () => void }[];
    running: number;
    arrivals: number;
}

interface Outcome {
    /** Arrivals at the busiest engine of each second in relation to the mean. */
    readonly busiest: number;
    /** Tokens of shared parts that were prefilled again. */
    readonly tokensReadAgain: number;
}

/** Plays 6 s of requests of all nodes, which hear of each other late. */
function play(seed: number, hasPace: boolean): Outcome {
    const clock = new ManualClock();
    const random = createRandom(seed);
    const engines = Array.from({ length: engineCount }, (...[, index]): Engine => ({
        placed: {
            id: `engine-${String(index)}`,
            dataCentre: dataCentres[index % dataCentres.length]!,
            slots: 64,
            capacityTokens: 580_722,
            isReclaimable: index % 2 === 0,
        },
        tokensPerMs: prefillTokensPerMs * (0.55 + 0.65 * random()),
        cache: new PrefixCacheModel(580_722 * 0.6),
        queue: [],
        running: 0,
        arrivals: 0,
    }));
    const servers = engines.map(({ placed }) => placed);
    const nodes = Array.from({ length: nodeCount }, (...[, index]) => {
        const dataCentre = dataCentres[index % dataCentres.length]!;
        const settings = { ...defaultPlacementSettings, dataCentre };
        const placement = new ServerPlacement(settings, clock, { readDelayMs: () => newsMs, random });
        placement.updateServers(servers);
        return placement;
    });
    const events = new Map<number, (() => void)[]>();
    const plan = (atMs: number, run: () => void): void => {
        events.set(atMs, [...(events.get(atMs) ?? []), run]);
    };
    const seen = new Set<string>();
    let tokensReadAgain = 0;
    let sent = 0;
    const send = ({ shared, own, documents, pauseTargetMs, events: count }: (typeof kinds)[number]): void => {
        sent += 1;
        const node = nodes[Math.floor(random() * nodeCount)]!;
        const others = nodes.filter((other) => other !== node);
        const document = `${String(pauseTargetMs)}/${String(Math.floor(documents * random() ** 2))}`;
        const id = `request-${String(sent)}`;
        const parts = [
            { id: document, tokens: shared },
            { id, tokens: own },
        ];
        const request = { parts, promptTokens: shared + own, pauseTargetMs, excluded: new Set<string>() };
        const serverId = node.chooseServer(request, servers)!;
        const placement = node.recordDispatch(serverId, request);
        const engine = engines.find(({ placed }) => placed.id === serverId)!;
        engine.arrivals += 1;
        const { uncachedTokens: tokens, ownTokens } = placement;
        const announced = { id, serverId, tokens, pauseTargetMs, ownTokens };
        const tell = (run: (other: ServerPlacement) => void): void =>
            plan(clock.monotonicMs() + newsMs, () => others.forEach(run));
        tell((other) => other.recordPeerDispatch(announced, parts.slice(0, 1)));
        const cachedTokens = engine.cache.countCachedTokens(parts);
        tokensReadAgain += cachedTokens === 0 && seen.has(document) ? shared : 0;
        seen.add(document);
        engine.cache.recordParts(parts);
        const finish = (): void => {
            engine.running += 1;
            node.recordLoad(serverId, engine.running, engine.queue.length, hasPace ? 1 : undefined);
            node.recordFirstEvent(placement);
            tell((other) => other.recordPeerFirstEvent(id));
            plan(clock.monotonicMs() + count * eventIntervalMs, () => {
                engine.running -= 1;
                node.recordEnd(placement, "answered");
                tell((other) => other.recordPeerEnd(id));
            });
        };
        engine.queue.push({ tokens: shared + own - cachedTokens, finish });
    };
    const busiest: number[] = [];
    for (let nowMs = 1; nowMs <= durationMs; nowMs += 1) {
        clock.advance(1);
        events.get(clock.monotonicMs())?.forEach((run) => run());
        events.delete(clock.monotonicMs());
        for (const engine of engines) {
            let budget = engine.tokensPerMs;
            while (budget > 0 && engine.queue[0] !== undefined) {
                const used = Math.min(budget, engine.queue[0].tokens);
                budget -= used;
                engine.queue[0].tokens -= used;
                if (engine.queue[0].tokens <= 0) {
                    engine.queue.shift()!.finish();
                }
            }
        }
        if (nowMs % 1_000 === 0) {
            const total = engines.reduce((sum, { arrivals }) => sum + arrivals, 0);
            const most = Math.max(...engines.map(({ arrivals }) => arrivals));
            // The first seconds fill empty caches.
            if (nowMs > 2_000) {
                busiest.push((most * engineCount) / total);
            }
            engines.forEach((engine) => (engine.arrivals = 0));
        }
        kinds.filter(({ perMs }) => random() < perMs).forEach(send);
    }
    return { busiest: busiest.reduce((sum, value) => sum + value, 0) / busiest.length, tokensReadAgain };
}

describe("91 nodes before 42 engines with news 120 ms old", () => {
    const seeds = [11, 12];
    const [before, after] = [false, true].map((hasPace) => seeds.map((seed) => play(seed, hasPace)));
    const sum = (outcomes: readonly Outcome[], key: keyof Outcome): number =>
        outcomes.reduce((total, outcome) => total + outcome[key], 0);

    // Guards against a few engines that get most of the requests while others are idle.
    it("spreads requests more evenly where a pace is reported", () => {
        expect(sum(after!, "busiest")).toBeLessThan(sum(before!, "busiest"));
    });

    // Guards against evenness, or free memory, at the cost of prompt caches.
    it("reads no more tokens again where a pace is reported", () => {
        expect(sum(after!, "tokensReadAgain")).toBeLessThanOrEqual(sum(before!, "tokensReadAgain"));
    });
});
