import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { logEvents } from "../logEvents.js";
import { metricDefinitions } from "../metrics.js";

function readPage(name: string): string {
    return readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), "utf8");
}

describe("catalogues", () => {
    it("documents every log event, with a unique number", () => {
        const page = readPage("LOG-EVENTS.md");
        const missing = Object.entries(logEvents).filter(
            ([name, event]) =>
                !page.includes(`| ${event.number} | ${event.level} | \`${name}\` | ${event.text} |`),
        );
        expect(missing).toEqual([]);
        const numbers = Object.values(logEvents).map((event) => event.number);
        expect(new Set(numbers).size).toBe(numbers.length);
    });

    it("documents every metric", () => {
        const page = readPage("METRICS.md");
        const missing = Object.keys(metricDefinitions).filter((name) => !page.includes(`| \`${name}\` |`));
        expect(missing).toEqual([]);
    });
});
