import { PlatformError, PlatformErrorKind, type HostList } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { afterEach, describe, expect, it, vi } from "vitest";
import type { PeerHandlers } from "../peerHandlers.js";
import { defaultPeerNetworkSettings, PeerNetwork } from "../peerNetwork.js";

const unavailableHostList: HostList = {
    listHosts: () =>
        Promise.reject(new PlatformError(PlatformErrorKind.Unavailable, "the host list is unavailable")),
};

class FakeHandlers implements PeerHandlers {
    revision = 0;
    readonly withdrawals = new Set<string>();
    readonly records = new Map<string, string>();
    readonly higherRevisions: number[] = [];
    readonly removedMembers: string[] = [];
    usageCopies = 0;

    readConfiguration(): ReturnType<PeerHandlers["readConfiguration"]> {
        return this.revision === 0
            ? undefined
            : { revision: this.revision, content: new TextEncoder().encode(`{"revision":${this.revision}}`) };
    }

    handleHigherRevision(revision: number): void {
        this.higherRevisions.push(revision);
    }

    addWithdrawals(received: readonly string[]): readonly string[] {
        const added = received.filter((withdrawal) => !this.withdrawals.has(withdrawal));
        added.forEach((withdrawal) => this.withdrawals.add(withdrawal));
        return added;
    }

    listWithdrawals(): readonly string[] {
        return [...this.withdrawals];
    }

    storeUsageCopy(): void {
        this.usageCopies += 1;
    }

    handleRecord(owner: string, key: string, payload: Uint8Array): void {
        this.records.set(`${owner}/${key}`, new TextDecoder().decode(payload));
    }

    handleMemberRemoved(name: string): void {
        this.removedMembers.push(name);
    }
}

interface TestNode {
    readonly network: PeerNetwork;
    readonly handlers: FakeHandlers;
    readonly address: string;
}

const clock = new ManualClock(Date.now());
const openNetworks: PeerNetwork[] = [];

async function startNode(
    name: string,
    seedAddresses: readonly string[],
    secret = "shared",
): Promise<TestNode> {
    const handlers = new FakeHandlers();
    const network = new PeerNetwork({
        name,
        dataCentre: "a",
        listenAddress: "127.0.0.1:0",
        secret,
        clock,
        random: () => 0.5,
        hostList: unavailableHostList,
        seedAddresses,
        handlers,
        logger: new SilentLogger(),
    });
    const address = await network.open();
    openNetworks.push(network);
    return { network, handlers, address };
}

async function startNodes(count: number): Promise<readonly TestNode[]> {
    const first = await startNode("node-0", []);
    const indices = [...Array(count - 1).keys()];
    const others = indices.map((index) => startNode(`node-${index + 1}`, [first.address]));
    const nodes = [first, ...(await Promise.all(others))];
    await advanceUntil(() => nodes.every((node) => node.network.listMembers().length === count - 1));
    return nodes;
}

/** Advances the clock by one probe period at a time until the condition holds. */
async function advanceUntil(condition: () => boolean): Promise<void> {
    await vi.waitFor(
        () => {
            clock.advance(defaultPeerNetworkSettings.probePeriodMs);
            expect(condition()).toBe(true);
        },
        { timeout: 30_000, interval: 5 },
    );
}

afterEach(async () => {
    await Promise.all(openNetworks.splice(0).map((network) => network.close()));
});

describe("PeerNetwork", () => {
    it("lets nodes that know one seed discover each other while the host list is unavailable", async () => {
        const nodes = await startNodes(5);
        expect(nodes[4]?.network.listMembers().map((member) => member.name)).toEqual([
            "node-0",
            "node-1",
            "node-2",
            "node-3",
        ]);
    });

    it("spreads records and reports a higher revision", async () => {
        const nodes = await startNodes(4);
        const [first] = nodes as [TestNode];
        first.handlers.revision = 7;
        first.network.setRecord("pool:copywriting", new TextEncoder().encode("summary"));
        const others = nodes.slice(1);
        await advanceUntil(() =>
            others.every((node) => node.handlers.records.has("node-0/pool:copywriting")),
        );
        await advanceUntil(() => others.every((node) => node.handlers.higherRevisions.includes(7)));
        const newer = await others[0]?.network.calls.readConfiguration(3);
        expect(newer?.revision).toBe(7);
        expect(await others[0]?.network.calls.readConfiguration(7)).toBeUndefined();
    });

    it("sends records immediately to peers with the same secret and to no others", async () => {
        const nodes = await startNodes(3);
        const [first, ...others] = nodes as [TestNode, ...TestNode[]];
        const stranger = await startNode("stranger", [first.address], "wrong");
        stranger.network.sendRecords(new Map([["pool:copywriting", new TextEncoder().encode("forged")]]));
        first.network.sendRecords(new Map([["pool:copywriting", new TextEncoder().encode("summary")]]));
        await vi.waitFor(() =>
            expect(others.every((node) => node.handlers.records.has("node-0/pool:copywriting"))).toBe(true),
        );
        expect([...first.handlers.records.values()]).not.toContain("forged");
    });

    it("spreads a withdrawal to every node without waiting for a probe", async () => {
        const nodes = await startNodes(4);
        await nodes[1]?.network.calls.spreadWithdrawals(["leaked-key"]);
        const others = nodes.filter((node) => node !== nodes[1]);
        await vi.waitFor(() =>
            expect(others.every((node) => node.handlers.withdrawals.has("leaked-key"))).toBe(true),
        );
    });

    it("no longer counts a stopped node as alive or suspect, and keeps the others", async () => {
        const nodes = await startNodes(4);
        const stopped = nodes[3] as TestNode;
        openNetworks.splice(openNetworks.indexOf(stopped.network), 1);
        await stopped.network.close();
        const others = nodes.slice(0, 3);
        await advanceUntil(() =>
            others.every(
                (node) =>
                    !node.network
                        .listMembers()
                        .some((member) => member.name === "node-3" && member.state < 3),
            ),
        );
        expect(others.every((node) => node.network.listMembers().length >= 2)).toBe(true);
    });

    it("refuses a peer with another secret in both directions", async () => {
        const first = await startNode("node-0", []);
        const stranger = await startNode("stranger", [first.address], "wrong");
        await stranger.network.calls.spreadWithdrawals(["some-key"]);
        expect(first.handlers.withdrawals.size).toBe(0);
        expect(first.network.listMembers()).toEqual([]);
        expect(stranger.network.listMembers()).toEqual([]);
    });

    it("copies usage counters to one peer", async () => {
        const nodes = await startNodes(3);
        const copy = { owner: "node-0", incarnation: 1, windowStartMs: 0, counters: new Uint8Array([1]) };
        expect(await nodes[0]?.network.calls.copyUsage(copy)).toBe(true);
        expect(nodes.reduce((sum, node) => sum + node.handlers.usageCopies, 0)).toBe(1);
    });
});
