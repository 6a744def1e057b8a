/**
 * Bundles the node program and its dependencies from the sources into one file in target/.
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
    // Dependencies in CommonJS format load Node.js modules with require, which ES modules do not define.
    banner: {
        js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
    },
    logLevel: "warning",
});
