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

function recordPeers(agreed: MedianClock, wallMs: number, count = 2): void {
    for (let index = 0; index < count; index += 1) {
        agreed.recordPeerTime(`n${String(index)}`, wallMs);
    }
}

describe("AgreedClock", () => {
    it.each([
        { name: "forward", stepMs: 4_000 },
        { name: "back", stepMs: -4_000 },
    ])("keeps the peers' time when the host's clock is stepped $name", ({ stepMs }) => {
        const host = new HostClock();
        const agreed = new MedianClock(host);
        recordPeers(agreed, startWallMs);
        host.advance(100, 100 + stepMs);
        expect(agreed.wallMs()).toBe(startWallMs + 100);
        host.advance(1_000);
        recordPeers(agreed, startWallMs + 1_100);
        expect(agreed.wallMs()).toBe(startWallMs + 1_100);
    });

    it("takes a majority's time when less than half of the clocks are stepped", () => {
        const host = new HostClock();
        const agreed = new MedianClock(host);
        recordPeers(agreed, startWallMs, 3);
        agreed.recordPeerTime("stepped-a", startWallMs + 4_000);
        agreed.recordPeerTime("stepped-b", startWallMs + 4_000);
        agreed.recordPeerTime("stepped-c", startWallMs - 4_000);
        expect(agreed.wallMs()).toBe(startWallMs);
    });

    it("shows the time after a suspension once peers are heard", () => {
        const host = new HostClock();
        const agreed = new MedianClock(host);
        recordPeers(agreed, startWallMs);
        expect(agreed.wallMs()).toBe(startWallMs);
        host.advance(60, 6_060);
        recordPeers(agreed, startWallMs + 6_060);
        expect(agreed.wallMs()).toBe(startWallMs + 6_060);
    });

    it("relies on the host's clock with fewer than two peers", () => {
        const host = new HostClock();
        const agreed = new MedianClock(host);
        agreed.recordPeerTime("n0", startWallMs + 9_000);
        expect(agreed.wallMs()).toBe(startWallMs);
    });

    it("forgets peers that it no longer hears", () => {
        const host = new HostClock();
        const agreed = new MedianClock(host);
        recordPeers(agreed, startWallMs + 9_000);
        expect(agreed.wallMs()).toBe(startWallMs + 9_000);
        host.advance(3_100);
        expect(agreed.wallMs()).toBe(host.wallMs());
    });
});
