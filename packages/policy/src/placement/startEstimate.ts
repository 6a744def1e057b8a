/**
 * What a request would meet at the server that would start it first, for admission control.
 *
 * @packageDocumentation
 */

/** The predicted start of a request. */
export interface StartEstimate {
    readonly serverId: string;
    /** Predicted time to the first event or, for plain services, to the complete answer, in milliseconds. */
    readonly startMs: number;
    /** Whether the server has a slot and memory for the request now. */
    readonly hasRoom: boolean;
    /** Expected number of streams, this one included, that would miss their pause targets because of it. */
    readonly delayedStreams: number;
}
