/**
 * Chooses the node that relays a request, by what is known of the other nodes' links to backend servers. Links of one data
 * centre often fail together, so a node whose links fail speaks against its neighbours as well.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { RelayCandidate, RelayObstacle, RelaySearch } from "./relaySearch.js";

/** Options of {@link RelayChoice}. */
export interface RelayChoiceOptions {
    /** Data centre of this node. */
    readonly dataCentre: string;
    readonly clock: Clock;
    readonly random: () => number;
    /** Checks whether no message of a node has arrived lately. */
    readonly isSilent: (name: string) => boolean;
}

/** What is known of a node's links, until when. */
interface LinkEvidence {
    readonly dataCentre: string;
    /** Whether it reaches no server, rather than that it relayed a request. */
    readonly isApart: boolean;
    readonly untilMs: number;
}

/** What is known of the nodes of a data centre. */
interface DataCentreDoubt {
    /** Whether more nodes are known to reach no server than to reach some. */
    readonly isMost: boolean;
    /** Estimated share of the nodes that reach no server; a half without evidence. */
    readonly share: number;
}

const noDoubt: DataCentreDoubt = { isMost: false, share: 0.5 };
/** Time for which a node is asked last that was busy, in milliseconds. */
const busyMs = 1_000;
/** Time for which a node is taken to reach no server, or not to be there, after it was last known, in milliseconds. */
const apartMs = 3_000;
/** Time for which a relayed response speaks for the links of a data centre, in milliseconds. */
const provenMs = 10_000;
/** Number of nodes whose loads are compared. */
const comparedNodes = 2;
/** Number of nodes of which something is remembered before expired evidence is removed. */
const maximumEvidence = 4_000;

/** Steps in which the estimated share of a data centre's nodes that reach no server counts. */
const doubtSteps = 4;
/** Weights of what speaks against a node; each outweighs all that follow. */
const apartWeight = 64;
const busyWeight = 32;
/** Weight of one step. */
const doubtWeight = 4;
const silenceWeight = 2;
const distanceWeight = 1;

/** Knows the links of other nodes, and how much each relays for this one. */
export class RelayChoice {
    private readonly evidence = new Map<string, LinkEvidence>();
    private readonly busyUntilMs = new Map<string, number>();
    private readonly inFlight = new Map<string, number>();

    /** @param options - This node. */
    constructor(private readonly options: RelayChoiceOptions) {}

    /**
     * Chooses a node.
     *
     * @param candidates - The nodes that may be alive.
     * @param search - The nodes that the request has asked.
     * @param serverId - The server to which the request is to go.
     * @returns The node; undefined when none is left, or enough were asked of those that are known to be of no use.
     */
    chooseNode<Candidate extends RelayCandidate>(
        candidates: readonly Candidate[],
        search: RelaySearch,
        serverId: string,
    ): Candidate | undefined {
        const open = candidates.filter(({ name }) => search.isOpen(name, serverId));
        const weights = this.computeWeights(open, search);
        const best = Math.min(...weights);
        if (open.length === 0 || (best >= apartWeight && !search.hasLastResort())) {
            return undefined;
        }
        const pool = open.filter((...[, index]) => weights[index] === best);
        const drawn = Array.from(
            { length: comparedNodes },
            () => pool[Math.floor(this.options.random() * pool.length)],
        );
        return drawn.reduce((first, node) =>
            first !== undefined && node !== undefined && this.countInFlight(node) < this.countInFlight(first)
                ? node
                : first,
        );
    }

    /**
     * Records that a node is asked.
     *
     * @param node - The node.
     * @param search - The nodes that the request has asked.
     */
    recordAsked({ name }: RelayCandidate, search: RelaySearch): void {
        if (this.isKnownApart(name, this.options.clock.monotonicMs())) {
            search.recordLastResort();
        }
    }

    /**
     * Records that a node did not relay a request.
     *
     * @param node - The node.
     * @param obstacle - Why.
     */
    recordDeclined(node: RelayCandidate, obstacle: RelayObstacle): void {
        if (obstacle === "apart" || obstacle === "gone") {
            this.recordApart(node);
        } else if (obstacle === "busy") {
            this.busyUntilMs.set(node.name, this.options.clock.monotonicMs() + busyMs);
        }
    }

    /**
     * Records that a node does not reach the servers that others reach.
     *
     * @param node - The node.
     */
    recordApart(node: RelayCandidate): void {
        this.storeEvidence(node, true, apartMs);
    }

    /**
     * Records that a node passed on a response of a server.
     *
     * @param node - The node.
     */
    recordRelayed(node: RelayCandidate): void {
        this.storeEvidence(node, false, provenMs);
    }

    /**
     * Records that a request was given to a node or has ended there.
     *
     * @param name - Name of the node.
     * @param change - 1 when it was given, -1 when it has ended.
     */
    recordInFlight(name: string, change: 1 | -1): void {
        const count = (this.inFlight.get(name) ?? 0) + change;
        if (count > 0) {
            this.inFlight.set(name, count);
        } else {
            this.inFlight.delete(name);
        }
    }

    private computeWeights(nodes: readonly RelayCandidate[], search: RelaySearch): readonly number[] {
        const nowMs = this.options.clock.monotonicMs();
        const doubts = this.computeDoubts(nowMs);
        return nodes.map(({ name, dataCentre }) => {
            const isApart = this.isKnownApart(name, nowMs);
            const isBusy = (this.busyUntilMs.get(name) ?? 0) > nowMs;
            const doubt = doubts.get(dataCentre) ?? noDoubt;
            const isDoubted = search.isAvoided(dataCentre) || doubt.isMost;
            return (
                (isApart ? apartWeight : 0) +
                (isBusy ? busyWeight : 0) +
                (isDoubted ? doubtWeight * Math.ceil(doubt.share * doubtSteps) : 0) +
                (this.options.isSilent(name) ? silenceWeight : 0) +
                (dataCentre === this.options.dataCentre ? 0 : distanceWeight)
            );
        });
    }

    private isKnownApart(name: string, nowMs: number): boolean {
        const known = this.evidence.get(name);
        return known?.isApart === true && known.untilMs > nowMs;
    }

    /** Estimates for each data centre of which something is known how many of its nodes reach no server. */
    private computeDoubts(nowMs: number): ReadonlyMap<string, DataCentreDoubt> {
        const counts = new Map<string, { apart: number; proven: number }>();
        for (const { dataCentre, isApart, untilMs } of this.evidence.values()) {
            if (untilMs > nowMs) {
                const count = counts.get(dataCentre) ?? { apart: 0, proven: 0 };
                counts.set(dataCentre, count);
                count[isApart ? "apart" : "proven"] += 1;
            }
        }
        return new Map(
            [...counts].map(([dataCentre, { apart, proven }]) => [
                dataCentre,
                { isMost: apart > proven, share: (apart + 1) / (apart + proven + 2) },
            ]),
        );
    }

    private storeEvidence({ name, dataCentre }: RelayCandidate, isApart: boolean, forMs: number): void {
        const nowMs = this.options.clock.monotonicMs();
        if (this.evidence.size >= maximumEvidence) {
            this.removeExpired(nowMs);
        }
        this.evidence.set(name, { dataCentre, isApart, untilMs: nowMs + forMs });
    }

    private removeExpired(nowMs: number): void {
        for (const [name, { untilMs }] of this.evidence) {
            if (untilMs <= nowMs) {
                this.evidence.delete(name);
            }
        }
        for (const [name, untilMs] of this.busyUntilMs) {
            if (untilMs <= nowMs) {
                this.busyUntilMs.delete(name);
            }
        }
    }

    private countInFlight({ name }: RelayCandidate): number {
        return this.inFlight.get(name) ?? 0;
    }
}
