/**
 * Finds the service and software version at which a stream began, on whichever node its caller takes it up. The node that begins a
 * stream tells a few nodes that the request's identifier selects; any other node asks them.
 *
 * @packageDocumentation
 */
import { StreamOrigins, type StreamOrigin, type VersionHistory } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import { buildBoundedKey } from "../dispatch/boundedKey.js";
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
    /** Reads the registrations of the servers from the store; resolves to whether that succeeded. */
    readonly readServers: () => Promise<boolean>;
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
    /** What the other nodes concluded from the versions that they have seen. */
    readonly concluded: StreamOrigin[];
    /** Called with the origin that a node has recorded, or with undefined after the last reply. */
    readonly resolve: (origin: StreamOrigin | undefined) => void;
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
     * @param identifier - Identifier of the request whose response brings the first event.
     * @param origin - Where it began.
     */
    reportOrigin(identifier: string, origin: StreamOrigin): void {
        const requestId = buildBoundedKey(identifier);
        this.origins.recordOrigin(requestId, origin);
        for (const keeper of this.listOtherKeepers(requestId, toldNodes)) {
            this.options.send(keeper, { type: "streamOrigin", requestId, origin: { ...origin } });
        }
    }

    /**
     * Finds where a stream began. What a node has recorded goes before what the versions in service tell: the timeouts that
     * bound a stream's life may have been shortened just before this node started, a caller may resume a stream more often
     * than they allow for, and this node may have missed that servers of another version joined.
     *
     * @param services - Services at which it may have begun.
     * @param identifier - Identifier of the request whose response brought the first event; undefined when unknown.
     * @returns The origin; undefined when no node knows it and several versions or services are possible.
     */
    async resolveOrigin(
        services: readonly string[],
        identifier: string | undefined,
    ): Promise<StreamOrigin | undefined> {
        const requestId = identifier === undefined ? undefined : buildBoundedKey(identifier);
        const origin = this.findRecorded(requestId) ?? (await this.requestOrigin(services, requestId));
        const recorded = this.findRecorded(requestId);
        if (requestId !== undefined && recorded !== undefined) {
            this.reportOrigin(requestId, recorded);
        }
        return origin;
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
                this.origins.recordOrigin(buildBoundedKey(message.requestId), message.origin);
                break;
            case "originQuery": {
                const recorded = this.findRecorded(message.requestId);
                const origin = recorded ?? this.findOnlyOrigin(message.services);
                const isRecorded = recorded !== undefined;
                this.options.send(from, { type: "originReply", query: message.query, origin, isRecorded });
                break;
            }
            case "originReply":
                this.handleReply(message.query, message.origin, message.isRecorded);
                break;
        }
    }

    private findRecorded(requestId: string | undefined): StreamOrigin | undefined {
        return requestId === undefined ? undefined : this.origins.findOrigin(buildBoundedKey(requestId));
    }

    /** Concludes the origin from the only version that served for the life of a stream. */
    private findOnlyOrigin([service, ...others]: readonly string[]): StreamOrigin | undefined {
        if (service === undefined || others.length > 0) {
            return undefined;
        }
        const spanMs = this.options.readLongestStreamMs(service);
        const softwareVersion = this.options.history.findOnlyVersion(service, spanMs);
        return softwareVersion === undefined ? undefined : { service, softwareVersion };
    }

    /**
     * Concludes the origin from the versions that this node has seen. The stream may have begun at a server of which this
     * node has not heard yet, so the registrations are read first.
     */
    private async concludeOrigin(
        services: readonly string[],
        concluded: readonly StreamOrigin[],
    ): Promise<StreamOrigin | undefined> {
        if (this.findOnlyOrigin(services) === undefined || !(await this.options.readServers())) {
            return undefined;
        }
        const own = this.findOnlyOrigin(services);
        return own === undefined ? undefined : selectAgreed([own, ...concluded]);
    }

    private async requestOrigin(
        services: readonly string[],
        requestId: string | undefined,
    ): Promise<StreamOrigin | undefined> {
        const keepers = this.listOtherKeepers(requestId ?? services.join(), askedNodes);
        const concluded: StreamOrigin[] = [];
        if (keepers.length === 0) {
            return this.concludeOrigin(services, concluded);
        }
        this.lastQuery += 1;
        const query = this.lastQuery;
        const reply = new Promise<StreamOrigin | undefined>((resolve) => {
            this.pending.set(query, { missing: keepers.length, concluded, resolve });
        });
        for (const keeper of keepers) {
            if (
                !this.options.send(keeper, { type: "originQuery", query, services: [...services], requestId })
            ) {
                this.handleReply(query, undefined);
            }
        }
        const timeout = this.options.clock.wait(replyTimeoutMs).then(() => undefined);
        const recorded = await Promise.race([reply, timeout]);
        this.pending.delete(query);
        if (recorded !== undefined && requestId !== undefined) {
            this.origins.recordOrigin(requestId, recorded);
        }
        if (recorded !== undefined) {
            return recorded;
        }
        // A few replies may be from nodes that missed the same change as this one.
        const isMajority = concluded.length > keepers.length / 2;
        return isMajority ? selectAgreed(concluded) : this.concludeOrigin(services, concluded);
    }

    private handleReply(query: number, origin: StreamOrigin | undefined, isRecorded = false): void {
        const pending = this.pending.get(query);
        if (pending === undefined) {
            return;
        }
        pending.missing -= 1;
        if (origin !== undefined && !isRecorded) {
            pending.concluded.push(origin);
        }
        if (isRecorded || pending.missing === 0) {
            pending.resolve(isRecorded ? origin : undefined);
        }
    }

    private listOtherKeepers(key: string, count: number): readonly string[] {
        return this.options.listKeepers(key, count).filter((name) => name !== this.options.name);
    }
}

/** Returns what all nodes have concluded; undefined when they differ or none did. */
function selectAgreed([first, ...others]: readonly StreamOrigin[]): StreamOrigin | undefined {
    const isAgreed = others.every(
        ({ service, softwareVersion }) =>
            service === first?.service && softwareVersion === first.softwareVersion,
    );
    return isAgreed ? first : undefined;
}
