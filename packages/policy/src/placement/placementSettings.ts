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
    readonly prefillTokensPerMs: number;
    /** Time to the first token without a prompt, in milliseconds. */
    readonly baseFirstEventMs: number;
    /** Cost of leaving the data centre, in milliseconds of a caller's time. */
    readonly otherDataCentrePenaltyMs: number;
    /** Expected time of a plain service's answer until one was measured, in milliseconds. */
    readonly initialPlainAnswerMs: number;
    /** How long a load that came with an answer is believed, in milliseconds. */
    readonly maximumLoadAgeMs: number;
}

/** Settings that hold unless overridden; speeds are those of the engines in docs/interfaces/engine.md. */
export const defaultPlacementSettings: Omit<PlacementSettings, "dataCentre"> = {
    prefillTokensPerMs: 30,
    baseFirstEventMs: 25,
    otherDataCentrePenaltyMs: 12,
    initialPlainAnswerMs: 40,
    maximumLoadAgeMs: 1_000,
};
