import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { ColdServers } from "../coldServers.js";
import { computeGrantRate } from "../grantRate.js";

const durationMs = 3_000;
const id = "s1";
const row = { id, bornMs: 1, version: 1, remainingColdMs: 0 };

function build(doubtsFirstRows = false) {
    const clock = new ManualClock();
    clock.advance(10_000);
    const servers = new ColdServers(clock, doubtsFirstRows);
    servers.recordRow(row, true);
    return { clock, servers, readMs: () => servers.computeColdMs(id, durationMs) };
}

describe("ColdServers", () => {
    // Guards against a deployment that starts before its callers and is throttled by servers that are not cold.
    it("trusts the first registrations of a deployment that starts", () => {
        expect(build().readMs()).toBe(0);
    });

    // Guards against a node that starts and takes an outdated registration for the state of the server.
    it("doubts them at a node that starts later, for as long as a server is cold", () => {
        const { clock, readMs } = build(true);
        expect(readMs()).toBe(durationMs);
        clock.advance(durationMs);
        expect(readMs()).toBe(0);
    });

    it("follows a registration that says how long the server stays cold", () => {
        const { clock, servers, readMs } = build();
        servers.recordRow({ ...row, version: 2, remainingColdMs: 800 }, false);
        servers.recordRow({ ...row, version: 2, remainingColdMs: 800 }, false);
        expect(readMs()).toBe(800);
        clock.advance(800);
        expect(readMs()).toBe(0);
    });

    // Guards against a new start whose registration was written before its first request.
    it("takes a server with another start for cold even if its registration does not", () => {
        const { servers, readMs } = build();
        servers.recordRow({ ...row, bornMs: 2, version: 2 }, false);
        expect(readMs()).toBe(durationMs);
    });

    // Guards against a server that comes back later than the time for which it is cold, and counts as warm by then.
    it("takes a lost server for cold until it has answered and the time has passed", () => {
        const { clock, servers, readMs } = build();
        const beforeMs = clock.monotonicMs() - 1;
        servers.recordDoubt(row, true);
        clock.advance(60_000);
        expect(readMs()).toBe(durationMs);
        servers.recordAnswer(id, beforeMs, undefined);
        clock.advance(durationMs);
        expect(readMs()).toBe(durationMs);
        servers.recordAnswer(id, clock.monotonicMs(), undefined);
        clock.advance(durationMs - 1);
        expect(readMs()).toBe(1);
        clock.advance(1);
        expect(readMs()).toBe(0);
    });

    // Guards against a registration from before the loss that is read after it.
    it("takes only a later registration for a sign of life", () => {
        const { clock, servers, readMs } = build();
        servers.recordDoubt(row, true);
        clock.advance(1_000);
        servers.recordRow({ ...row, version: 2 }, false);
        clock.advance(durationMs);
        expect(readMs()).toBe(durationMs);
        servers.recordRow({ ...row, version: 3 }, false);
        clock.advance(durationMs);
        expect(readMs()).toBe(0);
    });

    it("believes an answer that says that the server is cold, or not any more", () => {
        const { clock, servers, readMs } = build();
        servers.recordAnswer(id, clock.monotonicMs(), 900);
        expect(readMs()).toBe(900);
        servers.recordAnswer(id, clock.monotonicMs(), 0);
        expect(readMs()).toBe(0);
    });

    // Guards against nodes that keep each other in doubt by reports of the same event, or of one before a new start.
    it("merges reports by their event and the first sign of life", () => {
        const [first, second] = [build(), build()];
        first.servers.recordDoubt(row, true);
        const report = first.servers.buildReport(id)!;
        expect(second.servers.mergeReport(report)).toBe(true);
        expect(second.servers.mergeReport({ ...report, ageMs: 300 })).toBe(false);
        second.servers.recordAnswer(id, second.clock.monotonicMs(), undefined);
        second.clock.advance(500);
        first.clock.advance(500);
        first.servers.mergeReport(second.servers.buildReport(id)!);
        expect(first.readMs()).toBe(durationMs - 500);
        second.servers.mergeReport(first.servers.buildReport(id)!);
        expect(second.readMs()).toBe(durationMs - 500);
        second.servers.recordRow({ ...row, bornMs: 2, version: 2, remainingColdMs: 200 }, false);
        expect(second.servers.mergeReport(report)).toBe(false);
        expect(second.readMs()).toBe(200);
    });
});

describe("the rate of permits for a cold server", () => {
    // Guards against two keepers whose permits add up to more than the server bears.
    it("keeps two keepers within the bound with permits that added up and are used late", () => {
        const rate = computeGrantRate({ requestsPerSecond: 5.2, overage: 1.5, slack: 5 });
        expect(2 * (rate * 1.1 + Math.max(1, rate / 4))).toBeLessThanOrEqual(5.2 * 1.5 + 5 + 1e-9);
        expect(rate).toBeGreaterThan(0.5 * 5.2);
        expect(computeGrantRate({ requestsPerSecond: 2, overage: 1, slack: 0 })).toBeGreaterThan(0);
    });
});
