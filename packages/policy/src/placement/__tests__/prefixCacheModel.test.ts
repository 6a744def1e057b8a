import { describe, expect, it } from "vitest";
import { PrefixCacheModel } from "../prefixCacheModel.js";

describe("PrefixCacheModel", () => {
    it("counts leading parts up to the first gap", () => {
        const model = new PrefixCacheModel(1_000);
        model.recordParts([
            { id: "a", tokens: 100 },
            { id: "c", tokens: 300 },
        ]);
        expect(
            model.countCachedTokens([
                { id: "a", tokens: 100 },
                { id: "b", tokens: 200 },
                { id: "c", tokens: 300 },
            ]),
        ).toBe(100);
    });

    it("evicts the least recently used part", () => {
        const model = new PrefixCacheModel(250);
        model.recordParts([{ id: "a", tokens: 100 }]);
        model.recordParts([{ id: "b", tokens: 100 }]);
        model.recordParts([{ id: "a", tokens: 100 }]);
        model.recordParts([{ id: "c", tokens: 100 }]);
        expect(model.countCachedTokens([{ id: "b", tokens: 100 }])).toBe(0);
        expect(model.countCachedTokens([{ id: "a", tokens: 100 }])).toBe(100);
    });
});
