/**
 * Pools the evidence about requests and prompt parts that crash servers: each node sees few of the losses. New evidence
 * is sent to the peers at once, and all evidence to a few random nodes at an interval, so that it also reaches nodes that
 * have just started or lost a message.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { isRequestCause, type CrashReport, type RequestQuarantine } from "@pimentocleat/policy";
import type { Logger, Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { PeerAddress } from "./peerDirectory.js";

const crashReportSchema = z.object({
    part: z.string(),
    depth: z.number().nonnegative(),
    crashes: z.array(z.tuple([z.string(), z.number()])),
    sentAgesMs: z.record(z.string(), z.number()).optional(),
    goodAgeMs: z.number().optional(),
    probeAgeMs: z.number().optional(),
}) satisfies z.ZodType<CrashReport>;

/** Schema of a message with evidence. */
export const crashMessageSchema = z.object({
    type: z.literal("crashes"),
    reports: z.array(crashReportSchema),
});

/** A message with evidence. */
export type CrashMessage = z.infer<typeof crashMessageSchema>;

/** Options of {@link CrashNews}. */
export interface CrashNewsOptions {
    readonly quarantine: RequestQuarantine;
    readonly clock: WaitingClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Lists the nodes that are told at once. */
    readonly listPeers: () => readonly PeerAddress[];
    /** Chooses nodes at random among all. */
    readonly chooseRandomPeers: (count: number) => readonly PeerAddress[];
    readonly send: (message: CrashMessage, peers: readonly PeerAddress[]) => void;
}

/** Interval at which all evidence is sent again, in milliseconds. */
const repeatIntervalMs = 500;
/** Number of nodes that get it each time. */
const repeatedNodes = 3;
/** Maximum number of causes in a message, limited by the size of a datagram. */
const maximumReports = 20;

/** Sends and receives the evidence of one node. */
export class CrashNews {
    private known: ReadonlySet<string> = new Set();

    /** @param options - The evidence of this node and its peers. */
    constructor(private readonly options: CrashNewsOptions) {}

    /** Sends the evidence to the peers at once, because this node has something new. */
    reportChange(): void {
        this.writeChanges();
        const { quarantine, listPeers } = this.options;
        this.sendReports(quarantine.buildReports(maximumReports), listPeers());
    }

    /**
     * Merges the evidence of another node.
     *
     * @param message - The evidence.
     */
    receiveMessage(message: CrashMessage): void {
        this.options.quarantine.mergeReports(message.reports);
        this.writeChanges();
    }

    /**
     * Sends the evidence at an interval, as long as there is any.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.wait(repeatIntervalMs, signal);
            const { quarantine, chooseRandomPeers } = this.options;
            this.sendReports(quarantine.takeReports(maximumReports), chooseRandomPeers(repeatedNodes));
        }
    }

    private sendReports(reports: readonly CrashReport[], peers: readonly PeerAddress[]): void {
        if (reports.length > 0) {
            this.options.send({ type: "crashes", reports: reports.map(copyReport) }, peers);
        }
    }

    private writeChanges(): void {
        const { quarantine, logger, metrics } = this.options;
        const harmful = new Set(quarantine.listHarmfulCauses());
        for (const cause of harmful) {
            if (!this.known.has(cause)) {
                const isRequest = isRequestCause(cause);
                logger.writeEvent(isRequest ? "requestQuarantined" : "promptPartQuarantined", { cause });
                metrics.addCount(isRequest ? "request.quarantined" : "prompt.quarantined", 1, {});
            }
        }
        for (const cause of this.known) {
            if (!harmful.has(cause)) {
                logger.writeEvent(isRequestCause(cause) ? "requestCleared" : "promptPartCleared", { cause });
            }
        }
        this.known = harmful;
    }
}

function copyReport({ crashes, sentAgesMs, ...report }: CrashReport): CrashMessage["reports"][number] {
    return {
        ...report,
        crashes: crashes.map(([server, ageMs]) => [server, ageMs]),
        sentAgesMs: sentAgesMs === undefined ? undefined : { ...sentAgesMs },
    };
}
