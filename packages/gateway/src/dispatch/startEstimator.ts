/**
 * Reads what admission control needs to know of the servers: the predicted start of a request, and the load.
 *
 * @packageDocumentation
 */
import type { ServiceLoad, StartEstimate } from "@pimentocleat/policy";
import type { Clock } from "@pimentocleat/types";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ServerPermits } from "../backends/serverPermits.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import { computePriority } from "./gatewayRequest.js";
import type { RunState } from "./runState.js";
import type { ServerSelection } from "./serverSelection.js";
import { convertToPlacementServer } from "./serviceDispatch.js";

/** Options of a {@link StartEstimator}. */
export interface StartEstimatorOptions {
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly selection: ServerSelection;
    readonly permits: ServerPermits;
    readonly clock: Clock;
}

/** Age up to which a load that a server reported is used, in milliseconds. */
const maximumLoadAgeMs = 1_000;

/** Estimates starts and loads. */
export class StartEstimator {
    /** @param options - The servers and what they said. */
    constructor(private readonly options: StartEstimatorOptions) {}

    /**
     * Predicts the start of a request.
     *
     * @param state - State of the request.
     * @returns The prediction; undefined when no server takes it, or one whose limit decides when it starts.
     */
    estimateStart(state: RunState): StartEstimate | undefined {
        const { request, dispatch, excluded } = state;
        const { selection, configuration, permits } = this.options;
        const priority = computePriority(request);
        const open = selection.listOpenServers(state);
        if (open.some((server) => permits.isLimited(server))) {
            return undefined;
        }
        const capacityTokens = configuration.findService(request.service)?.engine?.capacityTokens;
        const { comparedParts: parts } = request;
        const { promptTokens } = request.head;
        const { pauseTargetMs } = request.route;
        return dispatch.placement.estimateStart(
            { parts, promptTokens, pauseTargetMs, priority, excluded },
            open.map((server) => convertToPlacementServer(server, capacityTokens)),
        );
    }

    /**
     * Sums the load of the servers of a request's service.
     *
     * @param state - State of the request.
     * @returns The load; that of an idle service when no server is ready.
     */
    readLoad({ request, dispatch }: RunState): ServiceLoad {
        let slots = 0;
        let taken = 0;
        let waiting = 0;
        for (const server of this.options.directory.listReadyServers(request.service)) {
            const load = this.readServerLoad(dispatch.placement, server);
            slots += server.slots;
            taken += Math.min(server.slots, load.running);
            waiting += load.waiting;
        }
        return { takenShare: slots === 0 ? 0 : taken / slots, waiting };
    }

    private readServerLoad(
        placement: RunState["dispatch"]["placement"],
        { id }: RegisteredServer,
    ): { readonly running: number; readonly waiting: number } {
        const inFlight = placement.countInFlight(id);
        const load = placement.findEstimate(id)?.load;
        const isRecent =
            load !== undefined && this.options.clock.monotonicMs() - load.atMs < maximumLoadAgeMs;
        return isRecent
            ? { running: Math.max(inFlight, load.running), waiting: load.waiting }
            : { running: inFlight, waiting: 0 };
    }
}
