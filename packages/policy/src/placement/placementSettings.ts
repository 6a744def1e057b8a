/**
 * Speeds and costs for the choice of backend servers.
 *
 * @packageDocumentation
 */

/** Settings of the choice of servers. */
export interface PlacementSettings {
    /** Data centre of this node. */
    readonly dataCentre: string;
    /** Prompt tokens that an engine of usual speed reads in a millisecond; corrected by each server's slowness. */
    readonly tokensPerMs: number;
    /** Time to the first token without a prompt, in milliseconds. */
    readonly firstEventMs: number;
    /** Cost of leaving the data centre, in milliseconds of a caller's time. */
    readonly otherDataCentreMs: number;
    /** Expected time of a plain service's answer until one was measured, in milliseconds. */
    readonly plainAnswerMs: number;
    /** How long a load that came with an answer is believed, in milliseconds. */
    readonly loadAgeMs: number;
}

/** Settings that hold unless overridden; speeds are those of the engines in docs/interfaces/engine.md. */
export const defaultPlacementSettings: Omit<PlacementSettings, "dataCentre"> = {
    tokensPerMs: 30,
    firstEventMs: 25,
    otherDataCentreMs: 12,
    plainAnswerMs: 40,
    loadAgeMs: 1_000,
};
