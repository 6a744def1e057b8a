/**
 * Keeps harmful requests from being sent, and turns the ends of attempts into evidence about them.
 *
 * @packageDocumentation
 */
import {
    isRequestCause,
    type RequestQuarantine,
    type RequestTraits,
    type ServerLoss,
} from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { ConnectionPool } from "@pimentocleat/upstream";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { ColdDirectory } from "../backends/coldDirectory.js";
import type { CrashNews } from "../peers/crashNews.js";
import type { AttemptResult, LostAttempt } from "./attemptResult.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import { isServerGone } from "./isServerGone.js";
import { computeRequestDigest } from "./requestDigest.js";

/** Options of a {@link RequestGuard}. */
export interface RequestGuardOptions {
    readonly quarantine: RequestQuarantine;
    readonly crashNews: CrashNews;
    readonly connections: ConnectionPool;
    readonly cold: Pick<ColdDirectory, "recordLoss">;
    readonly clock: WaitingClock;
    readonly logger: Logger;
}

/** Checks requests and records what became of them. */
export class RequestGuard {
    /** Digests that were read, since a request is checked for each attempt. */
    private readonly digests = new WeakMap<GatewayRequest, string>();

    /** @param options - The evidence and its log. */
    constructor(private readonly options: RequestGuardOptions) {}

    /**
     * Checks a request before an attempt.
     *
     * @param request - The request.
     * @param canProbe - Whether the attempt may serve as a test of a harmful cause; a retry may not.
     * @returns The harmful cause because of which the request is not sent; undefined when it may be sent.
     */
    findHarmfulCause(request: GatewayRequest, canProbe: boolean): string | undefined {
        const decision = this.options.quarantine.checkRequest(this.buildTraits(request), canProbe);
        switch (decision.type) {
            case "send":
                return undefined;
            case "probe":
                this.writeTestedEvent(request, decision.cause);
                this.options.crashNews.reportChange();
                return undefined;
            case "refuse":
                return decision.cause;
        }
    }

    /**
     * Records what the end of an attempt says about its request.
     *
     * @param request - The request.
     * @param server - The server to which it was sent.
     * @param result - Outcome of the attempt.
     * @param sentMs - Monotonic time at which it was sent, in milliseconds.
     * @param isRelayed - Whether another node sent it, which has then checked whether the server is lost.
     */
    recordResult(
        request: GatewayRequest,
        server: RegisteredServer,
        result: AttemptResult,
        sentMs: number,
        isRelayed: boolean,
    ): void {
        const { quarantine, crashNews } = this.options;
        if (isAnswered(result) && quarantine.recordAnswer(this.buildTraits(request))) {
            crashNews.reportChange();
        }
        if (result.type === "notSent" && !isRelayed) {
            // A server that refuses connections is down, and may be cold when it comes back.
            this.options.cold.recordLoss(server);
        }
        if (result.type === "lost") {
            this.writeLostEvent(request, server, result);
            if (result.isServerLost) {
                const start = `${server.id}@${String(server.bornMs)}`;
                const atMs = this.options.clock.monotonicMs();
                const loss = { server: start, runningMs: result.runningMs, sentMs, atMs };
                this.recordLoss(request, server, loss, isRelayed);
            }
        }
    }

    /** Counts a loss as a crash, unless other connections to the server stay open. */
    private recordLoss(
        request: GatewayRequest,
        server: RegisteredServer,
        loss: ServerLoss,
        isRelayed: boolean,
    ): void {
        const { quarantine, crashNews, connections, clock } = this.options;
        const record = (): void => {
            if (quarantine.recordLoss(this.buildTraits(request), loss)) {
                crashNews.reportChange();
            }
        };
        if (isRelayed || connections.listOpenConnections(server.address).length === 0) {
            record();
            return;
        }
        void isServerGone(connections, server.address, clock).then((isGone) => {
            if (isGone) {
                this.options.cold.recordLoss(server);
                record();
            } else {
                this.options.logger.writeEvent("connectionLost", { server: server.id });
            }
        });
    }

    private buildTraits(request: GatewayRequest): RequestTraits {
        return { parts: request.head.parts, readDigest: () => this.readDigest(request) };
    }

    private readDigest(request: GatewayRequest): string {
        const digest = this.digests.get(request) ?? computeRequestDigest(request);
        this.digests.set(request, digest);
        return digest;
    }

    private writeTestedEvent({ head: { requestId } }: GatewayRequest, cause: string): void {
        const event = isRequestCause(cause) ? "requestTested" : "promptPartTested";
        this.options.logger.writeEvent(event, { requestId, cause });
    }

    private writeLostEvent(
        request: GatewayRequest,
        server: RegisteredServer,
        { reason, streamed, runningMs }: LostAttempt,
    ): void {
        const { parts, requestId } = request.head;
        this.options.logger.writeEvent("attemptLost", {
            requestId,
            server: server.id,
            reason,
            streamed,
            runningMs: runningMs === undefined ? undefined : Math.round(runningMs),
            digest: this.readDigest(request),
            sharedParts: parts
                .slice(0, -1)
                .map(({ id }) => id)
                .join(","),
        });
    }
}

function isAnswered(result: AttemptResult): boolean {
    const { type } = result;
    return (
        type === "streamed" ||
        (type === "answer" && result.answer.status >= 200 && result.answer.status < 300)
    );
}
