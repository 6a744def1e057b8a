import fastCheck from "fast-check";
import { describe, expect, inject, it } from "vitest";
import { ByteCollector } from "../byteCollector.js";

describe("ByteCollector", () => {
    it("returns all bytes in their order, whatever the size of the pieces", () => {
        const size = fastCheck.oneof(fastCheck.nat(3), fastCheck.nat(9_000), fastCheck.nat(70_000));
        fastCheck.assert(
            fastCheck.property(fastCheck.array(size), fastCheck.nat(20), (sizes, takenAfter) => {
                const collector = new ByteCollector();
                const taken: Buffer[] = [];
                const pieces = sizes.map((length, index) => Buffer.alloc(length, index + 1));
                pieces.forEach((piece, index) => {
                    collector.append(piece);
                    if (index === takenAfter) {
                        taken.push(collector.takeBytes());
                        expect(collector.length).toBe(0);
                    }
                });
                taken.push(collector.takeBytes());
                expect(Buffer.concat(taken).equals(Buffer.concat(pieces))).toBe(true);
            }),
            { seed: 20261206, ...inject("fuzz") },
        );
    });
});
