/**
 * The places at servers of brittle services that were granted to this node and not given back.
 *
 * @packageDocumentation
 */
import type { RefusedPermit } from "@pimentocleat/policy";

/** A place that was granted to this node. */
export interface HeldPlace {
    /** Name of the node that granted it. */
    readonly keeper: string;
    /** Identifier of the request for it. */
    readonly request: number;
}

/** Gives each place back once. */
export class HeldPlaces {
    /** The places by server, the oldest first. */
    private readonly places = new Map<string, readonly HeldPlace[]>();

    /** @param sendRelease - Gives a place back to the node that granted it. */
    constructor(private readonly sendRelease: (serverId: string, place: HeldPlace) => void) {}

    /**
     * Records the reply to a request for a place. A grant that comes after the wait has ended is given back.
     *
     * @param serverId - The server.
     * @param place - The place.
     * @param refused - The refusal, or that no reply came in time; undefined when the place was granted.
     */
    recordReply(serverId: string, place: HeldPlace, refused: RefusedPermit | "silent" | undefined): void {
        if (refused === undefined) {
            this.places.set(serverId, [...(this.places.get(serverId) ?? []), place]);
        } else if (refused === "silent") {
            this.sendRelease(serverId, place);
        }
    }

    /**
     * Gives back the oldest place at a server, if there is one; the places of a server are alike.
     *
     * @param serverId - The server.
     */
    release(serverId: string): void {
        const [place, ...others] = this.places.get(serverId) ?? [];
        if (place === undefined) {
            return;
        }
        if (others.length > 0) {
            this.places.set(serverId, others);
        } else {
            this.places.delete(serverId);
        }
        this.sendRelease(serverId, place);
    }
}
