/**
 * Plugins of the bundler that leave out, or load on first use, parts of dependencies that a node does not need. Each
 * replaces a module by a smaller one with the exports that the program uses.
 */
import { createRequire } from "node:module";
import { resolve } from "node:path";

const require = createRequire(import.meta.url);

/** Modules of Node.js that fastify loads for protocols that a node does not serve. */
const lazyModules = ["node:http2", "node:https"];

/** Modules of dependencies for features that are not used; a node that uses one nevertheless gets an error. */
const absentModules = [
    "@fastify/ajv-compiler",
    "@fastify/fast-json-stringify-compiler",
    "light-my-request",
    "./client-h2.js",
    "./logger-pino.js",
];

/** Replaces the modules by a function that throws. */
const absentFeatures = {
    name: "absent-features",
    setup({ onResolve, onLoad }) {
        const names = absentModules.map((name) => name.replace(/[./]/g, "\\$&"));
        onResolve({ filter: new RegExp(`^(${names.join("|")})$`) }, ({ path, importer }) =>
            importer.includes("/node_modules/") ? { path, namespace: "absent" } : undefined,
        );
        onLoad({ filter: /./, namespace: "absent" }, ({ path }) => ({
            contents: `module.exports = () => { throw new Error(${JSON.stringify(`${path} is not part of the bundle`)}); };`,
        }));
    },
};

/** Loads the modules when one of their properties is read. */
const lazyNodeModules = {
    name: "lazy-node-modules",
    setup({ onResolve, onLoad }) {
        const filter = new RegExp(`^(${lazyModules.join("|")})$`);
        onResolve({ filter }, ({ path, namespace, kind }) =>
            namespace === "lazy" || kind !== "require-call" ? undefined : { path, namespace: "lazy" },
        );
        onLoad({ filter, namespace: "lazy" }, ({ path }) => ({
            contents: `module.exports = new Proxy({}, { get: (...[, key]) => require(${JSON.stringify(path)})[key] });`,
        }));
    },
};

/** The HTTP/1.1 clients of undici, without fetch, WebSocket, mocks, caches and proxies. */
const undiciClients = {
    name: "undici-clients",
    setup({ onResolve, onLoad }) {
        onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "clients" }));
        onLoad({ filter: /./, namespace: "clients" }, () => ({
            resolveDir: resolve("."),
            contents: `
                const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
                exports.Client = require("undici/lib/dispatcher/client.js");
                exports.Pool = require("undici/lib/dispatcher/pool.js");
                exports.buildConnector = require("undici/lib/core/connect.js");
                exports.errors = require("undici/lib/core/errors.js");
                Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));`,
        }));
    },
};

/** The histograms of hdr-histogram-js, without its file formats. */
const histograms = {
    name: "histograms",
    setup({ onResolve }) {
        onResolve({ filter: /^hdr-histogram-js$/ }, () => ({
            path: require.resolve("hdr-histogram-js/dist/HistogramBuilder.js"),
        }));
    },
};

/** Zod with English messages only. */
const englishMessages = {
    name: "english-messages",
    setup({ onResolve, onLoad }) {
        onResolve({ filter: /\/locales\/index\.js$/ }, ({ path, importer }) =>
            importer.includes("/zod/") ? { path, namespace: "no-locales" } : undefined,
        );
        onLoad({ filter: /./, namespace: "no-locales" }, () => ({ contents: "export {};" }));
    },
};

/** Functions of Node.js's module for checks that dependencies use besides the check itself. */
const comparisons = ["deepStrictEqual", "equal", "fail", "notEqual", "notStrictEqual", "strictEqual"];

/**
 * Checks of dependencies. For a check that fails without a message, Node.js reads the source file and parses it from there
 * on, which blocks the process for seconds when the file is the minified bundle. These checks always have a message.
 */
const assertions = {
    name: "assertions",
    setup({ onResolve, onLoad }) {
        onResolve({ filter: /^(node:)?assert(\/strict)?$/ }, ({ namespace }) =>
            namespace === "assertions" ? undefined : { path: "assert", namespace: "assertions" },
        );
        onLoad({ filter: /./, namespace: "assertions" }, () => ({
            contents: `
                const load = () => require("node:assert").strict;
                const check = (value, message) => {
                    if (!value) {
                        load().ok(value, message ?? "a check of a dependency failed");
                    }
                };
                module.exports = Object.assign(check, { ok: check, strict: check });
                for (const name of ${JSON.stringify(comparisons)}) {
                    check[name] = (...parameters) => load()[name](...parameters);
                }`,
        }));
    },
};

/** All plugins of the program's bundle. */
export const plugins = [
    absentFeatures,
    lazyNodeModules,
    undiciClients,
    histograms,
    englishMessages,
    assertions,
];
