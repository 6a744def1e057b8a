/**
 * Defines the members of a deployment as one node sees them, and the precedence of conflicting statements.
 *
 * @packageDocumentation
 */

/** State of a member; at equal incarnation and refutation, the higher state takes precedence. */
export enum MembershipState {
    Alive = 1,
    Suspect = 2,
    Leaving = 3,
    Gone = 4,
}

/** Identity of one incarnation of a node, from its start to its stop. */
export interface MemberIdentity {
    readonly name: string;
    /** Wall time at the node's start, in milliseconds since the Unix epoch; a restart has a higher one. */
    readonly incarnation: number;
    readonly dataCentre: string;
    readonly peerAddress: string;
}

/** A statement of some node about a member. */
export interface MemberStatement extends MemberIdentity {
    /** Raised by the member itself to refute a suspicion. */
    readonly refutation: number;
    readonly state: MembershipState;
}

/**
 * Returns whether a statement replaces a known one.
 *
 * @param candidate - The new statement.
 * @param known - The known statement.
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
