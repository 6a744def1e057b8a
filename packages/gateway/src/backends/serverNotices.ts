/**
 * Heeds what servers say of themselves in their responses: that they leave, want nothing for some time, or take only so
 * many requests.
 *
 * @packageDocumentation
 */
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { RegisteredServer } from "./backendServer.js";
import type { BrittleDirectory } from "./brittleDirectory.js";
import type { ColdDirectory } from "./coldDirectory.js";
import type { LimitDirectory } from "./limitDirectory.js";
import type { ServerDirectory } from "./serverDirectory.js";
import type { RequestedPause, ServerNotice } from "./serverNotice.js";
import { ServerPauses } from "./serverPauses.js";

/** Options of {@link ServerNotices}. */
export interface ServerNoticesOptions {
    readonly directory: ServerDirectory;
    readonly limits: LimitDirectory;
    readonly brittle: BrittleDirectory;
    readonly cold: ColdDirectory;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Tells the other nodes of a server that said that it leaves. */
    readonly reportLeaving: (server: RegisteredServer) => void;
}

/** Records the notices of servers that this node received. */
export class ServerNotices {
    private readonly pauses: ServerPauses;

    /** @param options - The servers, and who is told. */
    constructor(private readonly options: ServerNoticesOptions) {
        this.pauses = new ServerPauses(options.clock);
        options.directory.addRestartListener(({ id }) => this.pauses.clearPause(id));
    }

    /**
     * Records a notice.
     *
     * @param server - The server, as registered when the request was sent.
     * @param notice - What it says.
     * @param sentMs - Monotonic time at which the request was sent, in milliseconds.
     */
    recordNotice(server: RegisteredServer, notice: ServerNotice, sentMs: number): void {
        const { isLeaving, pause, limit } = notice;
        const { directory, limits, brittle, cold, metrics, reportLeaving } = this.options;
        if (isLeaving && directory.recordLeaving(server.id, server.bornMs)) {
            metrics.addCount("server.notice", 1, { kind: "leaving" });
            reportLeaving(server);
        }
        this.recordPause(server, pause);
        limits.recordAnswer(server, limit, sentMs);
        brittle.recordAnswer(server, notice, sentMs);
        cold.recordAnswer(server, sentMs, notice.coldMs);
    }

    /**
     * Computes how long a server still takes no requests of this node, because it asked for a pause.
     *
     * @param server - The server.
     * @returns The time, in milliseconds; 0 without a pause.
     */
    computePauseMs(server: RegisteredServer): number {
        return this.pauses.computeRemainingMs(server.id);
    }

    private recordPause({ id }: RegisteredServer, pause: RequestedPause): void {
        const { logger, metrics } = this.options;
        switch (pause.type) {
            case "none":
                break;
            case "unreadable":
                logger.writeEvent("serverPauseUnreadable", { server: id, text: pause.text });
                break;
            case "pause": {
                const { durationMs } = pause;
                const isGranted = this.pauses.recordPause(id, durationMs);
                metrics.addCount("server.notice", 1, { kind: "pause" });
                logger.writeEvent("serverPaused", { server: id, durationMs, isGranted });
                break;
            }
        }
    }
}
