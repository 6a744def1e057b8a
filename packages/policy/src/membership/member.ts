/**
 * Members of a deployment as one node sees them, and the order of conflicting statements.
 *
 * @packageDocumentation
 */

/** State of a member; a later state wins at equal incarnation and refutation. */
export enum MembershipState {
    Alive = 1,
    Suspect = 2,
    Leaving = 3,
    Gone = 4,
}

/** Identity of one run of a node. */
export interface MemberIdentity {
    readonly name: string;
    /** Wall time at the node's start, in milliseconds since the Unix epoch; a restart is higher. */
    readonly incarnation: number;
    readonly dataCentre: string;
    readonly peerAddress: string;
}

/** A statement about a member. */
export interface MemberStatement extends MemberIdentity {
    /** Raised by the member itself to refute a suspicion. */
    readonly refutation: number;
    readonly state: MembershipState;
}

/**
 * Tells whether a statement replaces a known one.
 *
 * @param candidate - The new statement.
 * @param known - The statement held so far.
 * @returns Whether the candidate is newer.
 */
export function isNewerStatement(candidate: MemberStatement, known: MemberStatement): boolean {
    if (candidate.incarnation !== known.incarnation) {
        return candidate.incarnation > known.incarnation;
    }
    if (candidate.refutation !== known.refutation) {
        return candidate.refutation > known.refutation;
    }
    return candidate.state > known.state;
}
