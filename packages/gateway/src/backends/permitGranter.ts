/**
 * Grants the permits and places of the servers that this node keeps to the requests of all nodes.
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
import type { WaitingClock } from "@pimentocleat/types";
import { isAboutPlaces, type LimitMessage } from "../peers/limitMessages.js";
import type { BrittleDirectory } from "./brittleDirectory.js";
import type { ColdDirectory } from "./coldDirectory.js";
import type { LimitDirectory } from "./limitDirectory.js";

/** The reply to a request for a permit or a place. */
export type PermitReply = Extract<LimitMessage, { type: "permitReply" }>;
/** Asks for a permit of a server that names a limit. */
export type PermitRequestMessage = Extract<LimitMessage, { type: "permitRequest" }>;
/** Asks for a permit of a server that may be cold. */
export type ColdRequestMessage = Extract<LimitMessage, { type: "coldPermitRequest" }>;
/** Asks for a place at a server of a brittle service. */
export type PlaceRequestMessage = Extract<LimitMessage, { type: "placeRequest" }>;

/** Options of a {@link PermitGranter}. */
export interface PermitGranterOptions {
    /** Name of this node. */
    readonly name: string;
    readonly clock: WaitingClock;
    readonly limits: LimitDirectory;
    readonly brittle: BrittleDirectory;
    readonly cold: Pick<ColdDirectory, "findRateOf">;
    /** Lists the nodes that may grant the permits of a server, given the names of nodes that were heard lately. */
    readonly listKeepers: (serverId: string, heard: readonly string[]) => readonly string[];
    /** Sends a message to a node. */
    readonly send: (name: string, message: LimitMessage) => void;
    /** Receives the replies to requests of this node. */
    readonly receiveReply: (reply: PermitReply) => void;
}

/** Time for which a keeper heeds that another node takes a server for cold, in milliseconds. */
const askedColdMs = 1_000;
/** Minimum time between two messages that tell another keeper that this node grants places, in milliseconds. */
const heartbeatIntervalMs = 500;

/** Grants permits and places while this node is the one to do so. */
export class PermitGranter {
    private readonly keeper: PermitKeeper;
    private readonly placeSuccession: KeeperSuccession;
    private readonly places: PlaceKeeper;
    /** Time at which other keepers were last told that this node grants, in milliseconds. */
    private readonly heartbeatMs = new Map<string, number>();
    /** Rates of servers that other nodes take for cold, and until when this node heeds them as a keeper. */
    private readonly askedCold = new Map<string, { readonly perSecond: number; readonly untilMs: number }>();
    private isFlushPlanned = false;

    /** @param options - This node and its peers. */
    constructor(private readonly options: PermitGranterOptions) {
        this.keeper = new PermitKeeper(options.name, options.clock);
        this.placeSuccession = new KeeperSuccession(options.name, options.clock);
        this.places = new PlaceKeeper(options.clock, this.placeSuccession);
    }

    /**
     * Records a message of another node, which shows that it can grant.
     *
     * @param message - The message.
     * @param from - Name of the node.
     */
    recordHeard(message: LimitMessage, from: string): void {
        this.keeper.succession.recordHeard(from);
        if (isAboutPlaces(message)) {
            this.placeSuccession.recordHeard(from);
        }
    }

    /**
     * Lists the nodes that may grant the permits of a server.
     *
     * @param serverId - The server.
     * @returns Their names, the most preferred first.
     */
    listKeepers(serverId: string): readonly string[] {
        return this.options.listKeepers(serverId, this.keeper.succession.listHeard());
    }

    /**
     * Gives a place back.
     *
     * @param serverId - The server.
     * @param request - Number of the request at the node that held the place.
     * @param from - Name of that node.
     */
    releasePlace(serverId: string, request: number, from: string): void {
        this.places.release(serverId, formatId(request, from));
    }

    /**
     * Begins to count the time for which the other keepers of a server are silent before the first request.
     *
     * @param coldIds - Servers that may be cold, beside those with a limit.
     */
    ensureKeptServers(coldIds: readonly string[]): void {
        for (const id of [...this.options.limits.listLimitedServers(), ...coldIds]) {
            const server = this.findKeptServer(id);
            if (server?.keepers.includes(this.options.name) === true) {
                this.keeper.ensureServer(server);
            }
        }
    }

    /**
     * Decides on a request of any node; the reply may follow later.
     *
     * @param message - The request.
     * @param from - Name of the node.
     */
    handleRequest(
        message: PermitRequestMessage | ColdRequestMessage | PlaceRequestMessage,
        from: string,
    ): void {
        if (message.type === "placeRequest") {
            this.handlePlaceRequest(message, from);
            return;
        }
        if (message.type === "coldPermitRequest") {
            this.recordAskedCold(message);
        }
        const { request, priority, patienceMs } = message;
        const serverId = message.type === "permitRequest" ? message.report.serverId : message.serverId;
        const server = this.findKeptServer(serverId);
        if (server === undefined) {
            // The limit has ended, as this node knows from a later answer than the sender.
            this.sendReply(from, request, { type: "granted" });
            return;
        }
        const id = formatId(request, from);
        const decision = this.keeper.offer(server, { id, priority, patienceMs });
        this.sendReply(from, request, decision);
        if (message.type === "coldPermitRequest" && this.keeper.isGranting(server)) {
            this.sendHeartbeats(server.keepers);
        }
        this.planFlush();
    }

    private recordAskedCold({ serverId, perSecond }: ColdRequestMessage): void {
        const nowMs = this.readNowMs();
        for (const [id, { untilMs }] of this.askedCold) {
            if (untilMs <= nowMs) {
                this.askedCold.delete(id);
            }
        }
        this.askedCold.set(serverId, { perSecond, untilMs: nowMs + askedColdMs });
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

    /** Finds the limit in force: the stricter one of what the server names and the rate while it may be cold. */
    private findKeptServer(id: string): KeptServer | undefined {
        const { limits, cold } = this.options;
        const report = limits.buildReport(id);
        const named = report === undefined ? undefined : limits.findLimit({ id, bornMs: report.bornMs });
        const asked = this.askedCold.get(id);
        const askedPerSecond =
            asked !== undefined && asked.untilMs > this.readNowMs() ? asked.perSecond : undefined;
        const rates = [named, cold.findRateOf(id), askedPerSecond].filter((rate) => rate !== undefined);
        return rates.length === 0
            ? undefined
            : { id, perSecond: Math.min(...rates), keepers: this.listKeepers(id) };
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
            this.options.receiveReply(reply);
        } else {
            this.options.send(to, reply);
        }
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
