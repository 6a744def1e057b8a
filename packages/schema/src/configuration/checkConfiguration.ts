/**
 * Checks across entries of the configuration: unique names, references and overlapping routes.
 *
 * @packageDocumentation
 */
import type { BackendServer, Route } from "./configurationSchema.js";
import { checkEntry } from "./checkEntry.js";
import { buildProblem, type ConfigurationEntry, type EntryLocation } from "./configurationEntry.js";
import type { ConfigurationProblem } from "./configurationProblem.js";

/** Options of {@link checkConfiguration}. */
export interface CheckOptions {
    /** Leaves out missing references, since a broken file may define what they name. */
    readonly skipReferences: boolean;
}

interface NameDefinition {
    readonly name: string;
    readonly what: string;
    readonly place: EntryLocation;
    readonly steps: (string | number)[];
}

function listDefinitions(entries: readonly ConfigurationEntry[]): NameDefinition[] {
    return entries.flatMap((entry): NameDefinition[] => {
        switch (entry.list) {
            case "customers":
                return [{ name: entry.value.name, what: "customer", place: entry, steps: ["name"] }];
            case "classes":
                return [{ name: entry.value.name, what: "class", place: entry, steps: ["name"] }];
            case "keys":
                return [
                    { name: entry.value.id, what: "key", place: entry, steps: ["id"] },
                    { name: entry.value.digest, what: "digest of a key", place: entry, steps: ["digest"] },
                ];
            case "pools":
                return [
                    { name: entry.value.name, what: "pool", place: entry, steps: ["name"] },
                    ...entry.value.servers.flatMap((server, index) =>
                        listServerDefinitions(entry, server, index),
                    ),
                ];
            case "routes":
                return listRouteDefinitions(entry, entry.value);
        }
    });
}

function listServerDefinitions(place: EntryLocation, server: BackendServer, index: number): NameDefinition[] {
    return [
        { name: server.name, what: "backend server", place, steps: ["servers", index, "name"] },
        { name: server.address, what: "backend server address", place, steps: ["servers", index, "address"] },
    ];
}

function listRouteDefinitions(place: EntryLocation, route: Route): NameDefinition[] {
    return route.methods.map((method) => ({
        name: `${method} ${route.path}`,
        what: "route",
        place,
        steps: ["path"],
    }));
}

function findDuplicates(names: readonly NameDefinition[]): ConfigurationProblem[] {
    const first = new Map<string, NameDefinition>();
    const problems: ConfigurationProblem[] = [];
    for (const named of names) {
        const key = `${named.what}\n${named.name}`;
        const earlier = first.get(key);
        if (earlier === undefined) {
            first.set(key, named);
            continue;
        }
        const where = `${earlier.place.file}:${String(earlier.place.findLine(...earlier.steps))}`;
        const shown = named.what === "digest of a key" ? "" : ` "${named.name}"`;
        problems.push(
            buildProblem(named.place, named.steps, {
                message: `the ${named.what}${shown} is already defined at ${where}`,
                mend: "remove or rename one of the two",
            }),
        );
    }
    return problems;
}

interface Reference {
    readonly what: string;
    readonly name: string;
    readonly place: EntryLocation;
    readonly steps: (string | number)[];
}

function listReferences(entries: readonly ConfigurationEntry[]): Reference[] {
    return entries.flatMap((entry): Reference[] => {
        switch (entry.list) {
            case "customers":
                return (entry.value.classes ?? []).map((name, index) => ({
                    what: "class",
                    name,
                    place: entry,
                    steps: ["classes", index],
                }));
            case "keys":
                return [
                    { what: "customer", name: entry.value.customer, place: entry, steps: ["customer"] },
                    ...listOptionalReference("class", entry.value.defaultClass, entry, "defaultClass"),
                ];
            case "routes":
                return [
                    { what: "pool", name: entry.value.pool, place: entry, steps: ["pool"] },
                    ...listOptionalReference("class", entry.value.class, entry, "class"),
                    ...(entry.value.customers ?? []).map((name, index) => ({
                        what: "customer",
                        name,
                        place: entry,
                        steps: ["customers", index],
                    })),
                ];
            default:
                return [];
        }
    });
}

function listOptionalReference(
    what: string,
    name: string | undefined,
    place: EntryLocation,
    step: string,
): Reference[] {
    return name === undefined ? [] : [{ what, name, place, steps: [step] }];
}

function findMissingReferences(
    entries: readonly ConfigurationEntry[],
    names: readonly NameDefinition[],
): ConfigurationProblem[] {
    const known = new Set(names.map((named) => `${named.what}\n${named.name}`));
    return listReferences(entries)
        .filter((reference) => !known.has(`${reference.what}\n${reference.name}`))
        .map((reference) =>
            buildProblem(reference.place, reference.steps, {
                message: `the ${reference.what} "${reference.name}" does not exist`,
                mend: `define it or use ${formatKnownNames(names, reference.what)}`,
            }),
        );
}

function formatKnownNames(names: readonly NameDefinition[], what: string): string {
    const known = names.filter((named) => named.what === what).map((named) => named.name);
    return known.length === 0 ? `a ${what} that is defined` : `one of ${known.join(", ")}`;
}

function findDuplicateModels(entries: readonly ConfigurationEntry[]): ConfigurationProblem[] {
    const models = entries.flatMap((entry): NameDefinition[] =>
        entry.list === "pools"
            ? entry.value.models.map((name, index) => ({
                  name,
                  what: "model",
                  place: entry,
                  steps: ["models", index],
              }))
            : [],
    );
    return findDuplicates(models);
}

/**
 * Checks the merged entries of all files.
 *
 * @param entries - The entries, in the order of their files' names.
 * @param options - What to leave out.
 * @returns All problems, in no order.
 */
export function checkConfiguration(
    entries: readonly ConfigurationEntry[],
    options: CheckOptions,
): readonly ConfigurationProblem[] {
    const names = listDefinitions(entries);
    const pools = new Map(
        entries.flatMap((entry) =>
            entry.list === "pools" ? [[entry.value.name, entry.value] as const] : [],
        ),
    );
    return [
        ...findDuplicates(names),
        ...findDuplicateModels(entries),
        ...(options.skipReferences ? [] : findMissingReferences(entries, names)),
        ...entries.flatMap((entry) => checkEntry(entry, pools)),
    ];
}
