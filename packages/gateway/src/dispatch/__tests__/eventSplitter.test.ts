import fastCheck from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { EventSplitter } from "../eventSplitter.js";

describe("EventSplitter", () => {
    it("passes whole events on unchanged, however the bytes are cut", () => {
        const event = fastCheck.record({
            id: fastCheck.nat(),
            data: fastCheck.string().map((text) => text.replace(/[\r\n]/g, "")),
        });
        const history = fastCheck.tuple(fastCheck.array(event), fastCheck.array(fastCheck.nat(40)));
        fastCheck.assert(
            fastCheck.property(history, ([events, cuts]) => {
                const whole = Buffer.from(
                    events.map(({ id, data }) => `id: ${String(id)}\ndata: ${data}\n\n`).join(""),
                );
                const splitter = new EventSplitter();
                const passed: Buffer[] = [];
                let count = 0;
                let position = 0;
                for (const cut of [...cuts, whole.length]) {
                    const taken = splitter.takeEvents(whole.subarray(position, position + cut));
                    position = Math.min(whole.length, position + cut);
                    if (taken !== undefined) {
                        passed.push(taken.bytes);
                        count += taken.count;
                        expect(taken.bytes.subarray(-2).toString()).toBe("\n\n");
                    }
                }
                expect(Buffer.concat(passed).equals(whole)).toBe(true);
                expect(count).toBe(events.length);
                expect(splitter.countIncompleteBytes()).toBe(0);
            }),
            { seed: 20261204, ...inject("fuzz") },
        );
    });

    it("holds half an event back and tells the last identifier", () => {
        const splitter = new EventSplitter();
        expect(splitter.takeEvents(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.lastId).toBe("1");
        expect(splitter.countIncompleteBytes()).toBe(8);
        expect(splitter.takeEvents(Buffer.from("ta: b\r\n\r\n"))?.lastId).toBe("2");
    });
});
