import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { ServerDirectory } from "../../backends/serverDirectory.js";
import { ActiveConfiguration } from "../../configuration/activeConfiguration.js";
import { ServiceDispatchRegistry } from "../../dispatch/serviceDispatch.js";
import { DispatchNews, type News } from "../dispatchNews.js";
import { serviceNewsSchema } from "../newsBatch.js";
import type { PeerAddress } from "../peerDirectory.js";

const service = "llm";
const batchMs = 80;

function buildAddress(host: string, dataCentre: string): PeerAddress {
    return { host, port: 1, dataCentre, processorShare: 1 };
}

/** A cluster of nodes whose messages arrive at once; the first node of each data centre is its reader. */
class NewsCluster {
    readonly clock = new ManualClock();
    readonly messages: { readonly from: string; readonly to: string; readonly news: News }[] = [];
    readonly contacts: string[] = [];
    private readonly nodes = new Map<
        string,
        { readonly news: DispatchNews; readonly dispatches: ServiceDispatchRegistry }
    >();

    constructor(
        private readonly dataCentres: readonly (readonly string[])[],
        private readonly isRelayed: boolean,
        private readonly readerOf: (names: readonly string[]) => string | undefined = (names) => names[0],
    ) {
        dataCentres.forEach((names, index) =>
            names.forEach((name) => this.addNode(name, names, `dc-${String(index)}`)),
        );
    }

    private addNode(name: string, neighbours: readonly string[], dataCentre: string): void {
        const logger = new SilentLogger();
        const dispatches = new ServiceDispatchRegistry({
            directory: new ServerDirectory(logger),
            configuration: new ActiveConfiguration(logger),
            clock: this.clock,
            dataCentre,
            readRetrySettings: () => ({ windowMs: 1, share: 0, slack: 0 }),
            news: { readDelayMs: () => 0, random: () => 0 },
        });
        const others = (names: readonly string[]) =>
            names.filter((other) => other !== name).map((other) => buildAddress(other, dataCentre));
        const news = new DispatchNews({
            incarnation: name,
            clock: this.clock,
            dispatches,
            isRelayed: () => this.isRelayed,
            isReader: () => this.readerOf(neighbours) === name,
            findReader: () => {
                const reader = this.readerOf(neighbours);
                return reader === undefined ? undefined : buildAddress(reader, dataCentre);
            },
            listPeers: () => others(this.dataCentres.flat()),
            listNeighbours: () => others(neighbours),
            listOtherReaders: () =>
                this.dataCentres
                    .filter((names) => !names.includes(name))
                    .map((names) => buildAddress(names[0]!, "")),
            send: (message, peers) =>
                peers.forEach(({ host }) => {
                    this.messages.push({ from: name, to: host, news: message });
                    const receiver = this.nodes.get(host)!.news;
                    receiver.recordHeard(name, 0);
                    receiver.receiveNews(message);
                }),
            recordContact: (heard) => this.contacts.push(`${name}<${heard}`),
        });
        this.nodes.set(name, { news, dispatches });
    }

    sendRequest(name: string, serverId: string, ownTokens?: number): string {
        const { news } = this.nodes.get(name)!;
        return news.reportDispatch({
            service,
            serverId,
            tokens: 1_000,
            pauseTargetMs: 500,
            shared: [{ id: "guide", tokens: 100 }],
            ownTokens,
        });
    }

    endRequest(name: string, id: string): void {
        this.nodes.get(name)!.news.reportEnd(service, id);
    }

    /** Counts the requests that a node knows to be in flight on a server, by the load that it would avoid. */
    countInFlight(name: string, serverId: string): number {
        const { placement } = this.nodes.get(name)!.dispatches.ensureService(service);
        return placement.countInFlight(serverId);
    }

    /** Reads the free memory of an engine of 100,000 tokens as a node predicts it. */
    predictFreeTokens(name: string, serverId: string): number | undefined {
        const { placement } = this.nodes.get(name)!.dispatches.ensureService(service);
        placement.updateServers([
            { id: serverId, dataCentre: "", slots: 64, capacityTokens: 100_000, isReclaimable: false },
        ]);
        return placement.predictFreeRoom(serverId)?.tokens;
    }

    countReceived(name: string): number {
        return this.messages.filter(({ to }) => to === name).length;
    }
}

function buildNames(prefix: string, count: number): readonly string[] {
    return Array.from({ length: count }, (...[, index]) => `${prefix}${String(index)}`);
}

/** Lets all planned batches be sent: the news of another data centre takes two. */
async function finishBatches(clock: ManualClock): Promise<void> {
    for (let step = 0; step < 4; step += 1) {
        clock.advance(batchMs);
        await Promise.resolve();
        await Promise.resolve();
    }
}

describe("DispatchNews", () => {
    it("few nodes: tells every node at once", () => {
        const cluster = new NewsCluster([buildNames("a", 4), buildNames("b", 3)], false);
        cluster.sendRequest("a2", "s-1");
        expect(cluster.messages).toHaveLength(6);
    });

    it("herd of many routers: the nodes of all data centres learn of a request that one of them sent", async () => {
        const cluster = new NewsCluster(
            [buildNames("a", 40), buildNames("b", 40), buildNames("c", 40)],
            true,
        );
        cluster.sendRequest("b17", "s-3");
        await finishBatches(cluster.clock);
        const others = [...buildNames("a", 40), ...buildNames("b", 40), ...buildNames("c", 40)].filter(
            (name) => name !== "b17",
        );
        expect(others.filter((name) => cluster.countInFlight(name, "s-3") !== 1)).toEqual([]);
        expect(cluster.countInFlight("b17", "s-3")).toBe(0);
    });

    it("many nodes: what a node receives does not grow with the requests of the others within a batch", async () => {
        const cluster = new NewsCluster([buildNames("a", 40), buildNames("b", 40)], true);
        const ids = buildNames("a", 40).map((name) => [name, cluster.sendRequest(name, "s-1")] as const);
        ids.forEach(([name, id]) => cluster.endRequest(name, id));
        await finishBatches(cluster.clock);
        expect(cluster.countReceived("a9")).toBeLessThanOrEqual(2);
        expect(cluster.countReceived("b9")).toBeLessThanOrEqual(2);
    });

    it("many nodes: passes on which nodes the reader heard", async () => {
        const cluster = new NewsCluster([buildNames("a", 30)], true);
        cluster.sendRequest("a7", "s-1");
        await finishBatches(cluster.clock);
        expect(cluster.contacts).toContain("a20<a7");
    });

    it("silent reader: a node without one tells the nodes that it knows", () => {
        const cluster = new NewsCluster([buildNames("a", 30)], true, () => undefined);
        cluster.sendRequest("a7", "s-1");
        expect(cluster.messages).toHaveLength(29);
    });

    // Guards against engines whose memory each node fills with what it knows alone.
    it("many nodes: all learn of the size of a request", async () => {
        const cluster = new NewsCluster([buildNames("a", 30), buildNames("b", 30)], true);
        cluster.sendRequest("a7", "s-1", 5_000);
        await finishBatches(cluster.clock);
        expect(cluster.predictFreeTokens("a20", "s-1")).toBe(100_000 - 5_100);
        expect(cluster.predictFreeTokens("b20", "s-1")).toBe(100_000 - 5_100);
    });

    it("two builds side by side: one that knows no sizes reads the news, and its news is read", () => {
        const sent: readonly unknown[] = ["x.1", "s-1", 1_000, 500, [["guide", 100]]];
        const old = { service, sent: [sent], started: [], ended: [] };
        expect(serviceNewsSchema.parse(old).sizes).toBeUndefined();
        const oldSchema = serviceNewsSchema.omit({ sizes: true });
        expect(oldSchema.parse({ ...old, sizes: [["x.1", 5_000]] })).toEqual(old);
        const cluster = new NewsCluster([buildNames("a", 2)], false);
        cluster.sendRequest("a0", "s-1");
        expect(cluster.messages[0]!.news.services[0]).not.toHaveProperty("sizes");
        expect(cluster.predictFreeTokens("a1", "s-1")).toBe(100_000 - 1_100);
    });
});
