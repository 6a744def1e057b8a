/**
 * The platform's rate-limited weight store.
 *
 * @packageDocumentation
 */

/** A model version or adapter that engines can load. */
export interface WeightEntry {
    readonly name: string;
    readonly version: string;
    readonly sizeBytes: number;
}

/** Client of the weight store; throws a `PlatformError`, of kind `RateLimited` when it is called too often. */
export interface WeightStore {
    /**
     * Lists the weights that engines can load.
     *
     * @returns The entries.
     */
    listWeights(): Promise<readonly WeightEntry[]>;
}
