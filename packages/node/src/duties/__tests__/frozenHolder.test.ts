/**
 * Guards against interleaved orders of two holders of the ordering lease. The platform ignores fencing numbers.
 * The process that holds the lease is suspended by SIGSTOP while it orders, and resumed after another daemon has
 * taken the lease over. The orders that the platform received are checked.
 */
import { SeededRandom } from "@pimentocleat/standins";
import { SystemClock } from "@pimentocleat/types";
import { afterAll, beforeAll, expect, it, vi } from "vitest";
import { DaemonCluster } from "./daemonCluster.js";

const rounds = 2;
const waitOptions = { timeout: 60_000, interval: 50 };
const clock = new SystemClock();
const random = new SeededRandom(20_261_207);
let cluster: DaemonCluster;

beforeAll(async () => {
    cluster = await DaemonCluster.create();
    for (const name of ["a", "b", "c"]) {
        await cluster.startDaemon(name);
    }
});

afterAll(async () => {
    expect(await cluster.close()).toEqual([]);
});

/** Changes the desired state continuously, so that orders are sent at any time. */
async function runConfigurationChanges(signal: AbortSignal): Promise<void> {
    for (let minimumServers = 1; !signal.aborted; minimumServers += 1) {
        const content = [
            "pools:",
            "  - name: jobs",
            "    kind: plain",
            `    ordering: {minimumServers: ${minimumServers}, maximumServers: 1000}`,
            "    servers:",
            "      - {name: one, address: 127.0.0.1:9, dataCentre: catania}",
            "      - {name: two, address: 127.0.0.1:10, dataCentre: catania, reclaimable: true}",
        ].join("\n");
        expect(await cluster.applyConfiguration(content)).toBe("applied");
        await clock.wait(250, signal);
    }
}

function listOrders() {
    return cluster.platform.readRecord().orders.map((received) => received.order);
}

/** Waits until the latest order comes from another node than the given one; returns that node. */
async function waitForOtherSender(sender: string): Promise<string> {
    return vi.waitFor(() => {
        const last = listOrders().at(-1)?.sender ?? sender;
        expect(last).not.toBe(sender);
        return last;
    }, waitOptions);
}

it("never lets orders of two holders interleave", { timeout: 240_000 }, async () => {
    const changing = new AbortController();
    const changes = runConfigurationChanges(changing.signal);
    let holder = await waitForOtherSender("");
    for (let round = 0; round < rounds; round += 1) {
        await clock.wait(1_000 + 1_000 * random.next());
        const suspended = cluster.daemons.get(holder)!;
        suspended.sendSignal("SIGSTOP");
        const successor = await waitForOtherSender(holder);
        const count = listOrders().length;
        suspended.sendSignal("SIGCONT");
        await vi.waitFor(() => expect(listOrders().length).toBeGreaterThan(count + 10), waitOptions);
        holder = successor;
    }
    changing.abort();
    await changes;
    const orders = listOrders();
    const numbers = orders.map((order) => order.fencingNumber);
    expect(numbers).toEqual([...numbers].sort((left, right) => left - right));
    const senders = new Set(orders.map((order) => `${order.fencingNumber} ${order.sender}`));
    expect(senders.size).toBe(new Set(numbers).size);
    expect(senders.size).toBe(rounds + 1);
});
