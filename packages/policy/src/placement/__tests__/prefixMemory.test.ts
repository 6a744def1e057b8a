import { describe, expect, it } from "vitest";
import { PrefixMemory } from "../prefixMemory.js";

describe("PrefixMemory", () => {
    it("counts leading parts without a gap", () => {
        const memory = new PrefixMemory(1_000);
        memory.recordParts([
            { id: "a", tokens: 100 },
            { id: "c", tokens: 300 },
        ]);
        expect(
            memory.countHeldTokens([
                { id: "a", tokens: 100 },
                { id: "b", tokens: 200 },
                { id: "c", tokens: 300 },
            ]),
        ).toBe(100);
    });

    it("lets the least recently used part yield", () => {
        const memory = new PrefixMemory(250);
        memory.recordParts([{ id: "a", tokens: 100 }]);
        memory.recordParts([{ id: "b", tokens: 100 }]);
        memory.recordParts([{ id: "a", tokens: 100 }]);
        memory.recordParts([{ id: "c", tokens: 100 }]);
        expect(memory.countHeldTokens([{ id: "b", tokens: 100 }])).toBe(0);
        expect(memory.countHeldTokens([{ id: "a", tokens: 100 }])).toBe(100);
    });
});
