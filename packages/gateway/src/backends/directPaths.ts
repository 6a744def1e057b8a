/**
 * The direct paths of this node to backend servers: whether a request should take one, and trials of those that failed.
 *
 * @packageDocumentation
 */
import type { ServerReach } from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { ConnectionObserver, ConnectionPool } from "@pimentocleat/upstream";
import type { RegisteredServer } from "./backendServer.js";

/** Options of {@link DirectPaths}. */
export interface DirectPathsOptions {
    readonly reach: ServerReach;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time after which the opening of a connection fails, in milliseconds. */
    readonly connectTimeoutMs: number;
    /** Called with the address of a server that closed or reset a connection. */
    readonly onLost?: ((address: string) => void) | undefined;
    /** Returns the connections to servers, which report to this object. */
    readonly getConnections: () => ConnectionPool;
}

/** Time without data after which it is checked whether a server can still be reached, in milliseconds. */
const silenceMs = 300;

/** Watches the connections of this node to servers. */
export class DirectPaths implements ConnectionObserver {
    /** Whether it was logged that this node reaches no server. */
    private isOutOfTouch = false;

    /** @param options - What the connections show, and the connections. */
    constructor(private readonly options: DirectPathsOptions) {}

    onOpened(address: string): void {
        if (this.options.reach.recordOpened(address)) {
            this.options.getConnections().closeDistrustedConnections(address);
            this.options.logger.writeEvent("serverReachedAgain", { address });
        }
        this.reportTouch();
    }

    onOpenFailed(address: string, reason: string): void {
        const { reach, clock, logger, connectTimeoutMs, getConnections } = this.options;
        if (reach.recordOpenFailed(address, clock.monotonicMs() - connectTimeoutMs)) {
            getConnections().clearConnectionTrust();
        }
        logger.writeEvent("connectionNotOpened", { address, reason });
        this.reportTouch();
    }

    onLost(address: string): void {
        this.options.onLost?.(address);
    }

    /**
     * Checks whether a request to a server should take the direct path. Where it should not, a trial of that path is
     * started from time to time.
     *
     * @param server - The server.
     * @returns Whether an open connection works, or a new one is expected to open.
     */
    isUsable(server: RegisteredServer): boolean {
        const { reach, getConnections } = this.options;
        if (reach.isReachable(server) || getConnections().hasTrustedConnection(server.address)) {
            return true;
        }
        this.runTrial(server);
        return false;
    }

    /** @returns Whether this node reaches any server, as far as it knows. */
    isInTouch(): boolean {
        return this.options.reach.isInTouch();
    }

    /** @returns Whether no data of any server arrived for some time. */
    isSilent(): boolean {
        const { reach, clock } = this.options;
        return !reach.hasHeardSince(clock.monotonicMs() - silenceMs);
    }

    /**
     * Checks whether a connection to any server was opened lately.
     *
     * @param sinceMs - Monotonic time from which on it counts, in milliseconds.
     * @returns Whether one was.
     */
    hasOpenedSince(sinceMs: number): boolean {
        return this.options.reach.hasOpenedSince(sinceMs);
    }

    /**
     * Opens a connection to a server to learn whether it can be reached. Unlike trials of failed paths it has no limit, so
     * the caller must not call it often.
     *
     * @param server - The server.
     */
    probeServer({ address }: RegisteredServer): void {
        this.options.getConnections().openIdleConnection(address);
    }

    /** Records that data of a server arrived. */
    recordHeard(): void {
        this.options.reach.recordHeard();
    }

    /**
     * Watches a request on a connection that was opened before, until the server sends data. A connection that hangs
     * shows nothing, so when no data of any server arrives for some time, a new connection is opened to find out.
     *
     * @param server - The server.
     * @returns Ends the watch.
     */
    watchSilence(server: RegisteredServer): () => void {
        const { reach, clock } = this.options;
        const sentMs = clock.monotonicMs();
        const timer = setTimeout(() => {
            if (!reach.hasHeardSince(sentMs)) {
                this.runTrial(server);
            }
        }, silenceMs);
        return () => clearTimeout(timer);
    }

    private reportTouch(): void {
        const { reach, logger } = this.options;
        const isOutOfTouch = !reach.isInTouch();
        if (isOutOfTouch !== this.isOutOfTouch) {
            this.isOutOfTouch = isOutOfTouch;
            logger.writeEvent(isOutOfTouch ? "serversUnreachable" : "serversReachable");
        }
    }

    private runTrial(server: RegisteredServer): void {
        const { reach, getConnections } = this.options;
        if (reach.tryTrial(server)) {
            getConnections().openIdleConnection(server.address);
        }
    }
}
