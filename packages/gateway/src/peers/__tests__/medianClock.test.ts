import type { WaitingClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { MedianClock } from "../medianClock.js";

const startWallMs = 1_000_000;

class HostClock implements WaitingClock {
    monotonic = 0;
    wall = startWallMs;

    monotonicMs(): number {
        return this.monotonic;
    }

    wallMs(): number {
        return this.wall;
    }

    advance(monotonicMs: number, wallMs = monotonicMs): void {
        this.monotonic += monotonicMs;
        this.wall += wallMs;
    }

    wait(): Promise<void> {
        return Promise.resolve();
    }
}

function recordPeers(median: MedianClock, wallMs: number, count = 2): void {
    for (let index = 0; index < count; index += 1) {
        median.recordPeerTime(`n${String(index)}`, wallMs);
    }
}

describe("MedianClock", () => {
    it.each([
        { name: "forward", stepMs: 4_000 },
        { name: "back", stepMs: -4_000 },
    ])("keeps the peers' time when the host's clock is stepped $name", ({ stepMs }) => {
        const host = new HostClock();
        const median = new MedianClock(host);
        recordPeers(median, startWallMs);
        host.advance(100, 100 + stepMs);
        expect(median.wallMs()).toBe(startWallMs + 100);
        host.advance(1_000);
        recordPeers(median, startWallMs + 1_100);
        expect(median.wallMs()).toBe(startWallMs + 1_100);
    });

    it("returns the majority's time when fewer than half of the clocks are stepped", () => {
        const host = new HostClock();
        const median = new MedianClock(host);
        recordPeers(median, startWallMs, 3);
        median.recordPeerTime("stepped-a", startWallMs + 4_000);
        median.recordPeerTime("stepped-b", startWallMs + 4_000);
        median.recordPeerTime("stepped-c", startWallMs - 4_000);
        expect(median.wallMs()).toBe(startWallMs);
    });

    it("returns the current time after a suspension once messages of peers arrive", () => {
        const host = new HostClock();
        const median = new MedianClock(host);
        recordPeers(median, startWallMs);
        expect(median.wallMs()).toBe(startWallMs);
        host.advance(60, 6_060);
        recordPeers(median, startWallMs + 6_060);
        expect(median.wallMs()).toBe(startWallMs + 6_060);
    });

    it("uses the host's clock with fewer than two peers", () => {
        const host = new HostClock();
        const median = new MedianClock(host);
        median.recordPeerTime("n0", startWallMs + 9_000);
        expect(median.wallMs()).toBe(startWallMs);
    });

    it("ignores peers without a recent message", () => {
        const host = new HostClock();
        const median = new MedianClock(host);
        recordPeers(median, startWallMs + 9_000);
        expect(median.wallMs()).toBe(startWallMs + 9_000);
        host.advance(3_100);
        expect(median.wallMs()).toBe(host.wallMs());
    });
});
