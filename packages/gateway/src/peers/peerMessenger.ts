/**
 * Exchanges datagrams between nodes: requests in flight, changes in the store, counts of usage, and the time of each
 * node's clock. Delivery is best effort: a lost message costs some efficiency and never breaks a guarantee.
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

/** A dispatched request that is announced to the other nodes. */
export interface AnnouncedDispatch {
    readonly service: string;
    readonly serverId: string;
    /** Prompt tokens that the server has to prefill. */
    readonly tokens: number;
    /** Target for the longest pause between events of the response, in milliseconds. */
    readonly pauseTargetMs: number | undefined;
    /** Parts of the prompt that other requests share. */
    readonly shared: readonly PromptPart[];
}

/** Announces dispatched requests to the other nodes. */
export interface DispatchAnnouncer {
    /**
     * Announces a request that was sent to a server.
     *
     * @param dispatch - The request.
     * @returns Identifier of the dispatch, unique among all nodes.
     */
    reportDispatch(dispatch: AnnouncedDispatch): string;
    /**
     * Announces that the first event of the response arrived.
     *
     * @param service - Name of the service.
     * @param id - Identifier of the dispatch.
     */
    reportFirstEvent(service: string, id: string): void;
    /**
     * Announces that the request ended.
     *
     * @param service - Name of the service.
     * @param id - Identifier of the dispatch.
     */
    reportEnd(service: string, id: string): void;
}

/** Options of {@link PeerMessenger}. */
export interface PeerMessengerOptions {
    /** Name of this node. */
    readonly name: string;
    readonly host: string;
    readonly port: number;
    /** Identifier of this process; makes the identifiers of its dispatches unique among all nodes. */
    readonly incarnation: string;
    /** Lists the nodes to which dispatches are announced. */
    readonly listPeers: () => readonly PeerAddress[];
    /** The host's own clock, whose time each message carries. */
    readonly clock: Clock;
    /** Records that a message of a node arrived, and that node's wall time in milliseconds since the Unix epoch. */
    readonly recordContact: (name: string, wallMs: number) => void;
    readonly dispatches: ServiceDispatchRegistry;
    readonly logger: Logger;
    readonly random: () => number;
    /** Finds the address of a node. */
    readonly findPeer: (name: string) => PeerAddress | undefined;
    /** Receives an update from the node that reads the store for this one, and its name. */
    readonly receiveStoreUpdate: (update: StoreUpdate, from: string) => void;
    /** Stores a copy of counts that another node cannot write. */
    readonly storeUsageCopy: (copy: UsageCopy) => void;
    /** Accepts counts to write for another node; the reply carries the new version of the row. */
    readonly addForwardedUsage: (usage: ForwardedUsage, reply: (version: number) => void) => void;
    /** Records that another node wrote counts of this one. */
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

/** Each message carries its sender's name, which shows that the node is alive, and the time of its clock. */
const messageSchema = z.object({ from: z.string(), wallMs: z.number(), body: bodySchema });

type PeerMessage = z.infer<typeof bodySchema>;
type PlacementMessage = Extract<PeerMessage, { type: "send" | "start" | "end" }>;

/**
 * Number of nodes that receive a copy of counts; a datagram may be lost, and its receiver may be unable to write too.
 */
const usageCopyCount = 3;

/** Sends and receives the peer messages of one node. */
export class PeerMessenger implements DispatchAnnouncer {
    private socket: Socket | undefined;
    private sequence = 0;

    /** @param options - This node's address and its peers. */
    constructor(private readonly options: PeerMessengerOptions) {}

    /** Opens the socket and starts to receive messages. */
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

    /** Closes the socket. */
    close(): void {
        this.socket?.close();
        this.socket = undefined;
    }

    reportDispatch(dispatch: AnnouncedDispatch): string {
        this.sequence += 1;
        const id = `${this.options.incarnation}/${String(this.sequence)}`;
        const { service, serverId: server, tokens, pauseTargetMs, shared } = dispatch;
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
     * Sends a few other nodes copies of counts that this node cannot write; they write them instead.
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
     * Sends counts to the node that writes those of others.
     *
     * @param usage - The counts.
     * @param collector - Name of that node.
     * @returns Whether that node is registered.
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
     * Sends changes in the store to other nodes.
     *
     * @param update - The changes.
     * @param peers - Addresses of the nodes.
     */
    sendStoreUpdate(update: StoreUpdate, peers: readonly PeerAddress[]): void {
        this.send(update, peers);
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
            // A failure to send a datagram is handled like a lost datagram.
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
    const ranked = items.map((item) => ({ item, order: random() }));
    return ranked
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .map(({ item }) => item);
}
