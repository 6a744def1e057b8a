/**
 * What other parts of the node do when a peer asks.
 *
 * @packageDocumentation
 */

/** A configuration that a peer has in force. */
export interface PeerConfiguration {
    readonly revision: number;
    /** The merged configuration as JSON. */
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

/** Handlers of peers' calls; each returns at once. */
export interface PeerHandlers {
    /** The configuration in force, or undefined before the first one. */
    readConfiguration(): PeerConfiguration | undefined;
    /** Called when a peer has a higher revision than this node. */
    handleHigherRevision(revision: number): void;
    /** Adds withdrawals; returns those that were new. */
    addWithdrawals(keyIds: readonly string[]): readonly string[];
    listWithdrawals(): readonly string[];
    storeUsageCopy(copy: PeerUsageCopy): void;
    /** Called with soft state of another node. */
    handleRecord(owner: string, key: string, payload: Uint8Array): void;
    /** Called when a member is declared gone. */
    handleMemberRemoved(name: string): void;
}
