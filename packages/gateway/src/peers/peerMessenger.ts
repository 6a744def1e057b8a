/**
 * Exchanges datagrams between nodes: requests in flight, changes in the store, counts of usage, and the time of each
 * node's clock. Delivery is best effort: a lost message costs some efficiency and never breaks a guarantee.
 *
 * @packageDocumentation
 */
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import { parseBoundedJson } from "@pimentocleat/services";
import type { ForwardedUsage, UsageCopy } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import { chooseCopyHolders } from "./copyHolders.js";
import { configurationMessageSchema, type ConfigurationMessage } from "./configurationRelay.js";
import { crashMessageSchema, type CrashMessage } from "./crashNews.js";
import { newsSchema, type News } from "./dispatchNews.js";
import { limitMessageSchema, type LimitMessage } from "./limitMessages.js";
import { leavingMessageSchema, type LeavingMessage } from "./leavingMessages.js";
import { originMessageSchema, type OriginMessage } from "./originMessages.js";
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

/** Options of {@link PeerMessenger}. */
export interface PeerMessengerOptions {
    /** Name of this node. */
    readonly name: string;
    readonly host: string;
    readonly port: number;
    /** Data centre of this node. */
    readonly dataCentre: string;
    /** Lists all other nodes, any of which may receive copies of counts. */
    readonly listPeers: () => readonly PeerAddress[];
    /** The host's own clock, whose time each message carries. */
    readonly clock: Clock;
    /** Records that a message of a node arrived, and that node's wall time in milliseconds since the Unix epoch. */
    readonly recordContact: (name: string, wallMs: number) => void;
    /** Receives news of requests in flight, and the name of its sender. */
    readonly receiveNews: (news: News, from: string) => void;
    readonly logger: Logger;
    readonly random: () => number;
    /** Finds the address of a node. */
    readonly findPeer: (name: string) => PeerAddress | undefined;
    /** Receives an update from the node that reads the store for this one, and its name. */
    readonly receiveStoreUpdate: (update: StoreUpdate, from: string) => void;
    /** Receives a configuration from the node that reads the store for this one. */
    readonly receiveConfiguration: (message: ConfigurationMessage) => void;
    /** Receives a message about the origin of a stream, and the name of its sender. */
    readonly receiveOrigin: (message: OriginMessage, from: string) => void;
    /** Receives evidence about prompt parts that crash servers. */
    readonly receiveCrashes: (message: CrashMessage) => void;
    /** Receives a message about the limits of servers, and the name of its sender. */
    readonly receiveLimits: (message: LimitMessage, from: string) => void;
    /** Receives a message about a server that said that it leaves. */
    readonly receiveLeaving: (message: LeavingMessage) => void;
    /** Stores a copy of counts that another node cannot write. */
    readonly storeUsageCopy: (copy: UsageCopy) => void;
    /** Accepts counts to write for another node; the reply carries the new version of the row. */
    readonly addForwardedUsage: (usage: ForwardedUsage, reply: (version: number) => void) => void;
    /** Records that another node wrote counts of this one. */
    readonly recordStoredUsage: (stored: StoredUsage) => void;
}

const bodySchema = z.discriminatedUnion("type", [
    newsSchema,
    configurationMessageSchema,
    usageCopySchema,
    forwardedUsageSchema,
    storedUsageSchema,
    storeUpdateSchema,
    originMessageSchema,
    crashMessageSchema,
    limitMessageSchema,
    leavingMessageSchema,
]);

/** Each message carries its sender's name, which shows that the node is alive, and the time of its clock. */
const messageSchema = z.object({ from: z.string(), wallMs: z.number(), body: bodySchema });

type PeerMessage = z.infer<typeof bodySchema>;

/**
 * Number of nodes that receive a copy of counts; a datagram may be lost, and its receiver may be unable to write too.
 */
const usageCopyCount = 3;

/** Sends and receives the peer messages of one node. */
export class PeerMessenger {
    private socket: Socket | undefined;

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

    /**
     * Sends a few other nodes copies of counts that this node cannot write; they write them instead.
     *
     * @param copy - The counts.
     * @returns Whether there was a node to send them to.
     */
    sendUsageCopies(copy: UsageCopy): boolean {
        const { incarnation, windowStartMs, customers } = copy;
        const { listPeers, dataCentre, random } = this.options;
        const peers = chooseCopyHolders(listPeers(), { dataCentre, count: usageCopyCount, random });
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

    /**
     * Sends a configuration to other nodes.
     *
     * @param message - The configuration.
     * @param peers - Addresses of the nodes.
     */
    sendConfiguration(message: ConfigurationMessage, peers: readonly PeerAddress[]): void {
        this.send(message, peers);
    }

    /**
     * Sends news of requests in flight to other nodes.
     *
     * @param news - The news.
     * @param peers - Addresses of the nodes.
     */
    sendNews(news: News, peers: readonly PeerAddress[]): void {
        this.send(news, peers);
    }

    /**
     * Sends a message about the origin of a stream.
     *
     * @param name - Name of the node.
     * @param message - The message.
     * @returns Whether that node is registered.
     */
    sendOrigin(name: string, message: OriginMessage): boolean {
        return this.sendTo(name, message);
    }

    /**
     * Sends evidence about prompt parts that crash servers.
     *
     * @param message - The evidence.
     * @param peers - Addresses of the nodes.
     */
    sendCrashes(message: CrashMessage, peers: readonly PeerAddress[]): void {
        this.send(message, peers);
    }

    /**
     * Sends a message about the limits of servers.
     *
     * @param message - The message.
     * @param peers - Addresses of the nodes.
     */
    sendLimits(message: LimitMessage, peers: readonly PeerAddress[]): void {
        this.send(message, peers);
    }

    /**
     * Sends a message about a permit.
     *
     * @param name - Name of the node.
     * @param message - The message.
     * @returns Whether that node is registered.
     */
    sendPermit(name: string, message: LimitMessage): boolean {
        return this.sendTo(name, message);
    }

    /**
     * Tells other nodes of a server that said that it leaves.
     *
     * @param message - The server.
     * @param peers - Addresses of the nodes.
     */
    sendLeaving(message: LeavingMessage, peers: readonly PeerAddress[]): void {
        this.send(message, peers);
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
            message = messageSchema.parse(parseBoundedJson(bytes.toString("utf8")));
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
            case "configuration":
                options.receiveConfiguration(message);
                break;
            case "news":
                options.receiveNews(message, from);
                break;
            case "crashes":
                options.receiveCrashes(message);
                break;
            case "serverLimits":
            case "permitRequest":
            case "placeRequest":
            case "placeRelease":
            case "serverFull":
            case "permitReply":
                options.receiveLimits(message, from);
                break;
            case "serverLeaving":
                options.receiveLeaving(message);
                break;
            case "streamOrigin":
            case "originQuery":
            case "originReply":
                options.receiveOrigin(message, from);
                break;
        }
    }

    private receiveForwarded(from: string, message: ForwardedUsageMessage): void {
        const { incarnation, windowStartMs, version, requests } = message;
        const usage = { incarnation, windowStartMs, version, customers: decodeRequests(requests) };
        this.options.addForwardedUsage(usage, (newVersion) => {
            this.sendTo(from, { type: "storedUsage", incarnation, windowStartMs, version, newVersion });
        });
    }
}
