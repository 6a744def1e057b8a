/**
 * Settings of server placement: assumed engine speeds and penalties.
 *
 * @packageDocumentation
 */

/** Settings for choosing backend servers. */
export interface PlacementSettings {
    /** The data centre of this node. */
    readonly dataCentre: string;
    /**
     * Prefill speed of an engine of normal speed, in tokens per millisecond; scaled by each server's measured slowness.
     */
    readonly prefillTokensPerMs: number;
    /** Time to first token for an empty prompt, in milliseconds. */
    readonly baseFirstEventMs: number;
    /** Penalty for choosing a server in another data centre, in milliseconds of the caller's time. */
    readonly otherDataCentrePenaltyMs: number;
    /** Initial estimate of a plain service's answer time, used until one has been measured, in milliseconds. */
    readonly initialPlainAnswerMs: number;
    /** Maximum age at which a load that came with an answer is still used, in milliseconds. */
    readonly maximumLoadAgeMs: number;
}

/** Default settings. The speeds are those of the engines in docs/interfaces/engine.md. */
export const defaultPlacementSettings: Omit<PlacementSettings, "dataCentre"> = {
    prefillTokensPerMs: 30,
    baseFirstEventMs: 25,
    otherDataCentrePenaltyMs: 12,
    initialPlainAnswerMs: 40,
    maximumLoadAgeMs: 1_000,
};
