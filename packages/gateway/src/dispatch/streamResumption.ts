/**
 * Keeps a stream at the service and software version that began it, whether this node resumes it within a response or a
 * caller takes it up.
 *
 * @packageDocumentation
 */
import type { StreamOrigin } from "@pimentocleat/policy";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { OriginDirectory } from "../peers/originDirectory.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import { buildUnavailableOriginError, buildUnknownOriginError, type RunState } from "./runState.js";

/** A request that continues a stream, and where the stream began. */
export interface ResumedRequest {
    /** The request, directed to the service that began the stream. */
    readonly request: GatewayRequest;
    readonly origin: StreamOrigin;
}

/** Finds and records where streams began. */
export class StreamResumption {
    /** @param origins - The origins that the nodes know. */
    constructor(private readonly origins: OriginDirectory) {}

    /**
     * Finds where a stream began that a caller takes up.
     *
     * @param request - The request.
     * @returns The request and the origin; undefined for a request that continues no stream.
     * @throws RouterError when the origin is not known or the route no longer leads there.
     */
    async resolveRequest(request: GatewayRequest): Promise<ResumedRequest | undefined> {
        const { head, route } = request;
        if (head.lastEventId === undefined || !route.isResumable) {
            return undefined;
        }
        const services = route.targets.map(({ service }) => service);
        const origin = await this.origins.resolveOrigin(services, head.resumedRequestId);
        if (origin === undefined) {
            throw buildUnknownOriginError();
        }
        if (!services.includes(origin.service)) {
            throw buildUnavailableOriginError();
        }
        return { request: { ...request, service: origin.service }, origin };
    }

    /**
     * Records where a resumable stream begins, before its first event is forwarded.
     *
     * @param state - State of the request.
     * @param server - The server that sent the event.
     */
    recordOrigin(state: RunState, { softwareVersion }: RegisteredServer): void {
        const { route, head, service } = state.request;
        if (state.streamOrigin !== undefined || !route.isResumable) {
            return;
        }
        state.streamOrigin = { service, softwareVersion };
        this.origins.reportOrigin(head.requestId, state.streamOrigin);
    }
}

/**
 * Checks whether a server may run a request. What two software versions write doesn't fit together, so a stream that has
 * begun goes on only at the version that began it.
 *
 * @param state - State of the request.
 * @param server - The server.
 * @returns Whether the server may run it.
 */
export function isEligible(state: RunState, { softwareVersion }: RegisteredServer): boolean {
    return (
        state.streamOrigin === undefined ||
        (softwareVersion !== undefined && softwareVersion === state.streamOrigin.softwareVersion)
    );
}
