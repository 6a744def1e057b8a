/**
 * Real daemons before a platform that ignores fencing numbers: the process in charge is stopped by SIGSTOP
 * while it orders, replaced, and continued. The platform's record is the oracle.
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

/** Changes the wanted state again and again, so that there are orders at each moment. */
async function runChanges(signal: AbortSignal): Promise<void> {
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

/** Waits until the last order was sent by another than the given node. */
async function waitForOther(sender: string): Promise<string> {
    return vi.waitFor(() => {
        const last = listOrders().at(-1)?.sender ?? sender;
        expect(last).not.toBe(sender);
        return last;
    }, waitOptions);
}

it("never lets orders of two holders interleave", { timeout: 240_000 }, async () => {
    const changing = new AbortController();
    const changes = runChanges(changing.signal);
    let holder = await waitForOther("");
    for (let round = 0; round < rounds; round += 1) {
        await clock.wait(1_000 + 1_000 * random.next());
        const frozen = cluster.daemons.get(holder)!;
        frozen.sendSignal("SIGSTOP");
        const successor = await waitForOther(holder);
        const count = listOrders().length;
        frozen.sendSignal("SIGCONT");
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
