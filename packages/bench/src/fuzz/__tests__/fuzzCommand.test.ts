import { readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { findStatefulTests } from "../findStatefulTests.js";
import { runFuzzCommand } from "../fuzzCommand.js";

const root = fileURLToPath(new URL("../../../../../", import.meta.url));
const overridesCall = 'inject("fuzz")';

describe("fuzz command", () => {
    it("finds stateful tests, each of which takes the seed and runs handed on", () => {
        const files = findStatefulTests(root, []);
        expect(files).toContain("packages/state/src/claims/__tests__/claimsStateful.test.ts");
        const deaf = files.filter((file) => !readFileSync(join(root, file), "utf8").includes(overridesCall));
        expect(deaf).toEqual([]);
    });

    it.each([
        { name: "a seed that is no integer", parameters: ["--seed", "x"] },
        { name: "no runs", parameters: ["--runs", "0"] },
        { name: "an unknown test", parameters: ["noSuchTest"] },
    ])("refuses $name", async ({ parameters }) => {
        expect(await runFuzzCommand(["node", "fuzz", ...parameters])).toBe(2);
    });
});
