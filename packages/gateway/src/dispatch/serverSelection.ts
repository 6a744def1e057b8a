/**
 * Selects the server of an attempt: the cheapest one that may run the request and takes requests now.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ServerNotices } from "../backends/serverNotices.js";
import type { PermitNeed, ServerPermits } from "../backends/serverPermits.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { Evacuations } from "../configuration/evacuations.js";
import { computePriority } from "./gatewayRequest.js";
import { minimumRemainingMs, type RunState } from "./runState.js";
import { convertToPlacementServer } from "./serviceDispatch.js";
import { isEligible } from "./streamResumption.js";

/** Options of a {@link ServerSelection}. */
export interface ServerSelectionOptions {
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly evacuations: Evacuations;
    readonly notices: ServerNotices;
    readonly permits: ServerPermits;
    readonly clock: Clock;
}

/** Why a server gets no request now. */
export interface ServerExclusion {
    readonly reason: "leaving" | "evacuated" | "paused" | "noPermit";
    /** Time until it may get requests again, in milliseconds; undefined when it will not. */
    readonly returnMs?: number;
}

/** Longest wait for a permit, as a share of the route's latency target; the rest is needed to run the request. */
const permitWaitShare = 0.5;

/** Shortest time after which a refused caller is asked to come back, in milliseconds; less would be sent as none. */
const minimumReturnMs = 20;

/** Selects servers by all bounds that hold before cost: software version, evacuations, notices, pauses and limits. */
export class ServerSelection {
    /** @param options - The servers and what they said. */
    constructor(private readonly options: ServerSelectionOptions) {}

    /**
     * Chooses a server, and gets the permit that a server with a limit requires.
     *
     * @param state - State of the request.
     * @returns The server, to which the request is to be sent at once; undefined when none takes it.
     */
    async chooseServer(state: RunState): Promise<RegisteredServer | undefined> {
        const excluded = new Set(state.excluded);
        const startMs = this.options.clock.monotonicMs();
        while (!state.isCancelled) {
            const open = this.listOpenServers(state).filter(({ id }) => !excluded.has(id));
            const server = this.chooseCheapest(state, open);
            if (server === undefined || !this.options.permits.isLimited(server)) {
                return server;
            }
            const priority = computePriority(state.request);
            const patienceMs = this.computePatienceMs(state, open, startMs);
            const isGranted = await this.requestPermit(state, server, { priority, patienceMs });
            if (isGranted && this.listOpenServers(state).some(({ id }) => id === server.id)) {
                return server;
            }
            if (isGranted) {
                this.releaseServer(server);
            }
            excluded.add(server.id);
        }
        return undefined;
    }

    /**
     * Checks whether another server takes a request now.
     *
     * @param state - State of the request.
     * @param server - The server that has it.
     * @returns Whether there is one that was not tried before.
     */
    hasOtherServer(state: RunState, server: RegisteredServer): boolean {
        return this.listOpenServers(state).some(({ id }) => id !== server.id && !state.excluded.has(id));
    }

    /**
     * Records that the request for which a server was chosen has ended there, or is not sent.
     *
     * @param server - The server.
     */
    releaseServer(server: RegisteredServer): void {
        this.options.permits.releasePlace(server);
    }

    /**
     * Computes when a caller should come back whose request no server takes now.
     *
     * @param state - State of the request.
     * @returns The time from now, in milliseconds; undefined when no server may run the request or one takes it now.
     */
    computeReturnMs(state: RunState): number | undefined {
        const { notices, permits } = this.options;
        const priority = computePriority(state.request);
        const timesMs = this.listEligibleServers(state).map((server) =>
            Math.max(notices.computePauseMs(server), permits.computeReturnMs(server, priority)),
        );
        const shortestMs = Math.min(...timesMs);
        return timesMs.length > 0 && shortestMs > 0 ? Math.max(minimumReturnMs, shortestMs) : undefined;
    }

    /**
     * Lists the servers that may run a request and take requests now.
     *
     * @param state - State of the request.
     * @returns The servers.
     */
    listOpenServers(state: RunState): readonly RegisteredServer[] {
        const { notices, permits } = this.options;
        const priority = computePriority(state.request);
        return this.listEligibleServers(state).filter(
            (server) =>
                notices.computePauseMs(server) === 0 && permits.computeClosedMs(server, priority) === 0,
        );
    }

    /**
     * Finds why a server gets no requests now that continue no stream.
     *
     * @param server - The server.
     * @param priority - Priority of the request.
     * @returns The reason; undefined when the server takes requests.
     */
    findExclusion(server: RegisteredServer, priority: number): ServerExclusion | undefined {
        const { evacuations, notices, permits } = this.options;
        if (server.state !== "ready") {
            return { reason: "leaving" };
        }
        if (!evacuations.isOpen(server.dataCentre)) {
            return { reason: "evacuated" };
        }
        const pauseMs = notices.computePauseMs(server);
        if (pauseMs > 0) {
            return { reason: "paused", returnMs: pauseMs };
        }
        const closedMs = permits.computeClosedMs(server, priority);
        return closedMs > 0 ? { reason: "noPermit", returnMs: closedMs } : undefined;
    }

    /** Returns whether the permit is granted; one that is granted after the wait was cancelled is given back. */
    private async requestPermit(
        state: RunState,
        server: RegisteredServer,
        need: PermitNeed,
    ): Promise<boolean> {
        const cancelled = new Promise<undefined>((resolve) => {
            state.cancelWait = () => resolve(undefined);
        });
        const requested = this.options.permits.requestPermit(server, need);
        const isGranted = await Promise.race([requested, cancelled]);
        state.cancelWait = undefined;
        if (isGranted !== undefined && !state.isCancelled) {
            return isGranted;
        }
        void requested.then((isLateGrant) => {
            if (isLateGrant) {
                this.releaseServer(server);
            }
        });
        return false;
    }

    private chooseCheapest(
        { request, dispatch, excluded }: RunState,
        servers: readonly RegisteredServer[],
    ): RegisteredServer | undefined {
        const capacityTokens = this.options.configuration.findService(request.service)?.engine
            ?.capacityTokens;
        const candidates = servers.map((server) => convertToPlacementServer(server, capacityTokens));
        const { comparedParts: parts } = request;
        const { promptTokens } = request.head;
        const { pauseTargetMs } = request.route;
        const id = dispatch.placement.chooseServer(
            { parts, promptTokens, pauseTargetMs, excluded },
            candidates,
        );
        return servers.find((server) => server.id === id);
    }

    private listEligibleServers(state: RunState): readonly RegisteredServer[] {
        return this.options.directory
            .listReadyServers(state.request.service)
            .filter(
                (server) => isEligible(state, server) && this.options.evacuations.isOpen(server.dataCentre),
            );
    }

    /**
     * Computes how long a request may still wait for a permit: only while no server without a limit takes it, and for all
     * servers together.
     */
    private computePatienceMs(
        { request: { route, deadlineMs } }: RunState,
        open: readonly RegisteredServer[],
        startMs: number,
    ): number {
        if (open.some((server) => !this.options.permits.isLimited(server))) {
            return 0;
        }
        const nowMs = this.options.clock.monotonicMs();
        const waitEndMs = startMs + route.targetMs * permitWaitShare;
        return Math.max(0, Math.min(waitEndMs, deadlineMs - minimumRemainingMs) - nowMs);
    }
}
