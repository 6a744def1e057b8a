/**
 * Keeps a stream at the service and software version that began it, whether this node resumes it within a response or a
 * caller takes it up.
 *
 * @packageDocumentation
 */
import type { ServerRestarts, StreamOrigin } from "@pimentocleat/policy";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { OriginDirectory } from "../peers/originDirectory.js";
import type { AttemptResult } from "./attemptResult.js";
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
    /**
     * @param origins - The origins that the nodes know.
     * @param restarts - The servers that may have restarted with another version.
     */
    constructor(
        private readonly origins: OriginDirectory,
        private readonly restarts: ServerRestarts,
    ) {}

    /**
     * Finds where a stream began that a caller takes up. This holds for routes that are not resumable too, since a server
     * continues whatever it is asked to; their streams are not recorded, so only the versions in service tell.
     *
     * @param request - The request.
     * @returns The request and the origin; undefined for a request that continues no stream.
     * @throws RouterError when the origin is not known or the route no longer leads there.
     */
    async resolveRequest(request: GatewayRequest): Promise<ResumedRequest | undefined> {
        const { head, route } = request;
        if (head.lastEventId === undefined || !(route.isResumable || route.kind === "stream")) {
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
    recordOrigin(state: RunState, server: RegisteredServer): void {
        const { route, head, service } = state.request;
        if (state.streamOrigin !== undefined || !route.isResumable) {
            return;
        }
        const softwareVersion = this.isVersionKnown(server) ? server.softwareVersion : undefined;
        state.streamOrigin = { service, softwareVersion };
        this.origins.reportOrigin(head.requestId, state.streamOrigin);
    }

    /**
     * Checks whether the registration of a server tells which software version answers there.
     *
     * @param server - The server.
     * @returns False while the server may have restarted since.
     */
    isVersionKnown({ id }: RegisteredServer): boolean {
        return this.restarts.isVersionKnown(id);
    }

    /**
     * Records that a server has answered.
     *
     * @param server - The server.
     */
    recordContact({ id }: RegisteredServer): void {
        this.restarts.recordContact(id);
    }

    /**
     * Records what the end of an attempt says about a restart of the server. A connection that breaks says nothing, since
     * many do for other reasons; a process that restarts refuses new ones meanwhile.
     *
     * @param server - The server.
     * @param result - Outcome of the attempt.
     * @param isRelayed - Whether another node sent it.
     */
    recordResult({ id }: RegisteredServer, result: AttemptResult, isRelayed: boolean): void {
        if (result.type === "notSent" && !isRelayed) {
            this.restarts.recordRefusal(id);
        }
    }
}

/**
 * Checks whether a server may run a request. What two software versions write doesn't fit together, so a stream that has
 * begun goes on only at the version that began it, and at no server whose version is not certain.
 *
 * @param state - State of the request.
 * @param server - The server.
 * @returns Whether the server may run it.
 */
export function isEligible(state: RunState, server: RegisteredServer): boolean {
    const { streamOrigin, isVersionKnown } = state;
    const { softwareVersion } = server;
    return (
        streamOrigin === undefined ||
        (softwareVersion !== undefined &&
            softwareVersion === streamOrigin.softwareVersion &&
            isVersionKnown(server))
    );
}
