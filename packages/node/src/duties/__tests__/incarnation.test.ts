import { describe, expect, it } from "vitest";
import { formatIncarnation, isReplaced } from "../incarnation.js";

describe("isReplaced", () => {
    const owner = formatIncarnation({ name: "a", incarnation: 10 });

    it.each([
        { name: "the same incarnation", present: [{ name: "a", incarnation: 10 }], replaced: false },
        { name: "a later incarnation", present: [{ name: "a", incarnation: 11 }], replaced: true },
        { name: "an earlier one, announced late", present: [{ name: "a", incarnation: 9 }], replaced: false },
        { name: "another node", present: [{ name: "b", incarnation: 11 }], replaced: false },
        { name: "nobody", present: [], replaced: false },
    ])("$name: $replaced", ({ present, replaced }) => {
        expect(isReplaced(owner, present)).toBe(replaced);
    });
});
