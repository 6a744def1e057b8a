import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { ConnectionLedger, type ConnectionAccount } from "../index.js";

const maximumBytes = 1_000;

describe("ConnectionLedger", () => {
    function buildLedger() {
        const clock = new ManualClock();
        const ledger = new ConnectionLedger({ maximumBytes, clock });
        const evicted: string[] = [];
        const open = (name: string): ConnectionAccount => ledger.openAccount(() => evicted.push(name));
        return { clock, ledger, evicted, open };
    }

    it("gives up what was held for longest, whatever it is, and not the newest", () => {
        const { clock, ledger, evicted, open } = buildLedger();
        open("head").setBytes("head", 300);
        clock.advance(100);
        open("answer").setBytes("unread", 600);
        clock.advance(10);
        open("small").setBytes("body", 200);
        expect(evicted).toEqual(["head"]);
        expect(ledger.sumBytes()).toBe(800);
    });

    it("gives up several at once, and never what running requests hold", () => {
        const { clock, ledger, evicted, open } = buildLedger();
        open("running").setBytes("running", 700);
        open("first").setBytes("waiting", 100);
        open("second").setBytes("unparsed", 150);
        clock.advance(10);
        open("third").setBytes("body", 250);
        expect(evicted).toEqual(["second", "first"]);
        expect(ledger.sumBytes()).toBe(950);
    });

    it("gives up the newest when running requests hold all", () => {
        const { evicted, open } = buildLedger();
        open("running").setBytes("running", 1_000);
        open("newest").setBytes("body", 1);
        expect(evicted).toEqual(["newest"]);
    });

    it("counts nothing of a connection that has closed", () => {
        const { ledger, open } = buildLedger();
        const account = open("closed");
        account.setBytes("body", 400);
        account.addBytes("running", 100);
        account.close();
        account.addBytes("unread", -50);
        expect(ledger.sumBytes()).toBe(0);
    });

    it("measures how long a connection has held from when it held nothing", () => {
        const { clock, evicted, open } = buildLedger();
        const reader = open("reader");
        reader.setBytes("unread", 500);
        clock.advance(1_000);
        reader.setBytes("unread", 0);
        reader.setBytes("unread", 500);
        clock.advance(1);
        const stalled = open("stalled");
        stalled.setBytes("unread", 400);
        clock.advance(10);
        stalled.setBytes("unread", 499);
        clock.advance(1);
        open("newest").setBytes("unread", 2);
        expect(evicted).toEqual(["reader"]);
    });
});
