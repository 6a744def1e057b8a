import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../random/random.js";
import { EvenShares, type SharedServer } from "../evenShares.js";
import { defaultPlacementSettings } from "../placementSettings.js";
import type { PlacementServer } from "../serverEstimate.js";
import { ServerPlacement } from "../serverPlacement.js";

const slots = 6;
const queueLength = 24;
const meanServiceMs = 30;
/** Load, as a share of what the servers can serve; with 0.8 a random choice loses too few requests to compare. */
const usedShare = 0.9;

interface Run {
    readonly nodeCount: number;
    /** Age of a server's figures when a node uses them, in milliseconds; the node takes them for new. */
    readonly newsMs: number;
    /** Service times of the servers, relative to the usual one. */
    readonly slowness: readonly number[];
    readonly isPaused: boolean;
    readonly isRandom: boolean;
}

interface Work {
    readonly serviceMs: number;
    readonly finish: () => void;
}

/** Plays 12 s of load, in the middle third of which the first server may be paused; returns the rejections. */
function countRejected({ nodeCount, newsMs, slowness, isPaused, isRandom }: Run, seed: number): number {
    const clock = new ManualClock();
    const random = createRandom(seed);
    const mail: { readonly atMs: number; readonly deliver: () => void }[] = [];
    const servers = slowness.map((factor, index) => ({
        placed: {
            id: `server-${String(index)}`,
            dataCentre: ["a", "b", "c"][index]!,
            slots,
            capacityTokens: undefined,
            isReclaimable: false,
        } satisfies PlacementServer,
        factor,
        running: [] as { readonly endMs: number; readonly finish: () => void }[],
        waiting: [] as Work[],
    }));
    const nodes = Array.from({ length: nodeCount }, (...[, index]) => {
        const settings = { ...defaultPlacementSettings, dataCentre: ["a", "b", "c"][index % 3]! };
        const placement = new ServerPlacement(settings, clock, { readDelayMs: () => 60_000, random });
        placement.updateServers(servers.map(({ placed }) => placed));
        return placement;
    });
    const advance = (server: (typeof servers)[number]): void => {
        const nowMs = clock.monotonicMs();
        const ended = server.running.filter(({ endMs }) => endMs <= nowMs);
        server.running = server.running.filter(({ endMs }) => endMs > nowMs);
        ended.forEach(({ finish }) => finish());
        while (server.running.length < slots && server.waiting.length > 0) {
            const { serviceMs, finish } = server.waiting.shift()!;
            server.running.push({ endMs: nowMs + serviceMs * server.factor, finish });
        }
    };
    let rejected = 0;
    const send = (open: readonly (typeof servers)[number][]): void => {
        const node = nodes[Math.floor(random() * nodeCount)]!;
        const request = { parts: [], promptTokens: 0, pauseTargetMs: undefined, excluded: new Set<string>() };
        const candidates = open.map(({ placed }) => placed);
        const id = isRandom
            ? candidates[Math.floor(random() * candidates.length)]!.id
            : node.chooseServer(request, candidates)!;
        const server = servers.find(({ placed }) => placed.id === id)!;
        const dispatched = node.recordDispatch(id, request);
        const serviceMs = -Math.log(1 - random()) * meanServiceMs;
        if (server.waiting.length >= queueLength) {
            rejected += 1;
            node.recordEnd(dispatched, "rejected");
            return;
        }
        const finish = (): void => {
            const [running, waiting] = [server.running.length, server.waiting.length];
            node.recordFirstEvent(dispatched);
            node.recordEnd(dispatched, "answered");
            const deliver = (): void => node.recordLoad(id, running, waiting);
            mail.push({ atMs: clock.monotonicMs() + newsMs, deliver });
        };
        server.waiting.push({ serviceMs, finish });
        advance(server);
    };
    const inUse = servers.slice(isPaused ? 1 : 0);
    const capacity = inUse.reduce((sum, { factor }) => sum + slots / factor, 0) / meanServiceMs;
    for (let passedMs = 0; passedMs < 12_000; passedMs += 1) {
        clock.advance(1);
        while (mail[0] !== undefined && mail[0].atMs <= clock.monotonicMs()) {
            mail.shift()!.deliver();
        }
        servers.forEach((server) => advance(server));
        if (random() < usedShare * capacity) {
            send(passedMs >= 4_000 && passedMs < 8_000 ? inUse : servers);
        }
    }
    return rejected;
}

function sumRejected(run: Run): number {
    const seeds = Array.from({ length: 4 }, (...[, index]) => index + 101);
    return seeds.reduce((sum, seed) => sum + countRejected(run, seed), 0);
}

const news = [100, 300, 1_000];
const cases = [9, 80, 200].flatMap((nodeCount) => news.map((newsMs) => ({ nodeCount, newsMs })));

describe("plain service with stale figures", () => {
    // Guards against many nodes that follow the same late figures to the same server (herd).
    it.each(cases)("$nodeCount nodes, $newsMs ms: a pause costs no more than by chance", (run) => {
        const paused = { ...run, slowness: [1, 1, 1], isPaused: true };
        const count = sumRejected({ ...paused, isRandom: false });
        expect(count).toBeLessThanOrEqual(sumRejected({ ...paused, isRandom: true }));
    });

    // Guards against equal shares for unequal servers, which overrun the slower one.
    it.each(cases)("$nodeCount nodes, $newsMs ms: a server of half speed is not overrun", (run) => {
        const uneven = { ...run, slowness: [1, 1, 2], isPaused: false };
        const count = sumRejected({ ...uneven, isRandom: false });
        expect(count).toBeLessThanOrEqual(sumRejected({ ...uneven, isRandom: true }));
    });
});

describe("EvenShares", () => {
    function buildServer(id: string, weight = 1): SharedServer {
        return { id, weight, load: undefined, loadAgeMs: 0 };
    }

    function countTurns(shares: EvenShares, servers: readonly SharedServer[], turns: number) {
        const counts = new Map(servers.map(({ id }) => [id, 0]));
        for (let turn = 0; turn < turns; turn += 1) {
            const chosen = shares.chooseServer(servers)!;
            shares.recordTurn(chosen, servers);
            counts.set(chosen, counts.get(chosen)! + 1);
        }
        return counts;
    }

    it("sends each server its share", () => {
        const servers = [buildServer("a", 2), buildServer("b")];
        const counts = countTurns(new EvenShares(createRandom(1)), servers, 300);
        expect(Math.abs(counts.get("a")! - 200)).toBeLessThanOrEqual(2);
    });

    // Guards against a server that gets what it missed during its pause all at once.
    it("sends a server that returns only its share", () => {
        const shares = new EvenShares(createRandom(1));
        const servers = ["a", "b", "c"].map((id) => buildServer(id));
        countTurns(shares, servers, 30);
        countTurns(shares, servers.slice(1), 300);
        expect(countTurns(shares, servers, 9).get("a")).toBeLessThanOrEqual(4);
    });

    it("follows a new load and ignores an old one", () => {
        const shares = new EvenShares(() => 0);
        const build = (loadAgeMs: number) => [
            { ...buildServer("a"), load: 4, loadAgeMs },
            { ...buildServer("b"), load: 0, loadAgeMs },
        ];
        expect(shares.chooseServer(build(10))).toBe("b");
        shares.recordTurn("b", build(1_000));
        expect(shares.chooseServer(build(1_000))).toBe("a");
        expect(shares.chooseServer([])).toBeUndefined();
    });
});
