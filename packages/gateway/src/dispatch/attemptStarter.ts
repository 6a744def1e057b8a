/**
 * Starts the attempts of a request and records what their ends say about the servers.
 *
 * @packageDocumentation
 */
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { BackendProtocol } from "../backends/backendProtocol.js";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { BrittleDirectory } from "../backends/brittleDirectory.js";
import type { ServerNotices } from "../backends/serverNotices.js";
import type { DispatchAnnouncer } from "../peers/dispatchNews.js";
import type { ServerPath, ServerPaths } from "../relaying/serverPaths.js";
import type { AdmissionQueue } from "./admissionQueue.js";
import { Attempt } from "./attempt.js";
import type { AttemptResult } from "./attemptResult.js";
import { isRepeatable } from "./gatewayRequest.js";
import { HeldBytes, maximumHeldAnswerBytes } from "./heldBytes.js";
import type { RequestGuard } from "./requestGuard.js";
import { minimumRemainingMs, type RunningAttempt, type RunState } from "./runState.js";
import type { ServerSelection } from "./serverSelection.js";
import type { StreamResumption } from "./streamResumption.js";

/** Counts the requests that backend servers started to run. */
export interface UsageCounter {
    /** @param customer - Name of the customer. */
    recordRequest(customer: string): void;
}

/** Options of an {@link AttemptStarter}. */
export interface AttemptStarterOptions {
    readonly paths: ServerPaths;
    readonly protocol: BackendProtocol;
    readonly usage: UsageCounter;
    readonly announcer: DispatchAnnouncer;
    readonly resumption: StreamResumption;
    readonly guard: RequestGuard;
    readonly notices: ServerNotices;
    readonly brittle: BrittleDirectory;
    readonly selection: ServerSelection;
    readonly admissions: AdmissionQueue;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Receives what happens in an attempt while it runs. */
export interface AttemptListener {
    /** Called after each inactivity timeout without data. */
    onSilent(running: RunningAttempt): void;
    /** Called when the head of a stream arrives. */
    onStreamHead(running: RunningAttempt): void;
    /**
     * Called before bytes are forwarded to the caller.
     *
     * @param running - The attempt.
     * @param status - Status of its response.
     * @returns False when another attempt keeps the caller and this one is to end.
     */
    tryForward(running: RunningAttempt, status: number): boolean;
}

/** Inactivity timeout of a repeatable request, as a multiple of the route's latency target. */
const inactivityFactor = 1.6;
/** Minimum inactivity timeout, in milliseconds; response times of healthy servers vary by this much. */
const minimumInactivityMs = 300;

/** Starts attempts. */
export class AttemptStarter {
    private readonly held = new HeldBytes(maximumHeldAnswerBytes);

    /** @param options - Servers, protocol, clock and recorders. */
    constructor(private readonly options: AttemptStarterOptions) {}

    /**
     * Sends a request to a server.
     *
     * @param state - State of the request.
     * @param server - The server, which was chosen for it; its permit is released when the attempt ends.
     * @param listener - Receives what happens in the attempt.
     * @returns The attempt.
     */
    startAttempt(state: RunState, server: RegisteredServer, listener: AttemptListener): RunningAttempt {
        const { request, answer, dispatch, excluded } = state;
        const { protocol, paths, logger, clock } = this.options;
        const { comparedParts: parts } = request;
        const { promptTokens, requestId } = request.head;
        const sentMs = clock.monotonicMs();
        const remainingMs = request.deadlineMs - sentMs;
        if (state.attemptCount === 0) {
            dispatch.retries.recordFirstAttempt(sentMs);
        }
        const path = paths.choosePath(server, state.relaySearch);
        const attempt = new Attempt({
            request,
            server,
            placement: dispatch.placement,
            clock,
            placementRequest: { parts, promptTokens, pauseTargetMs: request.route.pauseTargetMs, excluded },
            protocol,
            path,
            answer,
            remainingMs,
            continuity: state.continuity,
            inactivityTimeoutMs: computeInactivityTimeoutMs(state, remainingMs),
            onSilent: () => listener.onSilent(running),
            onStreamHead: () => listener.onStreamHead(running),
            tryForward: (status) => listener.tryForward(running, status),
            onStalled: () =>
                logger.writeEvent("streamStalled", {
                    requestId,
                    server: server.id,
                    route: request.route.name,
                }),
            onRunning: () => this.recordRunning(state),
            onNotice: (notice) => {
                this.options.resumption.recordContact(server);
                this.options.notices.recordNotice(server, notice, sentMs);
            },
            onForwarding: () => this.options.resumption.recordOrigin(state, server),
            held: this.held,
            announcer: this.options.announcer,
            isAnnounced: promptTokens > 0 || this.options.brittle.findAllowed(server) !== undefined,
        });
        this.recordSent(state, server, attempt, path, remainingMs);
        const result = this.runAttempt(state, server, attempt, path, sentMs);
        const running: RunningAttempt = { server, path, attempt, result, isCounted: false };
        return running;
    }

    private async runAttempt(
        state: RunState,
        server: RegisteredServer,
        attempt: Attempt,
        path: ServerPath,
        sentMs: number,
    ): Promise<AttemptResult> {
        const { resumption, guard, selection, admissions } = this.options;
        const isRelayed = path.relay !== undefined;
        try {
            const result = await attempt.run();
            resumption.recordResult(server, result, isRelayed);
            guard.recordResult(state.request, server, result, sentMs, isRelayed);
            return result;
        } finally {
            selection.releaseServer(server);
            admissions.recordChange();
        }
    }

    private recordSent(
        { request: { head, route }, attemptCount, continuity }: RunState,
        server: RegisteredServer,
        attempt: Attempt,
        { relay }: ServerPath,
        remainingMs: number,
    ): void {
        this.options.metrics.addCount("request.sent", 1, { route: route.name });
        this.options.logger.writeEvent("requestSent", {
            requestId: head.requestId,
            server: server.id,
            route: route.name,
            softwareVersion: server.softwareVersion,
            attempt: attemptCount + 1,
            remainingMs: Math.round(remainingMs),
            relayNode: relay?.name,
            isKeptConnection: attempt.isOnKeptConnection(),
            resumedRequestId: head.resumedRequestId,
            lastEventId: continuity.lastEventId,
        });
    }

    private recordRunning(state: RunState): void {
        const { route, arrivedMs, customer } = state.request;
        const nowMs = this.options.clock.monotonicMs();
        state.firstDataMs = nowMs;
        this.options.metrics.recordTime("request.firstToken", nowMs - arrivedMs, { class: route.name });
        if (!state.isUsageCounted && customer !== undefined) {
            state.isUsageCounted = true;
            this.options.usage.recordRequest(customer.name);
        }
    }
}

/** Returns undefined when the request may not be repeated or no time would remain for another attempt. */
function computeInactivityTimeoutMs(
    { request, attemptCount }: RunState,
    remainingMs: number,
): number | undefined {
    const { route } = request;
    if (!isRepeatable(request) || attemptCount + 1 >= route.maximumAttempts) {
        return undefined;
    }
    const timeoutMs = Math.max(minimumInactivityMs, route.targetMs * inactivityFactor);
    return timeoutMs + minimumRemainingMs < remainingMs ? timeoutMs : undefined;
}
