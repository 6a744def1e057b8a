import { ManualClock } from "@pimentocleat/types";
import { beforeEach, describe, expect, it } from "vitest";
import { ServerReach, type ServerLocation } from "../serverReach.js";

const buildServer = (dataCentre: string, number: number): ServerLocation => ({
    address: `${dataCentre}:${String(number)}`,
    dataCentre,
});

describe("which servers a node reaches", () => {
    let clock: ManualClock;
    let reach: ServerReach;
    const servers = ["a", "b", "c"].flatMap((dataCentre) => [1, 2, 3].map((n) => buildServer(dataCentre, n)));
    const countReachable = () => servers.filter((server) => reach.isReachable(server)).length;

    beforeEach(() => {
        clock = new ManualClock();
        reach = new ServerReach(clock);
        expect(countReachable()).toBe(servers.length);
        servers.forEach(({ address }) => reach.recordOpened(address));
        clock.advance(1_000);
    });

    // Guards against finding out anew with each request that no server can be reached (RECOVER).
    it("is none after one failure, until another connection opens", () => {
        reach.recordOpenFailed("a:1", clock.monotonicMs());
        expect(countReachable()).toBe(0);
        expect(reach.isInTouch()).toBe(false);
        clock.advance(5);
        reach.recordOpened("b:1");
        expect(reach.isInTouch()).toBe(true);
        expect(servers.filter((server) => reach.isReachable(server))).toEqual(
            servers.filter(({ dataCentre }) => dataCentre === "b"),
        );
    });

    // Guards against one crashed server that keeps a node from all others.
    it("is all but the crashed one once a connection opened in each data centre", () => {
        reach.recordOpenFailed("a:1", clock.monotonicMs());
        clock.advance(5);
        ["a:2", "b:1", "c:1"].forEach((address) => reach.recordOpened(address));
        expect(countReachable()).toBe(servers.length - 1);
        clock.advance(1_000);
        expect(reach.recordOpenFailed("a:1", clock.monotonicMs())).toBe(false);
        expect(countReachable()).toBe(servers.length - 1);
        expect(reach.recordOpened("a:1")).toBe(true);
        expect(countReachable()).toBe(servers.length);
    });

    it("takes no failure for a partition when a connection opened while it was tried", () => {
        reach.recordOpenFailed("a:1", clock.monotonicMs() - 1_000);
        expect(countReachable()).toBe(servers.length - 1);
    });

    it("is in touch while data of servers arrive on open connections", () => {
        clock.advance(2_000);
        reach.recordOpenFailed("a:1", clock.monotonicMs());
        expect(reach.isInTouch()).toBe(false);
        clock.advance(1);
        reach.recordHeard();
        expect(reach.isInTouch()).toBe(true);
    });

    it("ends the suspicion about servers of which nothing is known some time after another server was heard of", () => {
        reach.recordOpenFailed("a:1", clock.monotonicMs());
        clock.advance(5);
        reach.recordHeard();
        clock.advance(9_994);
        expect(countReachable()).toBe(0);
        clock.advance(1);
        expect(countReachable()).toBe(servers.length - 1);
    });

    // Guards against a node that answers for sound servers while its own links still fail (RECOVER).
    it("is none for as long as no server is heard of", () => {
        reach.recordOpenFailed("a:1", clock.monotonicMs());
        clock.advance(60_000);
        expect(countReachable()).toBe(0);
        expect(reach.isInTouch()).toBe(false);
        reach.recordOpened("b:1");
        expect(reach.isInTouch()).toBe(true);
    });

    // Guards against a rush of all nodes at servers that have just come back.
    it("allows one trial a server and second, and few in a data centre", () => {
        expect(reach.tryTrial(servers[0]!)).toBe(true);
        expect(reach.tryTrial(servers[0]!)).toBe(false);
        expect(reach.tryTrial(servers[1]!)).toBe(false);
        clock.advance(150);
        expect(reach.tryTrial(servers[1]!)).toBe(true);
        expect(reach.tryTrial(servers[0]!)).toBe(false);
        clock.advance(850);
        expect(reach.tryTrial(servers[0]!)).toBe(true);
    });
});
