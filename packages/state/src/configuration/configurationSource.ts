/**
 * The configuration in force on a node.
 *
 * @packageDocumentation
 */
import type { Configuration } from "@pimentocleat/schema";

/** A configuration with its revision, which only grows. */
export interface AppliedConfiguration {
    readonly revision: number;
    readonly configuration: Configuration;
}

/** Gives the configuration in force; it changes only to higher revisions. */
export interface ConfigurationSource {
    readCurrent(): AppliedConfiguration | undefined;
    /** Subscribes to changes; returns the function that unsubscribes. */
    onChange(listener: (applied: AppliedConfiguration) => void): () => void;
}
