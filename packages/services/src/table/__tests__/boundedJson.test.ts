import { describe, expect, it } from "vitest";
import { parseBoundedJson } from "../boundedJson.js";

const nest = (depth: number): string => `${"[".repeat(depth)}${"]".repeat(depth)}`;

describe("parseBoundedJson", () => {
    it("parses a value with as much nesting as is allowed, and none of what a string contains counts", () => {
        expect(JSON.stringify(parseBoundedJson(nest(64)))).toBe(nest(64));
        const text = JSON.stringify([`"${"[{".repeat(100)}\\`, { a: "]" }]);
        expect(JSON.stringify(parseBoundedJson(text))).toBe(text);
    });

    // Guards against values that end a program which walks them.
    it("refuses a value with more nesting", () => {
        expect(() => parseBoundedJson(nest(65))).toThrow("more than 64");
        expect(() => parseBoundedJson(`{"a":${nest(100_000)}}`)).toThrow("more than 64");
    });
});
