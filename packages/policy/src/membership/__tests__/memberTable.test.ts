import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { MembershipState, type MemberIdentity } from "../member.js";
import { defaultMemberTableSettings, MemberTable } from "../memberTable.js";
import { computeTransmissionLimit, RumorQueue } from "../rumorQueue.js";

function buildIdentity(index: number, incarnation = 1): MemberIdentity {
    return { name: `node-${index}`, incarnation, dataCentre: "a", peerAddress: `127.0.0.1:${7000 + index}` };
}

function createTable(clock: ManualClock, index: number): MemberTable {
    return new MemberTable({ clock, random: () => 0.5, self: buildIdentity(index) });
}

function exchange(from: MemberTable, to: MemberTable): void {
    to.recordContact(from.readSelf());
    to.mergeStatements(from.takeUpdates(to.readSelf().name));
    from.recordContact(to.readSelf());
    from.mergeStatements(to.takeUpdates(from.readSelf().name));
}

describe("MemberTable", () => {
    it("forwards members that the receiver has no contact with", () => {
        const clock = new ManualClock();
        const [first, second, third] = [1, 2, 3].map((index) => createTable(clock, index)) as [
            MemberTable,
            MemberTable,
            MemberTable,
        ];
        exchange(first, second);
        exchange(second, third);
        expect(third.listAlive().map((member) => member.name)).toEqual(["node-1", "node-2"]);
    });

    it("lets a suspect refute, and declares it gone if it doesn't", () => {
        const clock = new ManualClock();
        const observer = createTable(clock, 1);
        const answering = createTable(clock, 2);
        const silent = createTable(clock, 3);
        exchange(observer, answering);
        exchange(observer, silent);
        observer.recordUnreachable(answering.readSelf().peerAddress);
        observer.recordUnreachable(silent.readSelf().peerAddress);
        exchange(observer, answering);
        clock.advance(defaultMemberTableSettings.suspicionMs);
        expect(observer.removeExpired()).toEqual(["node-3"]);
        expect(observer.listAlive().map((member) => member.name)).toEqual(["node-2"]);
    });

    it("revives a member after a network partition in which both sides declared the other gone", () => {
        const clock = new ManualClock();
        const left = createTable(clock, 1);
        const right = createTable(clock, 2);
        exchange(left, right);
        left.recordUnreachable(right.readSelf().peerAddress);
        right.recordUnreachable(left.readSelf().peerAddress);
        clock.advance(defaultMemberTableSettings.suspicionMs);
        left.removeExpired();
        right.removeExpired();
        expect(left.listAlive()).toEqual([]);
        exchange(left, right);
        expect(left.listAlive().map((member) => member.name)).toEqual(["node-2"]);
        exchange(right, left);
        expect(right.listAlive().map((member) => member.name)).toEqual(["node-1"]);
    });

    it("ignores statements about an older incarnation of a restarted host", () => {
        const clock = new ManualClock();
        const observer = createTable(clock, 1);
        observer.recordContact(buildIdentity(2, 20));
        observer.mergeStatements([{ ...buildIdentity(2, 10), refutation: 9, state: MembershipState.Gone }]);
        expect(observer.listAlive().map((member) => member.incarnation)).toEqual([20]);
    });

    it("recovers from lost updates with messages of bounded size", () => {
        const clock = new ManualClock();
        const informed = createTable(clock, 0);
        const memberCount = 60;
        for (let index = 2; index <= memberCount + 1; index += 1) {
            informed.recordContact(buildIdentity(index));
        }
        while (informed.takeUpdates().length > defaultMemberTableSettings.refreshPerMessage) {
            // Takes the queued updates without delivering them.
        }
        const late = createTable(clock, 1);
        const { refreshPerMessage, updatesPerMessage } = defaultMemberTableSettings;
        for (let message = 0; message < (2 * memberCount) / refreshPerMessage; message += 1) {
            const updates = informed.takeUpdates("node-1");
            expect(updates.length).toBeLessThanOrEqual(refreshPerMessage + updatesPerMessage + 1);
            late.mergeStatements(updates);
        }
        expect(late.listAlive().length).toBe(memberCount);
    });

    it("probes each candidate once before repeating any", () => {
        const clock = new ManualClock();
        const table = createTable(clock, 1);
        const hosts = [2, 3, 4, 5].map((index) => buildIdentity(index));
        table.updateDiscovered(hosts);
        const probed = hosts.map(() => table.chooseProbeAddress());
        expect(new Set(probed).size).toBe(hosts.length);
    });
});

describe("RumorQueue", () => {
    it("bounds each message and sends each update a logarithmic number of times", () => {
        const queue = new RumorQueue<number>();
        const memberCount = 81;
        for (let update = 0; update < 50; update += 1) {
            queue.addRumor(String(update), update);
        }
        const sent = new Map<number, number>();
        while (queue.countRumors() > 0) {
            const batch = queue.takeRumors(12, memberCount);
            expect(batch.length).toBeLessThanOrEqual(12);
            batch.forEach((update) => sent.set(update, (sent.get(update) ?? 0) + 1));
        }
        expect(new Set(sent.values())).toEqual(new Set([computeTransmissionLimit(memberCount)]));
    });
});
