import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { createRandom } from "../../random/random.js";
import { defaultPlacementSettings } from "../../placement/placementSettings.js";
import type { PlacementServer } from "../../placement/serverEstimate.js";
import { ServerPlacement } from "../../placement/serverPlacement.js";
import { BrittleServices } from "../brittleServices.js";
import { PlaceQueue } from "../placeQueue.js";

const service = "plain";
const slots = 4;
const serviceMs = 100;
const downMs = 3_000;
const playedMs = 8_000;
/** Time until the other nodes know of a request, its end or a rejection: directly, and through readers, in milliseconds. */
const directDelayMs = 5;
const relayedDelayMs = 120;
/** Number of nodes above which news goes through readers. */
const directNodes = 25;
/** Longest wait of a request in its node, in milliseconds. */
const patienceMs = 400;
const plainRequest = { parts: [], promptTokens: 0, pauseTargetMs: undefined };

type Reply = (isGranted: boolean, place: string) => void;

interface Play {
    readonly nodeCount: number;
    readonly serverCount: number;
    readonly allowed: number;
    /** Load, as a share of what the servers can run. */
    readonly load: number;
    readonly isHeeded: boolean;
    readonly seed: number;
}

/** A server without a queue that fails when it has to reject too much in a second. */
class BrittleServer {
    endsMs: number[] = [];
    rejectedMs: number[] = [];
    downUntilMs = 0;
    falls = 0;

    constructor(
        readonly placed: PlacementServer,
        private readonly allowed: number,
    ) {}

    offer(nowMs: number): "taken" | "rejected" | "down" {
        if (nowMs < this.downUntilMs) {
            return "down";
        }
        this.endsMs = this.endsMs.filter((endMs) => endMs > nowMs);
        if (this.endsMs.length < slots) {
            this.endsMs.push(nowMs + serviceMs);
            return "taken";
        }
        this.rejectedMs = [...this.rejectedMs.filter((atMs) => nowMs - atMs < 1_000), nowMs];
        if (this.rejectedMs.length > this.allowed) {
            this.falls += 1;
            this.downUntilMs = nowMs + downMs;
            this.rejectedMs = [];
            this.endsMs = [];
        }
        return "rejected";
    }
}

/** Plays a load on brittle servers; each node knows the requests and rejections of the others a little later. */
function playLoad({ nodeCount, serverCount, allowed, load, isHeeded, seed }: Play) {
    const newsDelayMs = nodeCount > directNodes ? relayedDelayMs : directDelayMs;
    const clock = new ManualClock();
    const random = createRandom(seed);
    const servers = Array.from({ length: serverCount }, (...[, index]) => {
        const dataCentre = ["a", "b", "c"][index % 3]!;
        const placed = {
            id: `s${String(index)}`,
            dataCentre,
            slots,
            capacityTokens: undefined,
            isReclaimable: false,
        };
        return new BrittleServer(placed, allowed);
    });
    const nodes = Array.from({ length: nodeCount }, (...[, index]) => {
        const settings = { ...defaultPlacementSettings, dataCentre: ["a", "b", "c"][index % 3]! };
        const placement = new ServerPlacement(settings, clock, { readDelayMs: () => newsDelayMs, random });
        placement.updateServers(servers.map(({ placed }) => placed));
        const brittle = new BrittleServices(clock);
        brittle.recordAnswer(service, isHeeded ? allowed : undefined, 0);
        return { placement, brittle };
    });
    const later = new Map<number, (() => void)[]>();
    const plan = (delayMs: number, run: () => void) => {
        const atMs = clock.monotonicMs() + delayMs;
        later.set(atMs, [...(later.get(atMs) ?? []), run]);
    };
    const tellOthers = (own: (typeof nodes)[number], tell: (other: (typeof nodes)[number]) => void) =>
        plan(newsDelayMs, () => nodes.filter((node) => node !== own).forEach(tell));
    let served = 0;
    let offered = 0;
    let sequence = 0;
    const queues = new Map(
        servers.map(({ placed: { id } }, index) => {
            const keeper = nodes[index % nodeCount]!;
            const computeRoom = () => keeper.brittle.computeRoom(id, slots, allowed);
            const countInFlight = () => keeper.placement.countInFlight(id);
            return [id, new PlaceQueue(clock, { computeRoom, countInFlight })] as const;
        }),
    );
    const replies = new Map<string, Reply>();
    const askPlace = (id: string, waitMs: number, reply: Reply): void => {
        const requestId = String((sequence += 1));
        plan(1, () => {
            const decision = queues.get(id)!.offer({ id: requestId, priority: 0, patienceMs: waitMs });
            if (decision.type === "waiting") {
                replies.set(requestId, reply);
            } else {
                plan(1, () => reply(decision.type === "granted", requestId));
            }
        });
    };
    const send = (
        node: (typeof nodes)[number],
        id: string,
        excluded: ReadonlySet<string>,
        place: string,
    ): boolean => {
        const { placement, brittle } = node;
        const server = servers.find(({ placed }) => placed.id === id)!;
        const room = placement.countInFlight(id);
        const dispatched = placement.recordDispatch(id, { ...plainRequest, excluded });
        const inFlightId = `r${String((sequence += 1))}`;
        const news = { id: inFlightId, serverId: id, tokens: 0, pauseTargetMs: undefined };
        tellOthers(node, (other) => other.placement.recordPeerDispatch(news, []));
        const finish = (outcome: "answered" | "rejected" | "broken") => {
            placement.recordEnd(dispatched, outcome);
            plan(1, () => queues.get(id)!.release(place));
            tellOthers(node, (other) => other.placement.recordPeerEnd(inFlightId));
        };
        const result = server.offer(clock.monotonicMs());
        if (result === "taken") {
            const { falls } = server;
            plan(serviceMs, () => {
                const isKept = server.falls === falls;
                served += Number(isKept);
                finish(isKept ? "answered" : "broken");
            });
            return true;
        }
        if (result === "rejected") {
            brittle.recordRejection(id, room);
            tellOthers(node, (other) => other.brittle.recordRejection(id, room));
        }
        finish(result === "rejected" ? "rejected" : "broken");
        return false;
    };
    const tryOnce = (node: (typeof nodes)[number], arrivedMs: number, excluded: Set<string>): void => {
        const candidates = servers.map(({ placed }) => placed);
        const id = node.placement.chooseServer({ ...plainRequest, excluded }, candidates);
        const leftMs = arrivedMs + patienceMs - clock.monotonicMs();
        if (id === undefined || leftMs < 0) {
            return;
        }
        const tryNext = () => tryOnce(node, arrivedMs, excluded.add(id));
        if (!isHeeded) {
            if (!send(node, id, excluded, "") && excluded.size === 0) {
                tryNext();
            }
            return;
        }
        askPlace(id, leftMs, (isGranted, place) => {
            if (!isGranted || !send(node, id, excluded, place)) {
                tryNext();
            }
        });
    };
    const advanceQueues = () => {
        for (const { id, decision } of [...queues.values()].flatMap((queue) => queue.takeEnded())) {
            const reply = replies.get(id)!;
            replies.delete(id);
            plan(1, () => reply(decision.type === "granted", id));
        }
    };
    const perMs = (load * slots * serverCount) / serviceMs;
    for (let passedMs = 0; passedMs < playedMs; passedMs += 1) {
        clock.advance(1);
        const due = later.get(clock.monotonicMs()) ?? [];
        later.delete(clock.monotonicMs());
        due.forEach((run) => run());
        advanceQueues();
        for (let left = perMs; left > 0; left -= 1) {
            if (random() < Math.min(1, left)) {
                offered += 1;
                tryOnce(nodes[Math.floor(random() * nodeCount)]!, clock.monotonicMs(), new Set());
            }
        }
    }
    const falls = servers.reduce((sum, server) => sum + server.falls, 0);
    return { falls, served: served / offered, used: served / ((slots * serverCount * playedMs) / serviceMs) };
}

describe("servers that fail when they reject too much", () => {
    // Guards against servers that fall over one after the other, since the load of each follows to the next (LIMIT).
    it.each([
        { nodeCount: 3, serverCount: 3, allowed: 3 },
        { nodeCount: 9, serverCount: 3, allowed: 3 },
        { nodeCount: 9, serverCount: 3, allowed: 1 },
        { nodeCount: 7, serverCount: 3, allowed: 1 },
        { nodeCount: 9, serverCount: 3, allowed: 0 },
        { nodeCount: 9, serverCount: 30, allowed: 3 },
        { nodeCount: 80, serverCount: 3, allowed: 5 },
        { nodeCount: 195, serverCount: 3, allowed: 1 },
    ])("stay up: $nodeCount nodes, $serverCount servers, $allowed rejections a second", (deployment) => {
        const seeds = deployment.serverCount > 3 ? [1] : [1, 2, 3];
        for (const seed of seeds) {
            const allowedFalls = 2 + deployment.serverCount / 10;
            const most = playLoad({ ...deployment, load: 0.7, isHeeded: true, seed });
            expect(most.falls).toBeLessThanOrEqual(allowedFalls);
            expect(most.served).toBeGreaterThanOrEqual(0.9);
            const over = playLoad({ ...deployment, load: 1.5, isHeeded: true, seed });
            expect(over.falls).toBeLessThanOrEqual(allowedFalls);
            expect(over.used).toBeGreaterThanOrEqual(0.6);
        }
    });

    it("fall over again and again when nobody heeds it", () => {
        const { falls } = playLoad({
            nodeCount: 9,
            serverCount: 3,
            allowed: 3,
            load: 1.5,
            isHeeded: false,
            seed: 1,
        });
        expect(falls).toBeGreaterThan(2);
    });
});

describe("what is known of a brittle service", () => {
    it("is what the answer to the latest request said", () => {
        const clock = new ManualClock();
        const brittle = new BrittleServices(clock);
        expect(brittle.recordAnswer(service, 2, 10)).toBe(true);
        expect(brittle.recordAnswer(service, undefined, 5)).toBe(false);
        expect(brittle.findAllowed(service)).toBe(2);
        expect(brittle.recordAnswer(service, undefined, 20)).toBe(true);
        expect(brittle.recordAnswer(service, 2, 15)).toBe(false);
        expect(brittle.findAllowed(service)).toBeUndefined();
        brittle.recordAnswer(service, Number.MAX_VALUE, 30);
        expect(brittle.findAllowed(service)).toBe(100_000);
        clock.advance(30_000);
        expect(brittle.findAllowed(service)).toBeUndefined();
    });
});
