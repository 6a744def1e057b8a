/**
 * Real daemons before a platform that ignores fencing numbers: the process in charge is stopped by SIGSTOP
 * while it orders, replaced, and continued. The platform's record is the oracle.
 */
import { fileURLToPath } from "node:url";
import { HttpTableService } from "@pimentocleat/platform";
import {
    launchFile,
    SeededRandom,
    startPlatform,
    type LaunchedProgram,
    type RunningPlatform,
} from "@pimentocleat/standins";
import { computeContentDigest, TableConfigurationStore } from "@pimentocleat/state";
import { SystemClock } from "@pimentocleat/types";
import { afterAll, beforeAll, expect, it, vi } from "vitest";

const daemonPath = fileURLToPath(new URL("../../../../cli/bin/pimentocleatd.js", import.meta.url));
const secret = "a-secret-for-this-test-alone";
const rounds = 2;
const waitOptions = { timeout: 60_000, interval: 50 };
const clock = new SystemClock();
const random = new SeededRandom(20_261_207);

let platform: RunningPlatform;
let table: HttpTableService;
const daemons = new Map<string, LaunchedProgram>();

beforeAll(async () => {
    platform = await startPlatform({ checksFencing: false });
    table = new HttpTableService({ address: platform.address });
    const seeds: string[] = [];
    for (const name of ["a", "b", "c"]) {
        const daemon = await launchFile(daemonPath, [], {
            environment: {
                ...process.env,
                PIMENTOCLEAT_NAME: name,
                PIMENTOCLEAT_DATA_CENTRE: "catania",
                PIMENTOCLEAT_PLATFORM_ADDRESS: platform.address,
                PIMENTOCLEAT_PEER_SECRET: secret,
                PIMENTOCLEAT_OPERATOR_CREDENTIAL: secret,
                PIMENTOCLEAT_CALLER_ADDRESS: "127.0.0.1:0",
                PIMENTOCLEAT_OPERATOR_ADDRESS: "127.0.0.1:0",
                PIMENTOCLEAT_PEER_ADDRESS: "127.0.0.1:0",
                PIMENTOCLEAT_PEER_SEEDS: seeds.join(","),
                PIMENTOCLEAT_DRAIN_DELAY_MS: "0",
            },
        });
        daemons.set(name, daemon);
        seeds.push(/^peer (\S+)$/m.exec(daemon.readStdout())?.[1] ?? "");
    }
});

afterAll(async () => {
    daemons.forEach((daemon) => daemon.sendSignal("SIGCONT"));
    const exits = await Promise.all([...daemons.values()].map((daemon) => daemon.stop()));
    await table.close();
    await platform.close();
    expect(exits.map((exit) => exit.code)).toEqual([0, 0, 0]);
});

/** Changes the wanted state again and again, so that there are orders at each moment. */
async function runChanges(signal: AbortSignal): Promise<void> {
    const store = new TableConfigurationStore({ tableService: table, clock, random: () => random.next() });
    let baseDigest: string | undefined;
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
        const changes = [{ name: "pools.yaml", content, baseDigest }];
        baseDigest = computeContentDigest(content);
        expect((await store.applyChanges({ author: "test", changes })).type).toBe("applied");
        await clock.wait(250, signal);
    }
}

function listOrders() {
    return platform.readRecord().orders.map((received) => received.order);
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
        const frozen = daemons.get(holder)!;
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
