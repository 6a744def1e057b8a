/**
 * Gets permits for requests to servers that name a limit. One node grants those of a server to all nodes, so that the
 * limit holds for their sum; a node that gets no reply sends nothing there.
 *
 * @packageDocumentation
 */
import {
    KeeperSuccession,
    PermitKeeper,
    PlaceKeeper,
    type KeptServer,
    type PermitDecision,
    type RefusedPermit,
} from "@pimentocleat/policy";
import type { Metrics } from "@pimentocleat/telemetry";
import type { WaitingClock } from "@pimentocleat/types";
import { isAboutPlaces, type LimitMessage } from "../peers/limitMessages.js";
import type { RegisteredServer } from "./backendServer.js";
import type { BrittleDirectory } from "./brittleDirectory.js";
import { HeldPlaces, type HeldPlace } from "./heldPlaces.js";
import type { LimitDirectory } from "./limitDirectory.js";

/** Options of {@link ServerPermits}. */
export interface ServerPermitsOptions {
    /** Name of this node. */
    readonly name: string;
    readonly clock: WaitingClock;
    readonly metrics: Metrics;
    readonly limits: LimitDirectory;
    readonly brittle: BrittleDirectory;
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

type PermitReply = Extract<LimitMessage, { type: "permitReply" }>;
type PermitRequestMessage = Extract<LimitMessage, { type: "permitRequest" }>;
type PlaceRequestMessage = Extract<LimitMessage, { type: "placeRequest" }>;

/** Time to wait for a reply beyond the patience of the request, in milliseconds. */
const replyTimeoutMs = 100;
/** Delay beyond the wait up to which a reply is taken as one in time, in milliseconds; timers of a busy process run late. */
const maximumReplyDelayMs = 100;
/** Time for which a node that did not reply is passed over, in milliseconds. */
const silentKeeperMs = 2_000;
/** Time without permits of a server after no node replied, in milliseconds. */
const unansweredMs = 100;
/** Minimum time between two messages that tell another keeper that this node grants places, in milliseconds. */
const heartbeatIntervalMs = 500;
/** Longest time for which a refusal holds for other requests of this node, in milliseconds. */
const maximumRefusalMs = 1_000;

/** Until when a server has no permits for requests of a priority or less urgent ones. */
interface Refusal {
    readonly priority: number;
    readonly untilMs: number;
    /** Time at which callers should come back, in milliseconds. */
    readonly returnAtMs: number;
}

/** Asks for permits, and grants those of the servers that this node keeps. */
export class ServerPermits {
    private readonly keeper: PermitKeeper;
    private readonly placeSuccession: KeeperSuccession;
    private readonly places: PlaceKeeper;
    private readonly pending = new Map<number, (refused: RefusedPermit | undefined) => void>();
    private readonly silentUntilMs = new Map<string, number>();
    private readonly refusals = new Map<string, Refusal>();
    private readonly held = new HeldPlaces((serverId, place) => this.sendRelease(serverId, place));
    /** Time at which other keepers were last told that this node grants places, in milliseconds. */
    private readonly heartbeatMs = new Map<string, number>();
    private lastRequest = 0;
    private isFlushPlanned = false;

    /** @param options - This node and its peers. */
    constructor(private readonly options: ServerPermitsOptions) {
        this.keeper = new PermitKeeper(options.name, options.clock);
        this.placeSuccession = new KeeperSuccession(options.name, options.clock);
        this.places = new PlaceKeeper(options.clock, this.placeSuccession);
    }

    /**
     * Checks whether requests to a server need a permit.
     *
     * @param server - The server.
     * @returns True while it names a limit, or its service is brittle.
     */
    isLimited(server: RegisteredServer): boolean {
        const { limits, brittle } = this.options;
        return limits.findLimit(server) !== undefined || brittle.findAllowed(server) !== undefined;
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
        const reply = new Promise<RefusedPermit | undefined>((resolve) => {
            this.pending.set(request, resolve);
        });
        if (keeper === this.options.name) {
            this.handleRequest(ask, keeper);
        }
        const isReachable = keeper === this.options.name || this.options.send(keeper, ask);
        const timeout = new AbortController();
        const waitMs = isReachable ? need.patienceMs + replyTimeoutMs : 0;
        const startMs = this.readNowMs();
        const silence = this.options.clock.wait(waitMs, timeout.signal).then(() => "silent" as const);
        const answered = await Promise.race([reply, silence]);
        // After a pause of the process, a reply may be read before the timer runs that ends the wait.
        const isLate = this.readNowMs() - startMs > waitMs + maximumReplyDelayMs;
        const refused = isLate && answered === undefined ? "silent" : answered;
        timeout.abort();
        this.pending.delete(request);
        this.recordReply(server, need, keeper, refused);
        if (ask.type === "placeRequest") {
            this.held.recordReply(server.id, { keeper, request }, refused);
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
        this.keeper.succession.recordHeard(from);
        if (isAboutPlaces(message)) {
            this.placeSuccession.recordHeard(from);
        }
        switch (message.type) {
            case "serverLimits":
                this.options.limits.mergeReports(message.reports);
                this.ensureKeptServers();
                break;
            case "permitRequest":
                this.options.limits.mergeReports([message.report]);
                this.handleRequest(message, from);
                break;
            case "placeRequest":
                this.handleRequest(message, from);
                break;
            case "placeRelease":
                this.places.release(message.serverId, formatId(message.request, from));
                break;
            case "serverFull":
                this.options.brittle.recordFull(message.service, message.serverId);
                break;
            case "permitReply":
                this.handleReply(message);
                break;
        }
    }

    /** Begins to count the time for which the other keepers of a server are silent before the first request. */
    private ensureKeptServers(): void {
        for (const id of this.options.limits.listLimitedServers()) {
            const server = this.findKeptServer(id);
            if (server?.keepers.includes(this.options.name) === true) {
                this.keeper.ensureServer(server);
            }
        }
    }

    private buildRequest(
        server: RegisteredServer,
        need: PermitNeed,
    ): PermitRequestMessage | PlaceRequestMessage | undefined {
        const { limits, brittle } = this.options;
        this.lastRequest += 1;
        const request = this.lastRequest;
        const report = limits.findLimit(server) === undefined ? undefined : limits.buildReport(server.id);
        if (report !== undefined) {
            return { type: "permitRequest", request, report, ...need };
        }
        const allowed = brittle.findAllowed(server);
        return allowed === undefined
            ? undefined
            : { type: "placeRequest", request, serverId: server.id, allowed, ...need };
    }

    private handleRequest(message: PermitRequestMessage | PlaceRequestMessage, from: string): void {
        if (message.type === "placeRequest") {
            this.handlePlaceRequest(message, from);
            return;
        }
        const { request, report, priority, patienceMs } = message;
        const server = this.findKeptServer(report.serverId);
        if (server === undefined) {
            // The limit has ended, as this node knows from a later answer than the sender.
            this.sendReply(from, request, { type: "granted" });
            return;
        }
        const id = formatId(request, from);
        const decision = this.keeper.offer(server, { id, priority, patienceMs });
        this.sendReply(from, request, decision);
        this.planFlush();
    }

    private sendRelease(serverId: string, { keeper, request }: HeldPlace): void {
        if (keeper === this.options.name) {
            this.places.release(serverId, formatId(request, keeper));
        } else {
            this.options.send(keeper, { type: "placeRelease", request, serverId });
        }
    }

    private handlePlaceRequest(message: PlaceRequestMessage, from: string): void {
        const { request, serverId, allowed, priority, patienceMs } = message;
        const places = this.options.brittle.buildPlaces(serverId, allowed);
        const id = formatId(request, from);
        const server = { id: serverId, keepers: this.listKeepers(serverId) };
        this.sendReply(from, request, this.places.offer(server, places, { id, priority, patienceMs }));
        if (this.places.isGranting(server)) {
            this.sendHeartbeats(server.keepers);
        }
        this.planFlush();
    }

    /** Tells the other keepers that this node grants places, so that they don't take over. */
    private sendHeartbeats(keepers: readonly string[]): void {
        const nowMs = this.readNowMs();
        const isDue = (name: string): boolean =>
            name !== this.options.name &&
            nowMs - (this.heartbeatMs.get(name) ?? Number.NEGATIVE_INFINITY) >= heartbeatIntervalMs;
        for (const name of keepers.filter(isDue)) {
            this.heartbeatMs.set(name, nowMs);
            this.options.send(name, { type: "serverLimits", reports: [] });
        }
    }

    private findKeptServer(id: string): KeptServer | undefined {
        const { limits } = this.options;
        const report = limits.buildReport(id);
        const perSecond = report === undefined ? undefined : limits.findLimit({ id, bornMs: report.bornMs });
        return perSecond === undefined ? undefined : { id, perSecond, keepers: this.listKeepers(id) };
    }

    private sendReply(to: string, request: number, decision: PermitDecision): void {
        if (decision.type === "waiting") {
            return;
        }
        const reply: PermitReply = {
            type: "permitReply",
            request,
            refused: decision.type === "refused" ? selectTimes(decision) : undefined,
        };
        if (to === this.options.name) {
            this.handleReply(reply);
        } else {
            this.options.send(to, reply);
        }
    }

    private handleReply({ request, refused }: PermitReply): void {
        this.pending.get(request)?.(refused === undefined ? undefined : { type: "refused", ...refused });
    }

    /** Replies to waiting requests when their permits come. */
    private planFlush(): void {
        const endsMs = [this.keeper, this.places].flatMap((keeper) => keeper.computeNextEndMs() ?? []);
        const endMs = Math.min(...endsMs);
        if (this.isFlushPlanned || endsMs.length === 0) {
            return;
        }
        this.isFlushPlanned = true;
        void this.options.clock.wait(endMs).then(() => {
            this.isFlushPlanned = false;
            for (const { id, decision } of [...this.keeper.takeEnded(), ...this.places.takeEnded()]) {
                const separator = id.indexOf("/");
                const request = Number(id.slice(0, separator));
                this.sendReply(id.slice(separator + 1), request, decision);
            }
            this.planFlush();
        });
    }

    private listKeepers(serverId: string): readonly string[] {
        return this.options.listKeepers(serverId, this.keeper.succession.listHeard());
    }

    private chooseKeeper(serverId: string): string | undefined {
        const nowMs = this.readNowMs();
        return this.listKeepers(serverId).find(
            (name) => (this.silentUntilMs.get(name) ?? Number.NEGATIVE_INFINITY) <= nowMs,
        );
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

function formatId(request: number, from: string): string {
    return `${String(request)}/${from}`;
}

function selectTimes({ nextMs, returnMs }: RefusedPermit): { nextMs: number; returnMs: number } {
    return { nextMs: Math.round(nextMs), returnMs: Math.round(returnMs) };
}
