/**
 * Generates code and reference pages from the schemas and catalogues. With --check, exits with status 1 if the
 * committed output is out of date.
 */
import { spawnSync } from "node:child_process";

const outputs = [
    "packages/schema/src/generated",
    "docs/SETTINGS.md",
    "docs/CONFIGURATION.md",
    "docs/ERRORS.md",
    "docs/LOG-EVENTS.md",
    "docs/METRICS.md",
];

function runCommand(command, parameters) {
    const result = spawnSync(command, parameters, { stdio: "inherit" });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
}

runCommand("npx", ["buf", "generate"]);
runCommand("npx", ["tsx", "scripts/writeReferencePages.mjs"]);
runCommand("npx", ["tsx", "--conditions=source", "scripts/renderCatalogues.ts"]);

if (process.argv.includes("--check")) {
    const status = spawnSync("git", ["status", "--porcelain", "--", ...outputs], { encoding: "utf8" });
    if (status.stdout.trim() !== "") {
        process.stderr.write(`generated files are out of date; run npm run generate:\n${status.stdout}`);
        process.exit(1);
    }
}
