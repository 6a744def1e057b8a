/**
 * Entries of the configuration with their locations in the files.
 *
 * @packageDocumentation
 */
import type { Configuration, Customer, Key, Pool, RequestClass, Route } from "./configurationSchema.js";
import type { ConfigurationProblem } from "./configurationProblem.js";

/** Name of a list of the configuration. */
export type EntryList = keyof Configuration;

/** Location of an entry. */
export interface EntryLocation {
    readonly file: string;
    /** Path of the entry within its file. */
    readonly path: string;
    /** Finds the line of a value by its path within the entry; an empty path is the entry itself. */
    readonly findLine: (...path: (string | number)[]) => number;
}

/** One entry of a list, with its location. */
export type ConfigurationEntry = EntryLocation &
    (
        | { readonly list: "customers"; readonly value: Customer }
        | { readonly list: "keys"; readonly value: Key }
        | { readonly list: "classes"; readonly value: RequestClass }
        | { readonly list: "pools"; readonly value: Pool }
        | { readonly list: "routes"; readonly value: Route }
    );

/**
 * Builds the problem of a value within an entry.
 *
 * @param location - Location of the entry.
 * @param path - Path of the value within the entry.
 * @param text - What is wrong and how to correct it.
 * @returns The problem.
 */
export function buildProblem(
    location: EntryLocation,
    path: (string | number)[],
    text: { message: string; mend: string },
): ConfigurationProblem {
    const suffix = path.map((step) => (typeof step === "number" ? `[${String(step)}]` : `.${step}`)).join("");
    return {
        file: location.file,
        line: location.findLine(...path),
        path: `${location.path}${suffix}`,
        ...text,
    };
}
