import { describe, expect, it } from "vitest";
import { PrefixCacheModel } from "../prefixCacheModel.js";

describe("PrefixMemory", () => {
    it("counts leading parts without a gap", () => {
        const memory = new PrefixCacheModel(1_000);
        memory.recordParts([
            { id: "a", tokens: 100 },
            { id: "c", tokens: 300 },
        ]);
        expect(
            memory.countCachedTokens([
                { id: "a", tokens: 100 },
                { id: "b", tokens: 200 },
                { id: "c", tokens: 300 },
            ]),
        ).toBe(100);
    });

    it("lets the least recently used part yield", () => {
        const memory = new PrefixCacheModel(250);
        memory.recordParts([{ id: "a", tokens: 100 }]);
        memory.recordParts([{ id: "b", tokens: 100 }]);
        memory.recordParts([{ id: "a", tokens: 100 }]);
        memory.recordParts([{ id: "c", tokens: 100 }]);
        expect(memory.countCachedTokens([{ id: "b", tokens: 100 }])).toBe(0);
        expect(memory.countCachedTokens([{ id: "a", tokens: 100 }])).toBe(100);
    });
});
