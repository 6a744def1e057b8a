/**
 * Entries of the configuration with their places.
 *
 * @packageDocumentation
 */
import type { Configuration, Customer, Key, Pool, RequestClass, Route } from "./configurationSchema.js";
import type { ConfigurationProblem } from "./configurationProblem.js";

/** Name of a list of the configuration. */
export type EntryList = keyof Configuration;

/** Where an entry stands. */
export interface EntryLocation {
    readonly file: string;
    /** Path of the entry within its file. */
    readonly path: string;
    /** Finds the line of a value within the entry; of the entry itself without steps. */
    readonly findLine: (...steps: (string | number)[]) => number;
}

/** One entry of a list, with its place. */
export type ConfigurationEntry = EntryLocation &
    (
        | { readonly list: "customers"; readonly value: Customer }
        | { readonly list: "keys"; readonly value: Key }
        | { readonly list: "classes"; readonly value: RequestClass }
        | { readonly list: "pools"; readonly value: Pool }
        | { readonly list: "routes"; readonly value: Route }
    );

/**
 * Builds a problem at a value of an entry.
 *
 * @param place - The entry.
 * @param steps - The steps from the entry to the value.
 * @param text - What is wrong and what to do about it.
 * @returns The problem.
 */
export function buildProblem(
    place: EntryLocation,
    steps: (string | number)[],
    text: { message: string; mend: string },
): ConfigurationProblem {
    const suffix = steps
        .map((step) => (typeof step === "number" ? `[${String(step)}]` : `.${step}`))
        .join("");
    return { file: place.file, line: place.findLine(...steps), path: `${place.path}${suffix}`, ...text };
}
