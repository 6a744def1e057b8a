/**
 * What a daemon is built from.
 *
 * @packageDocumentation
 */
import type { Settings } from "@pimentocleat/schema";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { NodeLimits } from "../limits/nodeLimits.js";
import type { PlatformServices } from "./platformServices.js";
import type { NodeUsage } from "./nodeUsage.js";

/** Options of a daemon. */
export interface DaemonOptions {
    readonly settings: Settings;
    readonly services: PlatformServices;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly clock: WaitingClock;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Usage; dropped when absent. */
    readonly usage?: NodeUsage;
    /** Replaces single limits that have no setting. */
    readonly limits?: Partial<NodeLimits>;
    /** Reads a pool's credential; the process's environment when absent. */
    readonly readCredential?: (variable: string) => string | undefined;
}

/** Addresses that a daemon listens on. */
export interface DaemonAddresses {
    readonly caller: string;
    readonly operator: string;
    readonly peer: string;
}
