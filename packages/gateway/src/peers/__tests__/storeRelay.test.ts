import { computePreferenceRank } from "@pimentocleat/policy";
import { SilentLogger, TextMetrics } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import type { ColdRow } from "../../backends/coldDirectory.js";
import type { RegisteredServer } from "../../backends/backendServer.js";
import { ServerDirectory } from "../../backends/serverDirectory.js";
import { ActiveConfiguration } from "../../configuration/activeConfiguration.js";
import { Evacuations } from "../../configuration/evacuations.js";
import { RelayTiming } from "../relayTiming.js";
import { StoreRelay, type StoreUpdate } from "../storeRelay.js";

function buildServer(id: string, version: number, change: Partial<RegisteredServer> = {}): RegisteredServer {
    return {
        id,
        version,
        service: "s",
        address: "127.0.0.1:1",
        dataCentre: "a",
        slots: 1,
        state: "ready",
        bornMs: 1,
        isReclaimable: false,
        ...change,
    };
}

const buildConfiguration = (version: number) => ({
    version,
    routes: [],
    services: [],
    customers: undefined,
    bounds: { maximumBodyBytes: 1, idleTimeoutMs: 1 },
});

/** One node with its relay, its data and the number of requested reads of the store. */
class RelayNode {
    readonly directory = new ServerDirectory(new SilentLogger());
    readonly configuration = new ActiveConfiguration(new SilentLogger());
    readonly evacuations = new Evacuations({
        isEnabled: true,
        logger: new SilentLogger(),
        metrics: new TextMetrics(),
    });
    coldRows: readonly ColdRow[] | undefined;
    readonly sent: StoreUpdate[] = [];
    readonly reads = { configuration: 0, servers: 0 };
    neighbours: readonly string[] = [];
    contactMs = 0;
    rank = 0;
    version = 1;
    readonly relay: StoreRelay;

    constructor(name: string, clock: ManualClock) {
        this.relay = new StoreRelay({
            name,
            clock,
            directory: this.directory,
            configuration: this.configuration,
            evacuations: this.evacuations,
            cold: {
                addColdListener: () => undefined,
                listColdRows: () => this.coldRows,
                mergeColdRows: (rows) => {
                    this.coldRows = rows;
                },
            },
            computeLiveRank: () => computePreferenceRank("reading", name, this.neighbours),
            onOutdated: () => undefined,
            computeRank: () => this.rank,
            timing: new RelayTiming({ configurationApplyMs: 2_000, leavingNoticeMs: 2_000 }),
            sendUpdate: (update) => this.sent.push(update),
        });
        const buildFollower = (table: keyof RelayNode["reads"]) => ({
            readLastContactMs: () => this.contactMs,
            readVersion: () => this.version,
            requestRead: () => {
                this.reads[table] += 1;
            },
        });
        this.relay.setFollowers(buildFollower("configuration"), buildFollower("servers"));
    }
}

function buildPair() {
    const clock = new ManualClock();
    const names = ["node-1", "node-2"];
    const nodes = names.map((name) => new RelayNode(name, clock));
    nodes.forEach((node, index) => {
        node.neighbours = names.filter((...[, other]) => other !== index);
        node.directory.setServers([buildServer("x", 1)], 1);
    });
    const [reader, neighbour] = nodes[0]!.sent.length > 0 ? [nodes[0]!, nodes[1]!] : [nodes[1]!, nodes[0]!];
    return { clock, reader, neighbour };
}

describe("StoreRelay", () => {
    it("lets exactly one neighbour read the store", () => {
        const { reader, neighbour } = buildPair();
        expect(reader.sent.length).toBeGreaterThan(0);
        expect(neighbour.sent).toEqual([]);
        expect(reader.relay.isRelayActive()).toBe(false);
    });

    it("counts the relay as active only while the update is recent", () => {
        const { clock, reader, neighbour } = buildPair();
        neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
        expect(neighbour.relay.isRelayActive()).toBe(true);
        clock.advance(1_250);
        expect(neighbour.relay.isRelayActive()).toBe(false);
    });

    it("does not count the relay as active when the data was too old when it was sent", () => {
        const { clock, reader, neighbour } = buildPair();
        clock.advance(1_251);
        reader.directory.updateServers([buildServer("y", 2)], []);
        expect(reader.sent.at(-1)!.ageMs).toBe(1_251);
        neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
        expect(neighbour.relay.isRelayActive()).toBe(false);
    });

    it("announces a leaving server at once and repeats it", () => {
        const { clock, reader, neighbour } = buildPair();
        reader.directory.updateServers([buildServer("x", 2, { state: "leaving" })], []);
        reader.contactMs = clock.monotonicMs();
        const update = reader.sent.at(-1)!;
        neighbour.relay.receiveUpdate(update, "n0");
        expect(neighbour.directory.listReadyServers("s")).toEqual([]);
        expect(neighbour.reads.servers).toBe(0);
        clock.advance(300);
        reader.directory.updateServers([buildServer("z", 3)], []);
        expect(reader.sent.at(-1)!.changed.map(({ id }) => id)).toContain("x");
    });

    it("does not restore a server with an older update", () => {
        const { neighbour } = buildPair();
        const update = { type: "store" as const, ageMs: 0, serversVersion: 1, digest: "", removed: [] };
        neighbour.relay.receiveUpdate(
            { ...update, changed: [buildServer("x", 5, { state: "leaving" })] },
            "n0",
        );
        neighbour.relay.receiveUpdate({ ...update, changed: [buildServer("x", 4)] }, "n0");
        expect(neighbour.directory.listReadyServers("s")).toEqual([]);
        neighbour.relay.receiveUpdate({ ...update, changed: [], removed: [{ id: "x", version: 6 }] }, "n0");
        neighbour.relay.receiveUpdate({ ...update, changed: [buildServer("x", 5)] }, "n0");
        expect(neighbour.directory.findServer("x")).toBeUndefined();
        neighbour.relay.receiveUpdate({ ...update, changed: [buildServer("x", 7)] }, "n0");
        expect(neighbour.directory.listReadyServers("s").map(({ id }) => id)).toEqual(["x"]);
    });

    it("reads the store after a lost message", () => {
        const { reader, neighbour } = buildPair();
        reader.directory.updateServers([buildServer("y", 2)], []);
        reader.version = 2;
        reader.directory.updateServers([buildServer("z", 2)], []);
        neighbour.relay.receiveUpdate({ ...reader.sent.at(-1)!, changed: [] }, "n0");
        expect(neighbour.reads.servers).toBe(1);
    });

    it("does not read the store again when it has read a newer version than the reader", () => {
        const { reader, neighbour } = buildPair();
        neighbour.version = 5;
        neighbour.directory.updateServers([buildServer("y", 5)], []);
        neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
        expect(neighbour.reads.servers).toBe(0);
    });

    it("store turning the reader away: the reader follows its deputy and is none until it reads again", () => {
        const { clock, reader, neighbour } = buildPair();
        clock.advance(1_500);
        const update = { ...reader.sent.at(-1)!, ageMs: 10 };
        reader.relay.receiveUpdate(update, "deputy");
        expect(reader.relay.isReader()).toBe(false);
        expect(reader.relay.isRelayActive()).toBe(true);
        expect(reader.relay.findReader()).toBe("deputy");
        reader.contactMs = clock.monotonicMs();
        expect(reader.relay.isReader()).toBe(true);
        expect(neighbour.relay.findReader()).toBeUndefined();
    });

    it("store turning the reader away: neighbours keep to the deputy, whose data is newer", () => {
        const { clock, reader, neighbour } = buildPair();
        clock.advance(1_500);
        const update = reader.sent.at(-1)!;
        neighbour.relay.receiveUpdate({ ...update, ageMs: 10 }, "deputy");
        neighbour.relay.receiveUpdate({ ...update, ageMs: 1_500 }, "stale");
        expect(neighbour.relay.findReader()).toBe("deputy");
    });

    it("silent reader: the first deputy reads the store before the others and sends them updates", () => {
        const { clock, reader, neighbour } = buildPair();
        neighbour.rank = 1;
        neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
        neighbour.contactMs = 1_300;
        clock.advance(1_300);
        expect(neighbour.relay.isRelayActive()).toBe(false);
        neighbour.directory.updateServers([buildServer("y", 2)], []);
        expect(neighbour.sent).toHaveLength(1);
        expect(neighbour.relay.findReader()).toBe("node-2");
    });

    it("reads the configuration when the reader has a newer one", () => {
        const { reader, neighbour } = buildPair();
        reader.configuration.applyConfiguration(buildConfiguration(3));
        neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
        expect(neighbour.reads.configuration).toBe(1);
        neighbour.configuration.applyConfiguration(buildConfiguration(3));
        neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
        expect(neighbour.reads.configuration).toBe(1);
    });

    it("does not forward changes that it received from another reader", () => {
        const { reader } = buildPair();
        const before = reader.sent.length;
        const changed = [buildServer("w", 9)];
        reader.relay.receiveUpdate(
            { type: "store", ageMs: 0, serversVersion: 1, digest: "", changed, removed: [] },
            "n0",
        );
        expect(reader.sent).toHaveLength(before);
    });

    // Guards against nodes that do not read the store and take a server for warm that says that it is cold.
    it("relays how long servers stay cold, also those whose other fields have not changed", () => {
        const { reader, neighbour } = buildPair();
        expect(reader.sent.at(-1)).not.toHaveProperty("cold");
        reader.coldRows = [{ id: "x", remainingMs: 900 }];
        reader.directory.updateServers([buildServer("y", 2)], []);
        neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
        expect(neighbour.coldRows).toEqual(reader.coldRows);
    });

    describe("evacuations", () => {
        const evacuated = { dataCentre: "b", version: 5, isEvacuated: true };

        // Guards against a neighbour that lost the message of a change and never learns of it.
        it("are announced at once and told again in every update, and so is their end", () => {
            const { reader, neighbour } = buildPair();
            const before = reader.sent.length;
            reader.evacuations.mergeStates([evacuated]);
            reader.evacuations.setEvacuations([evacuated], 5);
            expect(reader.sent.length).toBe(before + 1);
            reader.directory.updateServers([buildServer("y", 6)], []);
            neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
            expect(neighbour.evacuations.isOpen("b")).toBe(false);
            expect(neighbour.evacuations.isOpen("a")).toBe(true);
            reader.evacuations.mergeStates([{ ...evacuated, version: 8, isEvacuated: false }]);
            neighbour.relay.receiveUpdate(reader.sent.at(-1)!, "n0");
            expect(neighbour.evacuations.isOpen("b")).toBe(true);
        });

        // Guards against an update that was sent before the end of an evacuation, or by an earlier release, and undoes it.
        it("are not changed by an older update or by one without them", () => {
            const { reader, neighbour } = buildPair();
            const { evacuations, ...update } = { evacuations: [], ...reader.sent.at(-1)! };
            neighbour.relay.receiveUpdate({ ...update }, "old build");
            expect(evacuations).toEqual([]);
            expect(neighbour.evacuations.isKnown()).toBe(false);
            neighbour.relay.receiveUpdate({ ...update, evacuations: [{ ...evacuated, version: 9 }] }, "n0");
            neighbour.relay.receiveUpdate({ ...update, evacuations: [] }, "n0");
            neighbour.relay.receiveUpdate(
                { ...update, evacuations: [{ ...evacuated, version: 7, isEvacuated: false }] },
                "n0",
            );
            expect(neighbour.evacuations.isOpen("b")).toBe(false);
        });
    });
});
