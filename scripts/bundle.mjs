/**
 * Bundles the node program and its dependencies from the sources into target/, or the folder that is given as the
 * parameter, with a loader and V8's code cache.
 *
 * target/pimentocleatd.cjs is the loader. It runs target/program-DIGEST.cjs with target/program-DIGEST.cache if that
 * matches. The digest keeps a cache from being used with another source.
 */
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { pathToFileURL } from "node:url";
import { build } from "esbuild";
import { plugins } from "./bundlePlugins.mjs";

const folder = resolve(process.argv[2] ?? "target");
const warmUpFolder = join(folder, "warm-up");
const digestLength = 12;

const shared = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    conditions: ["source"],
    // The loader compiles the program without a callback for dynamic imports.
    supported: { "dynamic-import": false },
    // The loader reads the program as ASCII text, and some licence comments contain other characters.
    legalComments: "external",
    logLevel: "warning",
};

/** Reads the interpreter options of the deployment, under which the code cache must be made. */
function readInterpreterOptions() {
    const [, options = ""] =
        /^run = "node (.*?) ?target\//m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
    return options.split(" ").filter((option) => option !== "");
}

async function buildProgram() {
    const { outputFiles, metafile } = await build({
        ...shared,
        plugins,
        entryPoints: ["platform/src/program.ts"],
        outfile: join(folder, "program.cjs"),
        write: false,
        metafile: true,
    });
    const source = outputFiles.find(({ path }) => path.endsWith(".cjs")).contents;
    if (source.some((byte) => byte > 127)) {
        throw new Error("the bundle contains characters other than ASCII, which the loader cannot read");
    }
    const digest = createHash("sha256").update(source).digest("hex").slice(0, digestLength);
    const name = `program-${digest}`;
    writeFileSync(join(folder, `${name}.cjs`), source);
    const licences = outputFiles.find(({ path }) => path.endsWith(".LEGAL.txt"));
    writeFileSync(join(folder, "licences.txt"), licences?.contents ?? "");
    writeFileSync(join(folder, "packages.txt"), `${listPackages(metafile).join("\n")}\n`);
    return name;
}

/** Lists the packages of which a module is in the bundle. */
function listPackages({ outputs }) {
    const modules = Object.values(outputs).flatMap(({ inputs }) => Object.keys(inputs));
    const names = modules.map(
        (path) => /(?:.*node_modules|^packages)\/((?:@[^/]+\/)?[^/]+)\//.exec(path)?.[1],
    );
    return [...new Set(names.filter((name) => name !== undefined))].sort();
}

/** Makes the code cache; without one the program starts more slowly, but is the same. */
async function buildCodeCache(name) {
    const creator = join(warmUpFolder, "createCodeCache.cjs");
    const warmUp = join(warmUpFolder, "warmUp.mjs");
    await build({ ...shared, entryPoints: ["platform/src/loading/createCodeCache.ts"], outfile: creator });
    await build({
        ...shared,
        entryPoints: ["scripts/warmUp.ts"],
        outfile: warmUp,
        format: "esm",
        banner: {
            // Dependencies in CommonJS format load Node.js modules with require, which ES modules do not define.
            js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
        },
    });
    const cachePath = join(folder, `${name}.cache`);
    const command = [...readInterpreterOptions(), creator, join(folder, `${name}.cjs`), cachePath];
    const settingsPath = join(warmUpFolder, "settings.json");
    const { runWarmUp } = await import(pathToFileURL(warmUp).href);
    const isServed = await runWarmUp({ command, settingsPath }).catch(() => false);
    if (!isServed) {
        process.stderr.write("the warm-up run failed; the code cache contains only what loading compiles\n");
        spawnSync(process.execPath, [...command, "--check", settingsPath], { stdio: "inherit" });
    }
}

rmSync(warmUpFolder, { recursive: true, force: true });
mkdirSync(warmUpFolder, { recursive: true });
for (const file of readdirSync(folder).filter((entry) => entry.startsWith("program-"))) {
    rmSync(join(folder, file));
}
const name = await buildProgram();
await buildCodeCache(name);
await build({
    ...shared,
    entryPoints: ["platform/src/loading/main.ts"],
    outfile: join(folder, "pimentocleatd.cjs"),
    define: { programName: JSON.stringify(name) },
});
rmSync(warmUpFolder, { recursive: true });
process.exit(0);
