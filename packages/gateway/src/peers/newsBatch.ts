/**
 * News of requests in flight as nodes send it to each other, and batches of it.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import type { PromptPart, ServerPlacement } from "@pimentocleat/policy";

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
    /** Tokens of the prompt and the output that no other request shares; undefined when nobody needs them. */
    readonly ownTokens?: number | undefined;
}

/** Identifier, server, prompt tokens, pause target in milliseconds (0 if not streamed) and shared parts of a dispatch. */
const dispatchSchema = z.tuple([
    z.string(),
    z.string(),
    z.number().nonnegative(),
    z.number().nonnegative(),
    z.array(z.tuple([z.string(), z.number().nonnegative()])),
]);

/** Schema of the news of one service; the lists without a dispatch hold identifiers. */
export const serviceNewsSchema = z.object({
    service: z.string(),
    sent: z.array(dispatchSchema),
    started: z.array(z.string()),
    ended: z.array(z.string()),
    /**
     * Identifiers and sizes of dispatches, in tokens that no other request shares. Apart from the dispatches, since builds
     * that do not know sizes reject longer tuples.
     */
    sizes: z.array(z.tuple([z.string(), z.number().nonnegative()])).optional(),
});

/** News of the requests of one service. */
export type ServiceNews = z.infer<typeof serviceNewsSchema>;

/** Collects news until it is sent. */
export class NewsBatch {
    private services = new Map<string, ServiceNews>();

    /**
     * Adds a request that was sent.
     *
     * @param id - Identifier of the dispatch, unique among all nodes.
     * @param dispatch - The request.
     */
    addDispatch(id: string, dispatch: AnnouncedDispatch): void {
        const { service, serverId, tokens, pauseTargetMs, shared, ownTokens } = dispatch;
        const parts = shared.map((part): [string, number] => [part.id, part.tokens]);
        const news = this.ensureService(service);
        news.sent.push([id, serverId, tokens, pauseTargetMs ?? 0, parts]);
        if (ownTokens !== undefined) {
            addSizes(news, [[id, ownTokens]]);
        }
    }

    /**
     * Adds the first event of a request.
     *
     * @param service - Name of the service.
     * @param id - Identifier of the dispatch.
     */
    addFirstEvent(service: string, id: string): void {
        this.ensureService(service).started.push(id);
    }

    /**
     * Adds the end of a request.
     *
     * @param service - Name of the service.
     * @param id - Identifier of the dispatch.
     */
    addEnd(service: string, id: string): void {
        this.ensureService(service).ended.push(id);
    }

    /**
     * Adds the news of another batch.
     *
     * @param news - The news, by service.
     */
    merge(news: readonly ServiceNews[]): void {
        for (const { service, sent, started, ended, sizes } of news) {
            const own = this.ensureService(service);
            own.sent.push(...sent);
            own.started.push(...started);
            own.ended.push(...ended);
            addSizes(own, sizes ?? []);
        }
    }

    /** @returns Whether there is no news. */
    isEmpty(): boolean {
        return this.services.size === 0;
    }

    /** @returns The collected news; the batch is empty afterwards. */
    take(): readonly ServiceNews[] {
        const news = [...this.services.values()];
        this.services = new Map();
        return news;
    }

    private ensureService(service: string): ServiceNews {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const created: ServiceNews = { service, sent: [], started: [], ended: [] };
        this.services.set(service, created);
        return created;
    }
}

/** Adds sizes; the list stays absent while there are none. */
function addSizes(news: ServiceNews, sizes: readonly [string, number][]): void {
    if (sizes.length > 0) {
        (news.sizes ??= []).push(...sizes);
    }
}

/**
 * Records the news of one service in its placement. Dispatches come first, so that the events of a request that was
 * sent, started and ended within one batch apply in order.
 *
 * @param news - The news.
 * @param placement - The placement of the service.
 * @param isOwn - Whether a dispatch is one of this node's, which the placement knows already.
 */
export function recordNews(
    news: ServiceNews,
    placement: ServerPlacement,
    isOwn: (id: string) => boolean,
): void {
    const sizes = new Map(news.sizes);
    for (const [id, serverId, tokens, pauseMs, parts] of news.sent) {
        if (isOwn(id)) {
            continue;
        }
        const pauseTargetMs = pauseMs === 0 ? undefined : pauseMs;
        const shared = parts.map(([part, count]) => ({ id: part, tokens: count }));
        const ownTokens = sizes.get(id);
        placement.recordPeerDispatch({ id, serverId, tokens, pauseTargetMs, ownTokens }, shared);
    }
    news.started.forEach((id) => placement.recordPeerFirstEvent(id));
    news.ended.forEach((id) => placement.recordPeerEnd(id));
}
