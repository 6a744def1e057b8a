/**
 * Tells all nodes which requests are in flight. In a small deployment each node tells all others directly. In a larger
 * one it tells the reader of its data centre, which sends batches to its neighbours and to the readers of the other
 * data centres: a node then receives a bounded number of messages, whatever the number of nodes.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { WaitingClock } from "@pimentocleat/types";
import type { ServiceDispatchRegistry } from "../dispatch/serviceDispatch.js";
import { NewsBatch, recordNews, serviceNewsSchema, type AnnouncedDispatch } from "./newsBatch.js";
import type { PeerAddress } from "./peerDirectory.js";

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

/** Schema of a message with news. */
export const newsSchema = z.object({
    type: z.literal("news"),
    /** Who sends it: a node its own news, a reader that of its data centre to another one, or a reader all it knows. */
    origin: z.enum(["node", "otherDataCentre", "reader"]),
    services: z.array(serviceNewsSchema),
    /** Names of nodes that the sender heard since its last message, and their wall times in milliseconds. */
    heard: z.array(z.tuple([z.string(), z.number()])).optional(),
});

/** A message with news. */
export type News = z.infer<typeof newsSchema>;

/** Options of {@link DispatchNews}. */
export interface DispatchNewsOptions {
    /** Identifier of this process; makes the identifiers of its dispatches unique among all nodes. */
    readonly incarnation: string;
    readonly clock: WaitingClock;
    readonly dispatches: ServiceDispatchRegistry;
    /** Whether the deployment is so large that news is passed on by readers. */
    readonly isRelayed: () => boolean;
    /** Whether this node is the reader of its data centre. */
    readonly isReader: () => boolean;
    /** Finds the address of the reader of this data centre. */
    readonly findReader: () => PeerAddress | undefined;
    /** Lists the nodes that are told directly. */
    readonly listPeers: () => readonly PeerAddress[];
    /** Lists the other nodes of this data centre. */
    readonly listNeighbours: () => readonly PeerAddress[];
    /** Lists the likely readers of the other data centres. */
    readonly listOtherReaders: () => readonly PeerAddress[];
    readonly send: (news: News, peers: readonly PeerAddress[]) => void;
    /** Records that a node is alive, and its wall time in milliseconds since the Unix epoch. */
    readonly recordContact: (name: string, wallMs: number) => void;
}

/** Time for which a reader collects news before it sends a batch, in milliseconds. */
const batchIntervalMs = 80;
/** Time until the other nodes know of a request that is told directly, in milliseconds. */
const directDelayMs = 5;
/** The same time when readers pass the news on, in milliseconds: on average half a batch here and one elsewhere. */
const relayedDelayMs = 1.5 * batchIntervalMs;
/**
 * The same time for requests that are not announced in a large deployment, in milliseconds: far longer than a request, as
 * a node sees its own few requests only.
 */
const unannouncedDelayMs = 60_000;
/** Time for which the answer whether this node is the reader is reused, in milliseconds. */
const readerCheckIntervalMs = 250;

/** The wall time of a node, and when it was heard. */
interface HeardNode {
    readonly wallMs: number;
    readonly atMs: number;
}

/** Sends the news of this node, and passes on that of others while this node is the reader. */
export class DispatchNews implements DispatchAnnouncer {
    private sequence = 0;
    /** News of this data centre that was not yet sent. */
    private readonly near = new NewsBatch();
    /** News of other data centres that was not yet passed on to the neighbours. */
    private readonly far = new NewsBatch();
    private heard = new Map<string, HeardNode>();
    private isFlushPlanned = false;
    private reading = { isReader: false, untilMs: Number.NEGATIVE_INFINITY };

    /** @param options - This node and its peers. */
    constructor(private readonly options: DispatchNewsOptions) {}

    reportDispatch(dispatch: AnnouncedDispatch): string {
        this.sequence += 1;
        const id = `${this.options.incarnation}.${this.sequence.toString(36)}`;
        this.spread((batch) => batch.addDispatch(id, dispatch));
        return id;
    }

    reportFirstEvent(service: string, id: string): void {
        this.spread((batch) => batch.addFirstEvent(service, id));
    }

    reportEnd(service: string, id: string): void {
        this.spread((batch) => batch.addEnd(service, id));
    }

    /**
     * Estimates the time until all nodes know of a request.
     *
     * @param isAnnounced - Whether nodes announce the requests of the service.
     * @returns The time, in milliseconds.
     */
    readDelayMs(isAnnounced: boolean): number {
        if (!this.options.isRelayed()) {
            return directDelayMs;
        }
        return isAnnounced ? relayedDelayMs : unannouncedDelayMs;
    }

    /**
     * Applies the news of another node, and passes it on where this node is the reader.
     *
     * @param news - The news.
     */
    receiveNews(news: News): void {
        const { options } = this;
        for (const service of news.services) {
            const { placement } = options.dispatches.ensureService(service.service);
            recordNews(service, placement, (id) => id.startsWith(`${options.incarnation}.`));
        }
        news.heard?.forEach(([name, wallMs]) => options.recordContact(name, wallMs));
        if (news.origin === "reader" || !options.isRelayed()) {
            return;
        }
        if (this.isReader()) {
            (news.origin === "node" ? this.near : this.far).merge(news.services);
            this.planFlush();
        } else if (news.origin === "otherDataCentre") {
            const reader = options.findReader();
            if (reader !== undefined) {
                options.send(news, [reader]);
            }
        }
    }

    /**
     * Records that a message of a node arrived, for the neighbours that do not hear that node themselves.
     *
     * @param name - Name of the node.
     * @param wallMs - Wall time of the node, in milliseconds since the Unix epoch.
     */
    recordHeard(name: string, wallMs: number): void {
        if (this.options.isRelayed() && this.isReader()) {
            this.heard.set(name, { wallMs, atMs: this.options.clock.monotonicMs() });
        }
    }

    private spread(addTo: (batch: NewsBatch) => void): void {
        const { options } = this;
        if (options.isRelayed() && this.isReader()) {
            addTo(this.near);
            this.planFlush();
            return;
        }
        const batch = new NewsBatch();
        addTo(batch);
        const reader = options.isRelayed() ? options.findReader() : undefined;
        const peers = reader === undefined ? options.listPeers() : [reader];
        options.send({ type: "news", origin: "node", services: [...batch.take()] }, peers);
    }

    private isReader(): boolean {
        const nowMs = this.options.clock.monotonicMs();
        if (nowMs >= this.reading.untilMs) {
            this.reading = { isReader: this.options.isReader(), untilMs: nowMs + readerCheckIntervalMs };
        }
        return this.reading.isReader;
    }

    private planFlush(): void {
        if (this.isFlushPlanned) {
            return;
        }
        this.isFlushPlanned = true;
        void this.options.clock.wait(batchIntervalMs).then(() => {
            this.isFlushPlanned = false;
            this.flush();
        });
    }

    private flush(): void {
        const { options } = this;
        const near = this.near.take();
        const far = this.far.take();
        const heard = this.takeHeard();
        options.send(
            { type: "news", origin: "reader", services: [...near, ...far], heard },
            options.listNeighbours(),
        );
        if (near.length > 0) {
            const news: News = { type: "news", origin: "otherDataCentre", services: [...near] };
            options.send(news, options.listOtherReaders());
        }
    }

    private takeHeard(): [string, number][] {
        const nowMs = this.options.clock.monotonicMs();
        const heard = [...this.heard].map(([name, { wallMs, atMs }]): [string, number] => [
            name,
            wallMs + Math.round(nowMs - atMs),
        ]);
        this.heard = new Map();
        return heard;
    }
}
