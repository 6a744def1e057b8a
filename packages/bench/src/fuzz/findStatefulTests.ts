/**
 * Discovery of the stateful tests, which check random histories with fast-check.
 *
 * @packageDocumentation
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const testFilePattern = /^[^/]+\/src\/.*\.test\.ts$/;
const fuzzImport = 'from "fast-check"';

/**
 * Lists the test files that use fast-check.
 *
 * @param root - Directory of the repository.
 * @param names - Parts of paths; only files whose path contains one of them are listed, or all when empty.
 * @returns Paths relative to the root, sorted.
 */
export function findStatefulTests(root: string, names: readonly string[]): readonly string[] {
    return listTestFiles(root)
        .filter((file) => readFileSync(join(root, file), "utf8").includes(fuzzImport))
        .filter((file) => names.length === 0 || names.some((name) => file.includes(name)))
        .sort();
}

function listTestFiles(root: string): readonly string[] {
    const packages = join(root, "packages");
    return readdirSync(packages)
        .flatMap((name) => listSourceFiles(packages, name))
        .filter((file) => testFilePattern.test(file))
        .map((file) => `packages/${file}`);
}

function listSourceFiles(packages: string, name: string): readonly string[] {
    const source = `${name}/src`;
    const files = readdirSync(join(packages, source), { recursive: true, encoding: "utf8" });
    return files.map((file) => `${source}/${file}`);
}
