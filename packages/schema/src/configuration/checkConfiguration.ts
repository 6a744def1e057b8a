/**
 * Checks across entries of the configuration: unique names, references and duplicate routes.
 *
 * @packageDocumentation
 */
import type { BackendServer, Route } from "./configurationSchema.js";
import { checkEntry } from "./checkEntry.js";
import { buildProblem, type ConfigurationEntry, type EntryLocation } from "./configurationEntry.js";
import type { ConfigurationProblem } from "./configurationProblem.js";

/** Options of {@link checkConfiguration}. */
export interface CheckOptions {
    /** Skips the check for missing references, because a file with errors may define the missing names. */
    readonly skipReferences: boolean;
}

/** A value that must be unique among the values of its kind. */
interface NameDefinition {
    readonly name: string;
    readonly kind: string;
    readonly location: EntryLocation;
    readonly path: (string | number)[];
}

function listDefinitions(entries: readonly ConfigurationEntry[]): NameDefinition[] {
    return entries.flatMap((entry): NameDefinition[] => {
        switch (entry.list) {
            case "customers":
                return [{ name: entry.value.name, kind: "customer", location: entry, path: ["name"] }];
            case "classes":
                return [{ name: entry.value.name, kind: "class", location: entry, path: ["name"] }];
            case "keys":
                return [
                    { name: entry.value.id, kind: "key", location: entry, path: ["id"] },
                    { name: entry.value.digest, kind: "digest of a key", location: entry, path: ["digest"] },
                ];
            case "pools":
                return [
                    { name: entry.value.name, kind: "pool", location: entry, path: ["name"] },
                    ...entry.value.servers.flatMap((server, index) =>
                        listServerDefinitions(entry, server, index),
                    ),
                ];
            case "routes":
                return listRouteDefinitions(entry, entry.value);
        }
    });
}

function listServerDefinitions(
    location: EntryLocation,
    server: BackendServer,
    index: number,
): NameDefinition[] {
    return [
        { name: server.name, kind: "backend server", location, path: ["servers", index, "name"] },
        {
            name: server.address,
            kind: "backend server address",
            location,
            path: ["servers", index, "address"],
        },
    ];
}

function listRouteDefinitions(location: EntryLocation, route: Route): NameDefinition[] {
    return route.methods.map((method) => ({
        name: `${method} ${route.path}`,
        kind: "route",
        location,
        path: ["path"],
    }));
}

function findDuplicates(definitions: readonly NameDefinition[]): ConfigurationProblem[] {
    const first = new Map<string, NameDefinition>();
    const problems: ConfigurationProblem[] = [];
    for (const definition of definitions) {
        const key = `${definition.kind}\n${definition.name}`;
        const earlier = first.get(key);
        if (earlier === undefined) {
            first.set(key, definition);
            continue;
        }
        const earlierLocation = `${earlier.location.file}:${String(earlier.location.findLine(...earlier.path))}`;
        const shownName = definition.kind === "digest of a key" ? "" : ` "${definition.name}"`;
        problems.push(
            buildProblem(definition.location, definition.path, {
                message: `the ${definition.kind}${shownName} is already defined at ${earlierLocation}`,
                mend: "remove or rename one of the two",
            }),
        );
    }
    return problems;
}

/** A reference to a name that an entry of this kind must define. */
interface Reference {
    readonly kind: string;
    readonly name: string;
    readonly location: EntryLocation;
    readonly path: (string | number)[];
}

function listReferences(entries: readonly ConfigurationEntry[]): Reference[] {
    return entries.flatMap((entry): Reference[] => {
        switch (entry.list) {
            case "customers":
                return (entry.value.classes ?? []).map((name, index) => ({
                    kind: "class",
                    name,
                    location: entry,
                    path: ["classes", index],
                }));
            case "keys":
                return [
                    { kind: "customer", name: entry.value.customer, location: entry, path: ["customer"] },
                    ...listOptionalReference("class", entry.value.defaultClass, entry, "defaultClass"),
                ];
            case "routes":
                return [
                    { kind: "pool", name: entry.value.pool, location: entry, path: ["pool"] },
                    ...listOptionalReference("class", entry.value.class, entry, "class"),
                    ...(entry.value.customers ?? []).map((name, index) => ({
                        kind: "customer",
                        name,
                        location: entry,
                        path: ["customers", index],
                    })),
                ];
            default:
                return [];
        }
    });
}

function listOptionalReference(
    kind: string,
    name: string | undefined,
    location: EntryLocation,
    field: string,
): Reference[] {
    return name === undefined ? [] : [{ kind, name, location, path: [field] }];
}

function findMissingReferences(
    entries: readonly ConfigurationEntry[],
    definitions: readonly NameDefinition[],
): ConfigurationProblem[] {
    const known = new Set(definitions.map((definition) => `${definition.kind}\n${definition.name}`));
    return listReferences(entries)
        .filter((reference) => !known.has(`${reference.kind}\n${reference.name}`))
        .map((reference) =>
            buildProblem(reference.location, reference.path, {
                message: `the ${reference.kind} "${reference.name}" does not exist`,
                mend: `define it or use ${formatKnownNames(definitions, reference.kind)}`,
            }),
        );
}

function formatKnownNames(definitions: readonly NameDefinition[], kind: string): string {
    const known = definitions
        .filter((definition) => definition.kind === kind)
        .map((definition) => definition.name);
    return known.length === 0 ? `a ${kind} that is defined` : `one of ${known.join(", ")}`;
}

function findDuplicateModels(entries: readonly ConfigurationEntry[]): ConfigurationProblem[] {
    const models = entries.flatMap((entry): NameDefinition[] =>
        entry.list === "pools"
            ? entry.value.models.map((name, index) => ({
                  name,
                  kind: "model",
                  location: entry,
                  path: ["models", index],
              }))
            : [],
    );
    return findDuplicates(models);
}

/**
 * Checks the merged entries of all files.
 *
 * @param entries - The entries, in the order of their files' names.
 * @param options - Which checks to skip.
 * @returns All problems, in no particular order.
 */
export function checkConfiguration(
    entries: readonly ConfigurationEntry[],
    options: CheckOptions,
): readonly ConfigurationProblem[] {
    const definitions = listDefinitions(entries);
    const pools = new Map(
        entries.flatMap((entry) =>
            entry.list === "pools" ? [[entry.value.name, entry.value] as const] : [],
        ),
    );
    return [
        ...findDuplicates(definitions),
        ...findDuplicateModels(entries),
        ...(options.skipReferences ? [] : findMissingReferences(entries, definitions)),
        ...entries.flatMap((entry) => checkEntry(entry, pools)),
    ];
}
