import { existsSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const pointCount = 13;

describe("docs/PROOFS.md", () => {
    const page = readFileSync(`${root}docs/PROOFS.md`, "utf8");

    it("names only files that exist", () => {
        const named = [...page.matchAll(/`(packages\/[^`]+)`/g)].map((match) => match[1] ?? "");
        expect(named.length).toBeGreaterThan(pointCount);
        expect(named.filter((path) => !existsSync(`${root}${path}`))).toEqual([]);
    });

    it("has a mechanism and a test for each point", () => {
        const sections = page.split(/^## /m).filter((section) => /^\d+\. /.test(section));
        expect(sections).toHaveLength(pointCount);
        const incomplete = sections.filter(
            (section) => !section.includes("- Mechanism: ") || !section.includes("- Tests: `packages/"),
        );
        expect(incomplete).toEqual([]);
    });
});
