import { createRandom, HashRing, VersionHistory } from "@pimentocleat/policy";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { OriginDirectory } from "../originDirectory.js";
import type { OriginMessage } from "../originMessages.js";

const spanMs = 16_000;
const buildOrigin = (softwareVersion: string) => ({ service: "s", softwareVersion });

/** Nodes that exchange messages without delay; messages to and from nodes in `dead` are lost. */
class Deployment {
    readonly clock = new ManualClock();
    readonly dead = new Set<string>();
    readonly received = new Map<string, number>();
    readonly histories = new Map<string, VersionHistory>();
    /** What a node sees that reads the registrations of the servers; undefined while it cannot read them. */
    registered: readonly string[] | undefined = [];
    readonly names: readonly string[];
    private readonly nodes = new Map<string, OriginDirectory>();
    private readonly ring: HashRing;

    constructor(count: number) {
        this.names = [...Array(count).keys()].map((index) => `node-${String(index)}`);
        this.ring = new HashRing(this.names);
        this.names.forEach((name) => this.startNode(name));
    }

    /** Starts a node; a node that restarts has lost its state. */
    startNode(name: string): void {
        const history = new VersionHistory(this.clock);
        history.recordServers("s", ["v1", "v2"]);
        this.histories.set(name, history);
        const node = new OriginDirectory({
            name,
            clock: this.clock,
            history,
            readLongestStreamMs: () => spanMs,
            listKeepers: (key, limit) => this.ring.listSuccessors(key, limit),
            send: (to, message) => this.deliver(name, to, message),
            readServers: () => this.readServers(history),
        });
        this.nodes.set(name, node);
    }

    readNode(index: number): OriginDirectory {
        return this.nodes.get(this.names[index]!)!;
    }

    /** Advances the clock until the answer is there. */
    async resolve(index: number, requestId: string | undefined): Promise<string | undefined> {
        const answer = this.readNode(index).resolveOrigin(["s"], requestId);
        await Promise.resolve();
        this.clock.advance(1_000);
        return (await answer)?.softwareVersion;
    }

    listKeepers(requestId: string): readonly string[] {
        return this.ring.listSuccessors(requestId, 3);
    }

    private readServers(history: VersionHistory): Promise<boolean> {
        if (this.registered === undefined) {
            return Promise.resolve(false);
        }
        if (this.registered.length > 0) {
            history.recordServers("s", this.registered);
        }
        return Promise.resolve(true);
    }

    private deliver(from: string, to: string, message: OriginMessage): boolean {
        if (!this.dead.has(to) && !this.dead.has(from)) {
            this.received.set(to, (this.received.get(to) ?? 0) + 1);
            this.nodes.get(to)!.receiveMessage(message, from);
        }
        return true;
    }
}

describe("OriginDirectory", () => {
    // Guards against a node that continues the stream of another node at any version.
    it.each([9, 195])("finds at any of %i nodes where a stream began", async (count) => {
        const deployment = new Deployment(count);
        const random = createRandom(7);
        for (let index = 0; index < 40; index += 1) {
            const id = `request-${String(index)}`;
            const [first, second] = [random(), random()].map((draw) => Math.floor(draw * count));
            deployment.readNode(first!).reportOrigin(id, buildOrigin(index % 2 === 0 ? "v1" : "v2"));
            expect(await deployment.resolve(second!, id)).toBe(index % 2 === 0 ? "v1" : "v2");
        }
    });

    it("finds it after the node that began the stream has ended and another node has restarted", async () => {
        const deployment = new Deployment(9);
        deployment.readNode(0).reportOrigin("a", buildOrigin("v2"));
        deployment.dead.add("node-0");
        const keeper = deployment.listKeepers("a").find((name) => name !== "node-0")!;
        deployment.startNode(keeper);
        for (let index = 1; index < 9; index += 1) {
            expect(await deployment.resolve(index, "a")).toBe("v2");
        }
    });

    it("keeps the first record of a stream", async () => {
        const deployment = new Deployment(9);
        deployment.readNode(0).reportOrigin("a", buildOrigin("v1"));
        deployment.readNode(1).reportOrigin("a", buildOrigin("v2"));
        expect(await deployment.resolve(5, "a")).toBe("v1");
    });

    // Guards against resuming a stream of unknown origin, and against waiting for silent nodes without end.
    it.each([
        { name: "no node was told", dead: [] },
        { name: "all other nodes are silent", dead: [1, 2, 3, 4, 5, 6, 7, 8] },
    ])("knows no version when $name", async ({ dead }) => {
        const deployment = new Deployment(9);
        dead.forEach((index) => deployment.dead.add(`node-${String(index)}`));
        expect(await deployment.resolve(0, "unknown")).toBeUndefined();
        expect(await deployment.resolve(0, undefined)).toBeUndefined();
    });

    it("uses the only recent version, which a node that has run for longer may know", async () => {
        const deployment = new Deployment(9);
        deployment.histories.forEach((history) => history.recordServers("s", ["v2"]));
        deployment.clock.advance(spanMs + 1);
        deployment.startNode("node-0");
        deployment.histories.get("node-0")!.recordServers("s", ["v2"]);
        expect(await deployment.resolve(1, undefined)).toBe("v2");
        expect(await deployment.resolve(0, "unknown")).toBe("v2");
    });

    describe("at a node that is out of step while a new version joins", () => {
        const createOutOfStep = (servedMs: number): Deployment => {
            const deployment = new Deployment(9);
            deployment.histories.forEach((history) => history.recordServers("s", ["v1"]));
            deployment.clock.advance(servedMs);
            deployment.registered = ["v1", "v2"];
            deployment.names
                .slice(1)
                .forEach((name) => deployment.histories.get(name)!.recordServers("s", ["v1", "v2"]));
            return deployment;
        };
        const cutOff = (deployment: Deployment): void => {
            deployment.names.slice(1).forEach((name) => deployment.dead.add(name));
        };

        // Guards against a stream of a new version that goes on at an old one, at a node that stood still or hears no other
        // node (ORDER).
        it.each([spanMs + 1, 3_600_000])(
            "knows no version when nobody replies after %i ms",
            async (servedMs) => {
                const deployment = createOutOfStep(servedMs);
                cutOff(deployment);
                expect(await deployment.resolve(0, "unknown")).toBeUndefined();
                deployment.registered = undefined;
                expect(await deployment.resolve(0, "unknown")).toBeUndefined();
            },
        );

        // Guards against its old registrations, which count although the other nodes know better (ORDER).
        it("knows no version when the other nodes have seen several", async () => {
            expect(await createOutOfStep(spanMs + 1).resolve(0, "unknown")).toBeUndefined();
        });

        // Guards against streams that are all refused while the nodes do not hear each other (LOST).
        it("knows the only version when nobody replies but the registrations can be read", async () => {
            const deployment = createOutOfStep(spanMs + 1);
            cutOff(deployment);
            deployment.registered = ["v1"];
            expect(await deployment.resolve(0, "unknown")).toBe("v1");
        });
    });

    it("costs each node a constant number of messages a stream, whatever the number of nodes", () => {
        const deployment = new Deployment(195);
        for (let index = 0; index < 1_950; index += 1) {
            deployment.readNode(index % 195).reportOrigin(`request-${String(index)}`, buildOrigin("v1"));
        }
        const sum = [...deployment.received.values()].reduce((total, count) => total + count, 0);
        expect(sum).toBeLessThanOrEqual(3 * 1_950);
    });

    // Guards against the version of one service being taken for that of another one.
    it("names no origin where the stream may have begun at another service", async () => {
        const deployment = new Deployment(9);
        deployment.histories.forEach((history) => history.recordServers("s", ["v2"]));
        deployment.clock.advance(spanMs + 1);
        expect(await deployment.resolve(1, "unknown")).toBe("v2");
        const answer = deployment.readNode(1).resolveOrigin(["s", "other"], "unknown");
        await Promise.resolve();
        deployment.clock.advance(1_000);
        expect(await answer).toBeUndefined();
    });

    // Guards against a node that has just started, or whose configuration has just shortened the timeouts, and takes the
    // version that remains for the one that began the stream, although other nodes know better.
    it("prefers what other nodes have recorded to what its own short history tells", async () => {
        const deployment = new Deployment(9);
        deployment.readNode(3).reportOrigin("a", buildOrigin("v1"));
        deployment.histories.forEach((history) => history.recordServers("s", ["v2"]));
        deployment.clock.advance(spanMs + 1);
        for (let index = 0; index < 9; index += 1) {
            expect(await deployment.resolve(index, "a")).toBe("v1");
        }
    });

    // Guards against a version that is chosen by whichever node answers first.
    it("names no version when the histories of two nodes differ", async () => {
        const deployment = new Deployment(9);
        deployment.names.forEach((name, index) =>
            deployment.histories.get(name)!.recordServers("s", [index % 2 === 0 ? "v1" : "v2"]),
        );
        deployment.clock.advance(spanMs + 1);
        expect(await deployment.resolve(0, "unknown")).toBeUndefined();
    });

    // Guards against a caller that resumes so often that the stream outlasts the record of its origin.
    it("keeps the origin of a stream that callers go on resuming", async () => {
        const deployment = new Deployment(9);
        deployment.readNode(0).reportOrigin("a", buildOrigin("v1"));
        for (let index = 1; index < 9; index += 1) {
            deployment.clock.advance(30_000);
            expect(await deployment.resolve(index, "a")).toBe("v1");
            deployment.histories.forEach((history) => history.recordServers("s", ["v2"]));
        }
    });
});
