/**
 * Checks of single entries that the schema cannot express.
 *
 * @packageDocumentation
 */
import type { Pool, RequestClass, Route } from "./configurationSchema.js";
import { buildProblem, type ConfigurationEntry, type EntryLocation } from "./configurationEntry.js";
import type { ConfigurationProblem } from "./configurationProblem.js";

const builtInPathPrefix = "/v1/";
const reservedPaths: ReadonlySet<string> = new Set(["/healthz", "/readyz"]);

function checkRoute(
    location: EntryLocation,
    route: Route,
    pools: ReadonlyMap<string, Pool>,
): ConfigurationProblem[] {
    const problems: ConfigurationProblem[] = [];
    const asteriskIndex = route.path.indexOf("*");
    if (asteriskIndex !== -1 && asteriskIndex !== route.path.length - 1) {
        problems.push(
            buildProblem(location, ["path"], {
                message: `"${route.path}" has a * before its end`,
                mend: "use * only as the last character",
            }),
        );
    }
    if (route.path.startsWith(builtInPathPrefix) || reservedPaths.has(route.path)) {
        problems.push(
            buildProblem(location, ["path"], {
                message: `"${route.path}" is served by the node itself`,
                mend: `use a path outside ${builtInPathPrefix}, ${[...reservedPaths].join(" and ")}`,
            }),
        );
    }
    if (pools.get(route.pool)?.kind === "model") {
        problems.push(
            buildProblem(location, ["pool"], {
                message: `the pool "${route.pool}" is of kind model`,
                mend: "use a pool of kind plain; model paths are built in",
            }),
        );
    }
    if (route.open && route.class === undefined) {
        problems.push(
            buildProblem(location, ["open"], {
                message: "an open route has no key that could give the class",
                mend: "name a class",
            }),
        );
    }
    return problems;
}

function checkPool(location: EntryLocation, pool: Pool): ConfigurationProblem[] {
    if (pool.kind === "model" && pool.models.length === 0) {
        return [
            buildProblem(location, ["models"], {
                message: "the pool names no model",
                mend: "list its models",
            }),
        ];
    }
    if (pool.kind === "plain" && pool.models.length > 0) {
        return [
            buildProblem(location, ["models"], {
                message: "a pool of kind plain serves no model",
                mend: "remove the models or use kind model",
            }),
        ];
    }
    return [];
}

function checkClass(location: EntryLocation, requestClass: RequestClass): ConfigurationProblem[] {
    if (requestClass.completeMs >= requestClass.firstTokenMs) {
        return [];
    }
    return [
        buildProblem(location, ["completeMs"], {
            message: `${String(requestClass.completeMs)} is before the target of the first token`,
            mend: `use at least ${String(requestClass.firstTokenMs)}`,
        }),
    ];
}

/**
 * Checks one entry.
 *
 * @param entry - The entry.
 * @param pools - All pools by name.
 * @returns The problems of the entry.
 */
export function checkEntry(
    entry: ConfigurationEntry,
    pools: ReadonlyMap<string, Pool>,
): ConfigurationProblem[] {
    switch (entry.list) {
        case "routes":
            return checkRoute(entry, entry.value, pools);
        case "pools":
            return checkPool(entry, entry.value);
        case "classes":
            return checkClass(entry, entry.value);
        default:
            return [];
    }
}
