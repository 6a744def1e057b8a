/**
 * Finds the software version at which a stream began, on whichever node its caller takes it up. The node that begins a
 * stream tells a few nodes that the request's identifier selects; any other node asks them.
 *
 * @packageDocumentation
 */
import { StreamOrigins, type VersionHistory } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { OriginMessage } from "./originMessages.js";

/** Options of {@link OriginDirectory}. */
export interface OriginDirectoryOptions {
    readonly name: string;
    readonly clock: WaitingClock;
    readonly history: VersionHistory;
    /** Reads how long a stream of a service may run before its caller takes it up, in milliseconds. */
    readonly readLongestStreamMs: (service: string) => number;
    /** Lists the nodes that an identifier selects, the most preferred first; may include this node. */
    readonly listKeepers: (requestId: string, count: number) => readonly string[];
    /** Sends a message to a node; returns whether its address is known. */
    readonly send: (name: string, message: OriginMessage) => boolean;
}

/** Number of nodes that are told where a stream began, so that some remain when others restart. */
const toldNodes = 3;
/** Number of nodes that are asked; more than are told, because nodes may have joined or left meanwhile. */
const askedNodes = 5;
/** Time to wait for replies, in milliseconds; beyond it the origin counts as unknown. */
const replyTimeoutMs = 250;

interface PendingQuery {
    /** Number of nodes that have not replied yet. */
    missing: number;
    readonly resolve: (softwareVersion: string | undefined) => void;
}

/** Records the origins of streams and asks other nodes for them. */
export class OriginDirectory {
    private readonly origins: StreamOrigins;
    private readonly pending = new Map<number, PendingQuery>();
    private lastQuery = 0;

    /** @param options - This node, its peers and the versions that served lately. */
    constructor(private readonly options: OriginDirectoryOptions) {
        this.origins = new StreamOrigins(options.clock);
    }

    /**
     * Records that a stream began, and tells the nodes that keep its origin.
     *
     * @param requestId - Identifier of the request whose response brings the first event.
     * @param softwareVersion - Version of the server that sent the event.
     */
    reportOrigin(requestId: string, softwareVersion: string): void {
        this.origins.recordOrigin(requestId, softwareVersion);
        for (const keeper of this.listOtherKeepers(requestId, toldNodes)) {
            this.options.send(keeper, { type: "streamOrigin", requestId, softwareVersion });
        }
    }

    /**
     * Finds the software version at which a stream began.
     *
     * @param service - Service of the stream.
     * @param requestId - Identifier of the request whose response brought the first event; undefined when unknown.
     * @returns The version; undefined when no node knows it and several versions may have served.
     */
    async resolveVersion(service: string, requestId: string | undefined): Promise<string | undefined> {
        return this.findVersion(service, requestId) ?? this.requestVersion(service, requestId);
    }

    /**
     * Applies a message of another node.
     *
     * @param message - The message.
     * @param from - Name of the node.
     */
    receiveMessage(message: OriginMessage, from: string): void {
        switch (message.type) {
            case "streamOrigin":
                this.origins.recordOrigin(message.requestId, message.softwareVersion);
                break;
            case "originQuery": {
                const softwareVersion = this.findVersion(message.service, message.requestId);
                this.options.send(from, { type: "originReply", query: message.query, softwareVersion });
                break;
            }
            case "originReply":
                this.handleReply(message.query, message.softwareVersion);
                break;
        }
    }

    private findVersion(service: string, requestId: string | undefined): string | undefined {
        const recorded = requestId === undefined ? undefined : this.origins.findVersion(requestId);
        const spanMs = this.options.readLongestStreamMs(service);
        return recorded ?? this.options.history.findOnlyVersion(service, spanMs);
    }

    private async requestVersion(
        service: string,
        requestId: string | undefined,
    ): Promise<string | undefined> {
        const keepers = this.listOtherKeepers(requestId ?? service, askedNodes);
        if (keepers.length === 0) {
            return undefined;
        }
        this.lastQuery += 1;
        const query = this.lastQuery;
        const reply = new Promise<string | undefined>((resolve) => {
            this.pending.set(query, { missing: keepers.length, resolve });
        });
        for (const keeper of keepers) {
            if (!this.options.send(keeper, { type: "originQuery", query, service, requestId })) {
                this.handleReply(query, undefined);
            }
        }
        const timeout = this.options.clock.wait(replyTimeoutMs).then(() => undefined);
        const softwareVersion = await Promise.race([reply, timeout]);
        this.pending.delete(query);
        return softwareVersion;
    }

    private handleReply(query: number, softwareVersion: string | undefined): void {
        const pending = this.pending.get(query);
        if (pending === undefined) {
            return;
        }
        pending.missing -= 1;
        if (softwareVersion !== undefined || pending.missing === 0) {
            pending.resolve(softwareVersion);
        }
    }

    private listOtherKeepers(key: string, count: number): readonly string[] {
        return this.options.listKeepers(key, count).filter((name) => name !== this.options.name);
    }
}
