/**
 * Bundles the program of a node into one file under target/, from the sources.
 */
import { build } from "esbuild";

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/pimentocleatd.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    conditions: ["source"],
    // Libraries in the older module format ask for Node's modules by require.
    banner: {
        js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
    },
    logLevel: "warning",
});
