/**
 * Announces an attempt to the other nodes.
 *
 * @packageDocumentation
 */
import type { Placement, ServerPlacement } from "@pimentocleat/policy";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { DispatchAnnouncer } from "../peers/dispatchNews.js";
import type { GatewayRequest } from "./gatewayRequest.js";

/** Options of {@link AttemptNews}. */
export interface AttemptNewsOptions {
    readonly request: GatewayRequest;
    readonly server: RegisteredServer;
    readonly placement: ServerPlacement;
    /** Announces the attempt to the other nodes. */
    readonly announcer: DispatchAnnouncer;
    /** Whether the other nodes need to know of the attempt. */
    readonly isAnnounced: boolean;
}

/** Announces the dispatch, the first event and the end of one attempt. */
export class AttemptNews {
    private announcedId: string | undefined;

    /** @param options - The attempt and what announces it. */
    constructor(private readonly options: AttemptNewsOptions) {}

    /**
     * Announces that the request is sent.
     *
     * @param placed - How it was placed.
     */
    reportDispatch({ uncachedTokens, ownTokens }: Placement): void {
        const { announcer, isAnnounced, placement, request, server } = this.options;
        if (isAnnounced) {
            this.announcedId = announcer.reportDispatch({
                service: request.service,
                serverId: server.id,
                tokens: uncachedTokens,
                pauseTargetMs: request.route.pauseTargetMs,
                shared: request.comparedParts.slice(0, -1),
                ownTokens: placement.hasPace() ? ownTokens : undefined,
            });
        }
    }

    /** Announces that the first event has arrived. */
    reportFirstEvent(): void {
        if (this.announcedId !== undefined) {
            this.options.announcer.reportFirstEvent(this.options.request.service, this.announcedId);
        }
    }

    /** Announces that the attempt has ended. */
    reportEnd(): void {
        if (this.announcedId !== undefined) {
            this.options.announcer.reportEnd(this.options.request.service, this.announcedId);
        }
    }
}
