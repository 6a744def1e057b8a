/**
 * Gets permits for requests to servers that name a limit. One node grants those of a server to all nodes, so that the
 * limit holds for their sum; a node that gets no reply sends nothing there.
 *
 * @packageDocumentation
 */
import type { RefusedPermit } from "@pimentocleat/policy";
import type { Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import type { LimitMessage } from "../peers/limitMessages.js";
import type { RegisteredServer } from "./backendServer.js";
import type { BrittleDirectory } from "./brittleDirectory.js";
import type { ColdDirectory } from "./coldDirectory.js";
import { HeldPlaces, type HeldPlace } from "./heldPlaces.js";
import {
    PermitGranter,
    type ColdRequestMessage,
    type PermitReply,
    type PermitRequestMessage,
    type PlaceRequestMessage,
} from "./permitGranter.js";
import type { LimitDirectory } from "./limitDirectory.js";

/** Options of {@link ServerPermits}. */
export interface ServerPermitsOptions {
    /** Name of this node. */
    readonly name: string;
    readonly clock: WaitingClock;
    readonly metrics: Metrics;
    readonly limits: LimitDirectory;
    readonly brittle: BrittleDirectory;
    readonly cold: Pick<ColdDirectory, "findRate" | "findRateOf" | "mergeReports">;
    /**
     * Lists the nodes that may grant the permits of a server, given the names of nodes that were heard lately; empty while
     * this node does not know the others.
     */
    readonly listKeepers: (serverId: string, heard: readonly string[]) => readonly string[];
    /** Sends a message to a node; returns whether its address is known. */
    readonly send: (name: string, message: LimitMessage) => boolean;
}

/** A request that needs a permit. */
export interface PermitNeed {
    /** The lowest number is the most urgent. */
    readonly priority: number;
    /** Time for which it may wait, in milliseconds. */
    readonly patienceMs: number;
}

/** Time to wait for a reply beyond the patience of the request, in milliseconds. */
const replyTimeoutMs = 100;
/**
 * Time beyond the wait for a reply after which a granted permit is void, in milliseconds: a process that was paused would
 * use permits of which others have taken the place.
 */
const permitValidityMs = 250;
/** Time for which a node that did not reply is passed over, in milliseconds. */
const silentKeeperMs = 2_000;
/** Time without permits of a server after no node replied, in milliseconds. */
const unansweredMs = 100;
/** In place of a permit that came too late to be used. */
const voidPermit: RefusedPermit = { type: "refused", nextMs: unansweredMs, returnMs: unansweredMs };
/** Longest time for which a refusal holds for other requests of this node, in milliseconds. */
const maximumRefusalMs = 1_000;

/** Until when a server has no permits for requests of a priority or less urgent ones. */
interface Refusal {
    readonly priority: number;
    readonly untilMs: number;
    /** Time at which callers should come back, in milliseconds. */
    readonly returnAtMs: number;
}

/** Asks for permits; the granter grants those of the servers that this node keeps. */
export class ServerPermits {
    private readonly granter: PermitGranter;
    private readonly pending = new Map<number, (refused: RefusedPermit | undefined) => void>();
    private readonly silentUntilMs = new Map<string, number>();
    private readonly refusals = new Map<string, Refusal>();
    private readonly held = new HeldPlaces((serverId, place) => this.sendRelease(serverId, place));
    private lastRequest = 0;

    /** @param options - This node and its peers. */
    constructor(private readonly options: ServerPermitsOptions) {
        this.granter = new PermitGranter({ ...options, receiveReply: (reply) => this.handleReply(reply) });
    }

    /**
     * Checks whether requests to a server need a permit.
     *
     * @param server - The server.
     * @returns True while it names a limit, may be cold, or its service is brittle.
     */
    isLimited(server: RegisteredServer): boolean {
        const { limits, brittle, cold } = this.options;
        return (
            limits.findLimit(server) !== undefined ||
            cold.findRate(server) !== undefined ||
            brittle.findAllowed(server) !== undefined
        );
    }

    /**
     * Computes the time until a server may have a permit again, as far as this node was refused one.
     *
     * @param server - The server.
     * @param priority - Priority of the request.
     * @returns The time, in milliseconds; 0 when a permit may be asked for now.
     */
    computeClosedMs(server: RegisteredServer, priority: number): number {
        const refusal = this.findRefusal(server, priority);
        return refusal === undefined ? 0 : Math.max(0, refusal.untilMs - this.readNowMs());
    }

    /**
     * Computes when a caller should come back for whose request a server had no permit.
     *
     * @param server - The server.
     * @param priority - Priority of the request.
     * @returns The time from now, in milliseconds; 0 when a permit was not refused.
     */
    computeReturnMs(server: RegisteredServer, priority: number): number {
        const refusal = this.findRefusal(server, priority);
        return refusal === undefined ? 0 : Math.max(0, refusal.returnAtMs - this.readNowMs());
    }

    /**
     * Gets a permit.
     *
     * @param server - The server.
     * @param need - The request.
     * @returns Whether the request may be sent to the server now.
     */
    async requestPermit(server: RegisteredServer, need: PermitNeed): Promise<boolean> {
        const keeper = this.chooseKeeper(server.id);
        const ask = this.buildRequest(server, need);
        if (keeper === undefined || ask === undefined) {
            this.recordRefusal(server, need.priority, { nextMs: unansweredMs, returnMs: unansweredMs });
            return false;
        }
        const { request } = ask;
        const askedMs = this.readNowMs();
        const reply = new Promise<RefusedPermit | undefined>((resolve) => {
            this.pending.set(request, resolve);
        });
        if (keeper === this.options.name) {
            this.granter.handleRequest(ask, keeper);
        }
        const isReachable = keeper === this.options.name || this.options.send(keeper, ask);
        const timeout = new AbortController();
        const waitMs = isReachable ? need.patienceMs + replyTimeoutMs : 0;
        const silence = this.options.clock.wait(waitMs, timeout.signal).then(() => "silent" as const);
        const first = await Promise.race([reply, silence]);
        const isVoid = this.readNowMs() - askedMs > waitMs + permitValidityMs;
        const refused = isVoid ? voidPermit : first;
        timeout.abort();
        this.pending.delete(request);
        this.recordReply(server, need, keeper, refused);
        if (ask.type === "placeRequest") {
            this.held.recordReply(server.id, { keeper, request }, isVoid ? "silent" : refused);
        }
        return refused === undefined;
    }

    /**
     * Gives a place back, if the server's are granted.
     *
     * @param server - The server to which a request was sent, or for which a permit was not used.
     */
    releasePlace({ id }: RegisteredServer): void {
        this.held.release(id);
    }

    /**
     * Applies a message of another node.
     *
     * @param message - The message.
     * @param from - Name of the node.
     */
    receiveMessage(message: LimitMessage, from: string): void {
        this.granter.recordHeard(message, from);
        switch (message.type) {
            case "serverLimits":
                this.options.limits.mergeReports(message.reports);
                this.options.cold.mergeReports(message.cold ?? []);
                this.granter.ensureKeptServers((message.cold ?? []).map(({ serverId }) => serverId));
                break;
            case "coldPermitRequest":
                if (message.report !== undefined) {
                    this.options.limits.mergeReports([message.report]);
                }
                this.granter.handleRequest(message, from);
                break;
            case "permitRequest":
                this.options.limits.mergeReports([message.report]);
                this.granter.handleRequest(message, from);
                break;
            case "placeRequest":
                this.granter.handleRequest(message, from);
                break;
            case "placeRelease":
                this.granter.releasePlace(message.serverId, message.request, from);
                break;
            case "serverFull":
                this.options.brittle.recordFull(message.service, message.serverId);
                break;
            case "permitReply":
                this.handleReply(message);
                break;
        }
    }

    private buildRequest(
        server: RegisteredServer,
        need: PermitNeed,
    ): PermitRequestMessage | ColdRequestMessage | PlaceRequestMessage | undefined {
        const { limits, brittle, cold } = this.options;
        this.lastRequest += 1;
        const request = this.lastRequest;
        const report = limits.findLimit(server) === undefined ? undefined : limits.buildReport(server.id);
        const coldRate = cold.findRate(server);
        if (coldRate !== undefined) {
            return {
                type: "coldPermitRequest",
                request,
                serverId: server.id,
                perSecond: coldRate,
                ...(report === undefined ? {} : { report }),
                ...need,
            };
        }
        if (report !== undefined) {
            return { type: "permitRequest", request, report, ...need };
        }
        const allowed = brittle.findAllowed(server);
        return allowed === undefined
            ? undefined
            : { type: "placeRequest", request, serverId: server.id, allowed, ...need };
    }

    private sendRelease(serverId: string, { keeper, request }: HeldPlace): void {
        if (keeper === this.options.name) {
            this.granter.releasePlace(serverId, request, keeper);
        } else {
            this.options.send(keeper, { type: "placeRelease", request, serverId });
        }
    }

    private handleReply({ request, refused }: PermitReply): void {
        this.pending.get(request)?.(refused === undefined ? undefined : { type: "refused", ...refused });
    }

    private chooseKeeper(serverId: string): string | undefined {
        const nowMs = this.readNowMs();
        return this.granter
            .listKeepers(serverId)
            .find((name) => (this.silentUntilMs.get(name) ?? Number.NEGATIVE_INFINITY) <= nowMs);
    }

    private recordReply(
        server: RegisteredServer,
        { priority }: PermitNeed,
        keeper: string,
        refused: RefusedPermit | "silent" | undefined,
    ): void {
        const result = refused === undefined ? "granted" : refused === "silent" ? "silent" : "refused";
        this.options.metrics.addCount("server.permit", 1, { result });
        if (refused === "silent") {
            this.silentUntilMs.set(keeper, this.readNowMs() + silentKeeperMs);
            this.recordRefusal(server, priority, { nextMs: unansweredMs, returnMs: unansweredMs });
        } else if (refused !== undefined) {
            this.recordRefusal(server, priority, refused);
        }
    }

    private recordRefusal(
        { id }: RegisteredServer,
        priority: number,
        { nextMs, returnMs }: Omit<RefusedPermit, "type">,
    ): void {
        const nowMs = this.readNowMs();
        for (const [other, { untilMs }] of this.refusals) {
            if (untilMs <= nowMs) {
                this.refusals.delete(other);
            }
        }
        const untilMs = nowMs + Math.min(nextMs, maximumRefusalMs);
        const known = this.refusals.get(id);
        if (known === undefined || known.priority >= priority || known.untilMs < untilMs) {
            this.refusals.set(id, { priority, untilMs, returnAtMs: nowMs + returnMs });
        }
    }

    private findRefusal(server: RegisteredServer, priority: number): Refusal | undefined {
        const refusal = this.refusals.get(server.id);
        const holds = refusal !== undefined && priority >= refusal.priority && this.isLimited(server);
        return holds ? refusal : undefined;
    }

    private readNowMs(): number {
        return this.options.clock.monotonicMs();
    }
}
