/**
 * Whether a node can serve requests: it needs a configuration and the backend servers.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { Logger } from "@pimentocleat/telemetry";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";

/** Options of {@link ReadinessState}. */
export interface ReadinessStateOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly configuration: ActiveConfiguration;
    /** Whether the complete table of backend servers was read. */
    readonly hasServers: () => boolean;
}

/**
 * Maximum time for which a node with a configuration waits for the servers before it is ready, in milliseconds. It
 * covers a read that times out (900 ms) and its retry. A node that cannot read the servers for longer may still learn
 * them from its neighbours, and its answers tell callers when to retry.
 */
const maximumServersWaitMs = 2_000;

/** Tracks whether a node is ready; a node that was ready stays so until it drains. */
export class ReadinessState {
    private configuredAtMs: number | undefined;
    private wasReady = false;

    /** @param options - What the node needs to serve. */
    constructor(private readonly options: ReadinessStateOptions) {
        options.configuration.addListener(() => {
            this.configuredAtMs ??= options.clock.monotonicMs();
        });
    }

    /** @returns Whether the node can serve requests. */
    isReady(): boolean {
        const { clock, logger, hasServers } = this.options;
        if (this.wasReady || this.configuredAtMs === undefined) {
            return this.wasReady;
        }
        const waitedMs = clock.monotonicMs() - this.configuredAtMs;
        this.wasReady = hasServers() || waitedMs >= maximumServersWaitMs;
        if (this.wasReady) {
            logger.writeEvent("nodeReady", { hasServers: hasServers(), waitedMs: Math.round(waitedMs) });
        }
        return this.wasReady;
    }
}
