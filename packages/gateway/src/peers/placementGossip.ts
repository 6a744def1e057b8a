/**
 * Tells the other nodes what was sent where, by datagrams. All of it is soft: a lost message costs some
 * efficiency, never a promise.
 *
 * @packageDocumentation
 */
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import type { PromptPart } from "@pimentocleat/policy";
import type { Logger } from "@pimentocleat/telemetry";
import type { ServiceDispatches } from "../dispatch/serviceDispatch.js";
import type { PeerAddress } from "./peerDirectory.js";

/** Tells others of sends. */
export interface SendAnnouncer {
    /**
     * Tells of a send.
     *
     * @param service - The service.
     * @param serverId - The server.
     * @param tokens - Prompt tokens that the server has to read.
     * @param shared - The prompt's shared parts.
     * @returns Names the send for {@link SendAnnouncer.announceStart}.
     */
    announceSend(service: string, serverId: string, tokens: number, shared: readonly PromptPart[]): string;
    /**
     * Tells that a send got its first event or ended.
     *
     * @param service - The service.
     * @param id - Names the send.
     */
    announceStart(service: string, id: string): void;
}

/** Options of {@link PlacementGossip}. */
export interface PlacementGossipOptions {
    readonly host: string;
    readonly port: number;
    /** This process; names its sends among all nodes. */
    readonly incarnation: string;
    readonly listPeers: () => readonly PeerAddress[];
    readonly dispatches: ServiceDispatches;
    readonly logger: Logger;
}

const messageSchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("send"),
        service: z.string(),
        id: z.string(),
        server: z.string(),
        tokens: z.number().nonnegative(),
        parts: z.array(z.tuple([z.string(), z.number().nonnegative()])),
    }),
    z.object({ type: z.literal("start"), service: z.string(), id: z.string() }),
]);

type GossipMessage = z.infer<typeof messageSchema>;

/** Sends and receives the messages of one node. */
export class PlacementGossip implements SendAnnouncer {
    private socket: Socket | undefined;
    private sequence = 0;

    /** @param options - This node's address and its peers. */
    constructor(private readonly options: PlacementGossipOptions) {}

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

    announceSend(service: string, serverId: string, tokens: number, shared: readonly PromptPart[]): string {
        this.sequence += 1;
        const id = `${this.options.incarnation}/${String(this.sequence)}`;
        const parts = shared.map((part): [string, number] => [part.id, part.tokens]);
        this.spread({ type: "send", service, id, server: serverId, tokens, parts });
        return id;
    }

    announceStart(service: string, id: string): void {
        this.spread({ type: "start", service, id });
    }

    private spread(message: GossipMessage): void {
        const bytes = Buffer.from(JSON.stringify(message));
        for (const peer of this.options.listPeers()) {
            // A datagram that cannot be sent is one that is lost.
            this.socket?.send(bytes, peer.port, peer.host, () => undefined);
        }
    }

    private receiveMessage(bytes: Buffer): void {
        let message: GossipMessage;
        try {
            message = messageSchema.parse(JSON.parse(bytes.toString("utf8")));
        } catch (error) {
            this.options.logger.writeEvent("peerMessageUnreadable", { reason: String(error) });
            return;
        }
        const { placement } = this.options.dispatches.ensureService(message.service);
        if (message.type === "start") {
            placement.removePeerSend(message.id);
            return;
        }
        const shared = message.parts.map(([id, tokens]) => ({ id, tokens }));
        const { id, server: serverId, tokens } = message;
        placement.recordPeerSend({ id, serverId, tokens }, shared);
    }
}
