/**
 * What a server says of itself in the head of a response.
 *
 * @packageDocumentation
 */

/** How long a server wants nothing more from this node. */
export type RequestedPause =
    | { readonly type: "none" }
    | { readonly type: "pause"; readonly durationMs: number }
    /** The server asked for a pause in a form that cannot be read. */
    | { readonly type: "unreadable"; readonly text: string };

/** How many requests a server takes from all nodes together. */
export type NamedLimit =
    | { readonly type: "none" }
    /** Requests per second. */
    | { readonly type: "limit"; readonly perSecond: number }
    /** The server named a limit in a form that cannot be read. */
    | { readonly type: "unreadable"; readonly text: string };

/** How many rejections in a second each server of a service bears. */
export type NamedBrittleness =
    | { readonly type: "none" }
    | { readonly type: "brittle"; readonly allowed: number }
    /** The server named a number that cannot be read. */
    | { readonly type: "unreadable"; readonly text: string };

/** The notice of a server. */
export interface ServerNotice {
    /** Whether the server is about to end and wants no new requests. */
    readonly isLeaving: boolean;
    readonly pause: RequestedPause;
    readonly limit: NamedLimit;
    readonly brittleness: NamedBrittleness;
    /** Time for which the server stays cold, in milliseconds; undefined when it does not say. */
    readonly coldMs?: number | undefined;
    /** Whether the server rejected the request for want of room. */
    readonly hasNoRoom: boolean;
}
