/**
 * Access to the active configuration of a node.
 *
 * @packageDocumentation
 */
import type { Configuration } from "@pimentocleat/schema";

/** A configuration with its revision; a node applies revisions in increasing order only. */
export interface AppliedConfiguration {
    readonly revision: number;
    readonly configuration: Configuration;
}

/** Provides the active configuration, which changes only to higher revisions. */
export interface ConfigurationSource {
    /** @returns The active configuration; undefined before the first one is applied. */
    readCurrent(): AppliedConfiguration | undefined;
    /**
     * Subscribes to changes.
     *
     * @param listener - Called with each newly applied configuration.
     * @returns The function that unsubscribes.
     */
    onChange(listener: (applied: AppliedConfiguration) => void): () => void;
}
