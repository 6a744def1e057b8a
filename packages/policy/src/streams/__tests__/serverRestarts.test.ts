import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { registrationLagMs, ServerRestarts } from "../serverRestarts.js";

describe("ServerRestarts", () => {
    // Guards against a stream that is resumed at a server whose registration still names the version before its restart.
    it("knows no version from a refused connection until the registration must have been read after the next answer", () => {
        const clock = new ManualClock();
        const restarts = new ServerRestarts(clock);
        expect(restarts.isVersionKnown("a")).toBe(true);
        restarts.recordRefusal("a");
        clock.advance(10 * registrationLagMs);
        expect(restarts.isVersionKnown("a")).toBe(false);
        restarts.recordContact("a");
        clock.advance(registrationLagMs - 1);
        restarts.recordContact("a");
        expect(restarts.isVersionKnown("a")).toBe(false);
        clock.advance(1);
        expect(restarts.isVersionKnown("a")).toBe(true);
    });

    // Guards against trusting the registration that a node without the store has kept from before the restart.
    it("does not count the time in which the registrations are old", () => {
        const clock = new ManualClock();
        const restarts = new ServerRestarts(clock);
        restarts.recordRefusal("a");
        restarts.recordContact("a");
        clock.advance(registrationLagMs - 1);
        restarts.recordOutdated();
        clock.advance(1);
        expect(restarts.isVersionKnown("a")).toBe(false);
    });

    it("knows the version again as soon as another start of the server is registered", () => {
        const restarts = new ServerRestarts(new ManualClock());
        restarts.recordRefusal("a");
        restarts.recordRegistration("a");
        expect(restarts.isVersionKnown("a")).toBe(true);
    });
});
