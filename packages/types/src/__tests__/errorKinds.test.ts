import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { ErrorKind, errorAnswers } from "../errorKinds.js";

describe("error kinds", () => {
    const page = readFileSync(new URL("../../../../docs/ERRORS.md", import.meta.url), "utf8");

    it.each(Object.values(ErrorKind))("%s is listed in docs/ERRORS.md", (kind) => {
        const { status, executed, description } = errorAnswers[kind];
        const row = page.split("\n").find((line) => line.startsWith(`| \`${kind}\` |`));
        expect(row).toContain(`| ${status} | ${executed} |`);
        expect(row).toContain(description);
    });
});
