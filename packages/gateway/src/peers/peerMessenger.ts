/**
 * Datagrams between nodes: what was sent where, what changed in the store, counts of usage, and the time of each
 * node's clock. All of it is soft: a lost message costs some efficiency, never a promise.
 *
 * @packageDocumentation
 */
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import type { PromptPart } from "@pimentocleat/policy";
import type { ForwardedUsage, UsageCopy } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { ServiceDispatchRegistry } from "../dispatch/serviceDispatch.js";
import type { PeerAddress } from "./peerDirectory.js";
import { storeUpdateSchema, type StoreUpdate } from "./storeRelay.js";
import {
    decodeRequests,
    encodeRequests,
    forwardedUsageSchema,
    storedUsageSchema,
    usageCopySchema,
    type ForwardedUsageMessage,
    type StoredUsage,
} from "./usageMessages.js";

/** A send of which the other nodes are told. */
export interface AnnouncedDispatch {
    readonly service: string;
    readonly serverId: string;
    /** Prompt tokens that the server has to read. */
    readonly tokens: number;
    /** Longest pause between events with which the answer is on time, in milliseconds. */
    readonly pauseTargetMs: number | undefined;
    /** The prompt's shared parts. */
    readonly shared: readonly PromptPart[];
}

/** Tells others of sends. */
export interface DispatchAnnouncer {
    /**
     * Tells of a send.
     *
     * @param send - The send.
     * @returns Names the send.
     */
    reportDispatch(send: AnnouncedDispatch): string;
    /**
     * Tells that the first event of a send arrived.
     *
     * @param service - The service.
     * @param id - Names the send.
     */
    reportFirstEvent(service: string, id: string): void;
    /**
     * Tells that a send ended.
     *
     * @param service - The service.
     * @param id - Names the send.
     */
    reportEnd(service: string, id: string): void;
}

/** Options of {@link PeerMessenger}. */
export interface PeerMessengerOptions {
    /** Name of this node. */
    readonly name: string;
    readonly host: string;
    readonly port: number;
    /** This process; names its sends among all nodes. */
    readonly incarnation: string;
    /** Nodes that are told of each send. */
    readonly listPeers: () => readonly PeerAddress[];
    /** The host's own clock, which messages tell the others. */
    readonly clock: Clock;
    /** Notes that a node was heard, and what its clock showed in milliseconds since the Unix epoch. */
    readonly recordContact: (name: string, wallMs: number) => void;
    readonly dispatches: ServiceDispatchRegistry;
    readonly logger: Logger;
    readonly random: () => number;
    /** Finds where a node is. */
    readonly findPeer: (name: string) => PeerAddress | undefined;
    /** Receives what the node says that reads the store for this one, and its name. */
    readonly receiveStoreUpdate: (news: StoreUpdate, from: string) => void;
    /** Receives counts of a node that cannot write them. */
    readonly storeUsageCopy: (copy: UsageCopy) => void;
    /** Receives counts to write for another node; the reply tells the row's new version. */
    readonly addForwardedUsage: (usage: ForwardedUsage, reply: (version: number) => void) => void;
    /** Receives that another node wrote counts. */
    readonly recordStoredUsage: (stored: StoredUsage) => void;
}

const bodySchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("send"),
        service: z.string(),
        id: z.string(),
        server: z.string(),
        tokens: z.number().nonnegative(),
        pauseTargetMs: z.number().nonnegative().optional(),
        parts: z.array(z.tuple([z.string(), z.number().nonnegative()])),
    }),
    z.object({ type: z.literal("start"), service: z.string(), id: z.string() }),
    z.object({ type: z.literal("end"), service: z.string(), id: z.string() }),
    usageCopySchema,
    forwardedUsageSchema,
    storedUsageSchema,
    storeUpdateSchema,
]);

/** Each message names its sender, so that the others know that it lives, and tells the time of its clock. */
const messageSchema = z.object({ from: z.string(), wallMs: z.number(), body: bodySchema });

type PeerMessage = z.infer<typeof bodySchema>;
type PlacementMessage = Extract<PeerMessage, { type: "send" | "start" | "end" }>;

/** Nodes that get a copy of counts; a datagram may be lost, and its receiver may be unable to write too. */
const usageCopyCount = 3;

/** Sends and receives the messages of one node. */
export class PeerMessenger implements DispatchAnnouncer {
    private socket: Socket | undefined;
    private sequence = 0;

    /** @param options - This node's address and its peers. */
    constructor(private readonly options: PeerMessengerOptions) {}

    /** Starts to listen. */
    start(): void {
        const { host, port, logger } = this.options;
        const socket = createSocket("udp4");
        socket.on("error", (error) => {
            logger.writeEvent("peerSocketFailed", { reason: error.message });
            socket.close();
            this.socket = undefined;
        });
        socket.on("message", (bytes) => this.receiveMessage(bytes));
        socket.bind(port, host);
        this.socket = socket;
    }

    /** Stops listening. */
    close(): void {
        this.socket?.close();
        this.socket = undefined;
    }

    reportDispatch(send: AnnouncedDispatch): string {
        this.sequence += 1;
        const id = `${this.options.incarnation}/${String(this.sequence)}`;
        const { service, serverId: server, tokens, pauseTargetMs, shared } = send;
        const parts = shared.map((part): [string, number] => [part.id, part.tokens]);
        this.sendToPeers({ type: "send", service, id, server, tokens, pauseTargetMs, parts });
        return id;
    }

    reportEnd(service: string, id: string): void {
        this.sendToPeers({ type: "end", service, id });
    }

    reportFirstEvent(service: string, id: string): void {
        this.sendToPeers({ type: "start", service, id });
    }

    /**
     * Sends counts that this node cannot write to a few others, which write them.
     *
     * @param copy - The counts.
     * @returns Whether there was a node to send them to.
     */
    sendUsageCopies(copy: UsageCopy): boolean {
        const { incarnation, windowStartMs, customers } = copy;
        const peers = chooseRandom(this.options.listPeers(), usageCopyCount, this.options.random);
        this.send({ type: "usage", incarnation, windowStartMs, requests: encodeRequests(customers) }, peers);
        return peers.length > 0;
    }

    /**
     * Sends counts to a node that writes those of others.
     *
     * @param usage - The counts.
     * @param collector - Name of that node.
     * @returns Whether the node is known.
     */
    forwardUsage(usage: ForwardedUsage, collector: string): boolean {
        const { customers, ...window } = usage;
        return this.sendTo(collector, {
            type: "forwardedUsage",
            ...window,
            requests: encodeRequests(customers),
        });
    }

    /**
     * Tells nodes what changed in the store.
     *
     * @param news - What changed.
     * @param peers - The nodes.
     */
    sendStoreUpdate(news: StoreUpdate, peers: readonly PeerAddress[]): void {
        this.send(news, peers);
    }

    private sendToPeers(message: PeerMessage): void {
        this.send(message, this.options.listPeers());
    }

    private sendTo(name: string, message: PeerMessage): boolean {
        const peer = this.options.findPeer(name);
        if (peer !== undefined) {
            this.send(message, [peer]);
        }
        return peer !== undefined;
    }

    private send(message: PeerMessage, peers: readonly PeerAddress[]): void {
        const { name: from, clock } = this.options;
        const bytes = Buffer.from(JSON.stringify({ from, wallMs: clock.wallMs(), body: message }));
        for (const peer of peers) {
            // A datagram that cannot be sent is one that is lost.
            this.socket?.send(bytes, peer.port, peer.host, () => undefined);
        }
    }

    private receiveMessage(bytes: Buffer): void {
        let message: z.infer<typeof messageSchema>;
        try {
            message = messageSchema.parse(JSON.parse(bytes.toString("utf8")));
        } catch (error) {
            this.options.logger.writeEvent("peerMessageUnreadable", { reason: String(error) });
            return;
        }
        const { from, wallMs, body } = message;
        this.options.recordContact(from, wallMs);
        this.handleMessage(from, body);
    }

    private handleMessage(from: string, message: PeerMessage): void {
        const { options } = this;
        switch (message.type) {
            case "store":
                options.receiveStoreUpdate(message, from);
                break;
            case "usage": {
                const { incarnation, windowStartMs, requests } = message;
                options.storeUsageCopy({ incarnation, windowStartMs, customers: decodeRequests(requests) });
                break;
            }
            case "forwardedUsage":
                this.receiveForwarded(from, message);
                break;
            case "storedUsage":
                options.recordStoredUsage(message);
                break;
            default:
                this.handlePlacement(message);
        }
    }

    private receiveForwarded(from: string, message: ForwardedUsageMessage): void {
        const { incarnation, windowStartMs, version, requests } = message;
        const usage = { incarnation, windowStartMs, version, customers: decodeRequests(requests) };
        this.options.addForwardedUsage(usage, (newVersion) => {
            this.sendTo(from, { type: "storedUsage", incarnation, windowStartMs, version, newVersion });
        });
    }

    private handlePlacement(message: PlacementMessage): void {
        const { placement } = this.options.dispatches.ensureService(message.service);
        switch (message.type) {
            case "start":
                placement.recordPeerFirstEvent(message.id);
                break;
            case "end":
                placement.recordPeerEnd(message.id);
                break;
            case "send": {
                const { id, server: serverId, tokens, pauseTargetMs } = message;
                const shared = message.parts.map(([part, count]) => ({ id: part, tokens: count }));
                placement.recordPeerDispatch({ id, serverId, tokens, pauseTargetMs }, shared);
                break;
            }
        }
    }
}

function chooseRandom<Item>(items: readonly Item[], count: number, random: () => number): readonly Item[] {
    const drawn = items.map((item) => ({ item, order: random() }));
    return drawn
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .map(({ item }) => item);
}
