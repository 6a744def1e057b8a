/**
 * Options and listen addresses of a daemon.
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
    /** Returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
    /** Usage accounting; defaults to the accounting of the node's duties. */
    readonly usage?: NodeUsage;
    /** Overrides individual limits of the request path. */
    readonly limits?: Partial<NodeLimits>;
    /** Reads the variable that holds a pool's credential; defaults to the process's environment. */
    readonly readCredential?: (variable: string) => string | undefined;
}

/** Addresses that a daemon listens on. */
export interface DaemonAddresses {
    readonly caller: string;
    readonly operator: string;
    readonly peer: string;
}
