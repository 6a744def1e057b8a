import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect, it } from "vitest";

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const topLevelFunction = /^(?:export )?(?:async )?function (\w+)/gm;
const method = /^ {4}(?:(?:private|protected|override|static|async) )*(\w+)\([^\n]*(?:\{|,|\()$/gm;
/** Keywords that the pattern of a method also matches. */
const exceptions = new Set(["constructor", "if", "for", "while", "switch", "catch", "return", "super"]);
/** Methods of a clock, which are named after the time that they return. */
const clockReadings = new Set(["monotonicMs", "wallMs"]);

function listSources(): string[] {
    return ["packages", "platform"]
        .flatMap((folder) =>
            readdirSync(`${root}${folder}`, { recursive: true, encoding: "utf8" }).map(
                (path) => `${folder}/${path}`,
            ),
        )
        .filter(
            (path) =>
                /^(packages\/[a-z]+|platform)\/src\/.*\.ts$/.test(path) &&
                !/__tests__|generated|\.d\.ts$/.test(path),
        );
}

function listVerbs(): Set<string> {
    const rows = readFileSync(`${root}docs/NAMING.md`, "utf8").split("\n");
    const cells = rows.filter((row) => row.startsWith("| `")).map((row) => row.split("|")[1] ?? "");
    return new Set(cells.flatMap((cell) => [...cell.matchAll(/`([a-z]+)`/g)].map((match) => match[1] ?? "")));
}

it("begins the name of each function and method with a verb listed in docs/NAMING.md", () => {
    const verbs = listVerbs();
    const sources = listSources();
    expect(sources.length).toBeGreaterThan(100);
    const wrong = sources.flatMap((path) => {
        const text = readFileSync(`${root}${path}`, "utf8");
        const names = [...text.matchAll(topLevelFunction), ...text.matchAll(method)].map(
            (match) => match[1] ?? "",
        );
        return names
            .filter((name) => !exceptions.has(name) && !clockReadings.has(name))
            .filter((name) => !verbs.has(/^[a-z]+/.exec(name)?.[0] ?? ""))
            .map((name) => `${path}: ${name}`);
    });
    expect(wrong).toEqual([]);
});
