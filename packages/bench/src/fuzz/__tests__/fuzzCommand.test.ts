import { readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { findStatefulTests } from "../findStatefulTests.js";
import { runFuzzCommand } from "../fuzzCommand.js";

const root = fileURLToPath(new URL("../../../../../", import.meta.url));
const overridesCall = 'inject("fuzz")';

describe("fuzz command", () => {
    it("finds the stateful tests, all of which apply the seed and number of runs of the command", () => {
        const files = findStatefulTests(root, []);
        expect(files).toContain("packages/state/src/claims/__tests__/claimsStateful.test.ts");
        const withoutOverrides = files.filter(
            (file) => !readFileSync(join(root, file), "utf8").includes(overridesCall),
        );
        expect(withoutOverrides).toEqual([]);
    });

    it.each([
        { name: "a seed that is not an integer", parameters: ["--seed", "x"] },
        { name: "a number of runs below 1", parameters: ["--runs", "0"] },
        { name: "a name that matches no test", parameters: ["noSuchTest"] },
    ])("refuses $name", async ({ parameters }) => {
        expect(await runFuzzCommand(["node", "fuzz", ...parameters])).toBe(2);
    });
});
