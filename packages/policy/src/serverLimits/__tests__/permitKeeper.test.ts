import { ManualClock } from "@pimentocleat/types";
import { beforeEach, describe, expect, it } from "vitest";
import { PermitKeeper } from "../permitKeeper.js";
import { PermitQueue } from "../permitQueue.js";

describe("permits of one server", () => {
    let clock: ManualClock;
    let queue: PermitQueue;
    let sent: number;

    beforeEach(() => {
        clock = new ManualClock();
        queue = new PermitQueue(clock, 2);
        sent = 0;
    });

    const offer = (priority: number, patienceMs: number) => {
        sent += 1;
        return queue.offer({ id: String(sent), priority, patienceMs });
    };

    // Guards against an excess by what was already in flight when the limit became known.
    it("grants the first one after the time that one takes", () => {
        expect(offer(0, 0)).toMatchObject({ type: "refused", nextMs: 500 });
        clock.advance(500);
        expect(offer(0, 0)).toEqual({ type: "granted" });
        expect(offer(0, 0)).toMatchObject({ type: "refused", nextMs: 500 });
    });

    // Guards against less urgent requests that are sent while urgent ones wait.
    it("grants the more urgent ones first, and refuses at once what would wait too long", () => {
        expect(offer(2, 1_200)).toEqual({ type: "waiting" });
        expect(offer(0, 1_200)).toEqual({ type: "waiting" });
        expect(offer(1, 700)).toMatchObject({ type: "refused" });
        expect(queue.computeNextEndMs()).toBe(500);
        clock.advance(500);
        expect(queue.takeEnded()).toEqual([{ id: "2", decision: { type: "granted" } }]);
        clock.advance(500);
        expect(queue.takeEnded()).toEqual([{ id: "1", decision: { type: "granted" } }]);
    });

    it("refuses a waiting request whose turn has gone to more urgent ones", () => {
        offer(2, 600);
        offer(0, 600);
        clock.advance(600);
        expect(queue.takeEnded()).toEqual([
            { id: "2", decision: { type: "granted" } },
            { id: "1", decision: expect.objectContaining({ type: "refused" }) as unknown },
        ]);
    });

    // Guards against refused callers that all come back at the same moment.
    it("has refused callers come back one after the other", () => {
        const times = [0, 0, 0, 0].map((priority) => {
            const decision = offer(priority, 0);
            return decision.type === "refused" ? decision.returnMs : 0;
        });
        expect(times).toEqual([500, 500, 1_000, 1_500]);
    });

    it("follows a limit that rises and falls", () => {
        queue.updateLimit(20);
        clock.advance(1_000);
        const countGranted = () =>
            Array.from({ length: 30 }, () => offer(0, 0)).filter(({ type }) => type === "granted").length;
        expect(countGranted()).toBe(5);
        queue.updateLimit(1);
        clock.advance(3_000);
        expect(countGranted()).toBe(1);
    });
});

describe("the keepers of a server's permits", () => {
    const server = { id: "s1", perSecond: 10, keepers: ["a", "b", "c"] };
    const request = { id: "1", priority: 0, patienceMs: 0 };
    let clock: ManualClock;

    beforeEach(() => {
        clock = new ManualClock();
    });

    // Guards against two nodes that grant the permits of one server.
    it("grants none while a preferred keeper is heard, and takes over when it is silent", () => {
        const second = new PermitKeeper("b", clock);
        second.ensureServer(server);
        for (let round = 0; round < 10; round += 1) {
            clock.advance(500);
            second.succession.recordHeard("a");
            expect(second.offer(server, request).type).toBe("refused");
        }
        clock.advance(2_500);
        expect(second.offer(server, request)).toEqual({ type: "granted" });
        second.succession.recordHeard("a");
        clock.advance(1_000);
        expect(second.offer(server, request).type).toBe("refused");
    });

    it("grants none at a node that is no keeper", () => {
        const other = new PermitKeeper("z", clock);
        other.ensureServer(server);
        clock.advance(10_000);
        expect(other.offer(server, request).type).toBe("refused");
    });
});
