/**
 * Handlers of peers' calls, which other parts of the node provide.
 *
 * @packageDocumentation
 */

/** The active configuration of a peer. */
export interface PeerConfiguration {
    readonly revision: number;
    /** The configuration snapshot as JSON. */
    readonly content: Uint8Array;
}

/** Usage counters of another node, kept until they are in the table service. */
export interface PeerUsageCopy {
    readonly owner: string;
    readonly incarnation: number;
    readonly windowStartMs: number;
    /** Cumulative counters by customer, as JSON. */
    readonly counters: Uint8Array;
}

/** Handlers of peers' calls; each returns without waiting. */
export interface PeerHandlers {
    /** Returns the active configuration, or undefined before the first one. */
    readConfiguration(): PeerConfiguration | undefined;
    /** Called when a peer has a higher revision than this node. */
    handleHigherRevision(revision: number): void;
    /** Adds encoded withdrawals; returns those that were new. */
    addWithdrawals(withdrawals: readonly string[]): readonly string[];
    listWithdrawals(): readonly string[];
    storeUsageCopy(copy: PeerUsageCopy): void;
    /** Called with soft state of another node. */
    handleRecord(owner: string, key: string, payload: Uint8Array): void;
    /** Called when a member was declared dead or has restarted. */
    handleMemberRemoved(name: string): void;
}
