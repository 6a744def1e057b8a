/**
 * Implements the membership policy of one node: discovery from the platform's lagging host list, direct and
 * relayed probes, suspicion with refutation, and updates piggybacked on probes. The cost of a probe period
 * doesn't depend on the number of members. Does no I/O: the caller sends the probes and records their results.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { isNewerStatement, MembershipState, type MemberIdentity, type MemberStatement } from "./member.js";
import { RumorQueue } from "./rumorQueue.js";

/** Settings of a {@link MemberTable}. */
export interface MemberTableSettings {
    /** Time within which a suspect must refute before it is declared gone, in milliseconds. */
    readonly suspicionMs: number;
    /** Time for which a gone member is remembered, so that old statements don't revive it, in milliseconds. */
    readonly tombstoneMs: number;
    /** Maximum number of member updates in one message. */
    readonly updatesPerMessage: number;
    /** Number of known members that each message repeats, in rotation, to recover from lost updates. */
    readonly refreshPerMessage: number;
}

/** Defaults of {@link MemberTableSettings}. */
export const defaultMemberTableSettings: MemberTableSettings = {
    suspicionMs: 3_000,
    tombstoneMs: 600_000,
    updatesPerMessage: 12,
    refreshPerMessage: 4,
};

/** Options of a {@link MemberTable}. */
export interface MemberTableOptions {
    readonly clock: Clock;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
    readonly self: MemberIdentity;
    readonly settings?: MemberTableSettings;
}

interface KnownMember {
    statement: MemberStatement;
    changedAtMs: number;
}

/** A host of the platform's host list that may be a member. */
export interface DiscoveredHost {
    readonly name: string;
    readonly dataCentre: string;
    readonly peerAddress: string;
}

/** Holds the members of a deployment as one node sees them. */
export class MemberTable {
    private readonly clock: Clock;
    private readonly random: () => number;
    private readonly settings: MemberTableSettings;
    private readonly known = new Map<string, KnownMember>();
    private readonly rumors = new RumorQueue<MemberStatement>();
    private discovered: readonly DiscoveredHost[] = [];
    private probeOrder: string[] = [];
    private refreshOrder: string[] = [];
    private self: MemberStatement;

    /** @param options - Clock, random source, own identity and settings. */
    constructor(options: MemberTableOptions) {
        this.clock = options.clock;
        this.random = options.random;
        this.settings = options.settings ?? defaultMemberTableSettings;
        this.self = { ...options.self, refutation: 0, state: MembershipState.Alive };
        this.rumors.addRumor(this.self.name, this.self);
    }

    /**
     * Replaces the hosts known from the platform's host list. The list lags, so it only adds addresses to
     * probe: it neither proves that a host is alive nor removes one that answers.
     *
     * @param hosts - Entry hosts in the list.
     */
    updateDiscovered(hosts: readonly DiscoveredHost[]): void {
        this.discovered = hosts.filter((host) => host.peerAddress !== this.self.peerAddress);
    }

    /**
     * Chooses the next address to probe. Chooses each candidate once, in random order, before repeating any.
     *
     * @returns An address, or undefined when there is no candidate.
     */
    chooseProbeAddress(): string | undefined {
        const candidates = this.listCandidateAddresses();
        if (candidates.size === 0) {
            return undefined;
        }
        this.probeOrder = this.probeOrder.filter((address) => candidates.has(address));
        if (this.probeOrder.length === 0) {
            this.probeOrder = this.orderRandomly([...candidates]);
        }
        return this.probeOrder.pop();
    }

    /**
     * Chooses members that can probe a node on behalf of this node.
     *
     * @param exceptAddress - Address of the node to be probed.
     * @param count - Maximum number of members.
     * @returns Addresses of members that are alive.
     */
    chooseRelayAddresses(exceptAddress: string, count: number): readonly string[] {
        const alive = this.listAlive().map((member) => member.peerAddress);
        return this.orderRandomly(alive.filter((address) => address !== exceptAddress)).slice(0, count);
    }

    /**
     * Records a message from a member, which proves that its incarnation is alive.
     *
     * @param identity - Identity that the member sent.
     */
    recordContact(identity: MemberIdentity): void {
        const known = this.known.get(identity.name)?.statement;
        if (known?.incarnation === identity.incarnation) {
            // A message doesn't end a suspicion: only the member itself can refute it, and learns of it in the same
            // exchange.
            return;
        }
        this.applyStatement({ ...identity, refutation: 0, state: MembershipState.Alive });
    }

    /**
     * Records that neither a direct nor a relayed probe reached an address, and suspects the member there.
     *
     * @param address - The peer address.
     */
    recordUnreachable(address: string): void {
        for (const { statement } of this.known.values()) {
            const isAlive = statement.state === MembershipState.Alive;
            if (statement.peerAddress === address && isAlive) {
                this.applyStatement({ ...statement, state: MembershipState.Suspect });
            }
        }
    }

    /**
     * Merges statements received from a peer.
     *
     * @param statements - Statements from the peer.
     */
    mergeStatements(statements: readonly MemberStatement[]): void {
        for (const statement of statements) {
            if (statement.name === this.self.name) {
                this.refuteStatement(statement);
            } else {
                this.applyStatement(statement);
            }
        }
    }

    /** Announces that this node is about to stop. */
    recordOwnLeaving(): void {
        this.self = { ...this.self, state: MembershipState.Leaving };
        this.rumors.addRumor(this.self.name, this.self);
    }

    /**
     * Declares suspects gone that did not refute in time, and removes expired tombstones.
     *
     * @returns Names of the members declared gone by this call.
     */
    removeExpired(): readonly string[] {
        const nowMs = this.clock.monotonicMs();
        const gone: string[] = [];
        for (const [name, member] of this.known) {
            const ageMs = nowMs - member.changedAtMs;
            const { state } = member.statement;
            if (state === MembershipState.Suspect && ageMs >= this.settings.suspicionMs) {
                this.applyStatement({ ...member.statement, state: MembershipState.Gone });
                gone.push(name);
            }
            if (state === MembershipState.Gone && ageMs >= this.settings.tombstoneMs) {
                this.known.delete(name);
            }
        }
        return gone;
    }

    /**
     * Takes the updates to piggyback on one message.
     *
     * @param receiver - Name of the receiver, if known; a receiver known as suspect or gone always gets the
     * statement about itself, so that it can refute it.
     * @returns At most the configured numbers of updates and repeats, plus one about the receiver.
     */
    takeUpdates(receiver?: string): readonly MemberStatement[] {
        const rumors = this.rumors.takeRumors(this.settings.updatesPerMessage, this.known.size + 1);
        const updates = [...new Set([...rumors, ...this.takeRefreshes()])];
        const aboutReceiver = receiver === undefined ? undefined : this.known.get(receiver)?.statement;
        const isRefutable =
            aboutReceiver?.state === MembershipState.Suspect || aboutReceiver?.state === MembershipState.Gone;
        if (aboutReceiver !== undefined && isRefutable && !updates.includes(aboutReceiver)) {
            updates.push(aboutReceiver);
        }
        return updates;
    }

    /**
     * Finds the name of the member at an address.
     *
     * @param address - The peer address.
     * @returns The name, or undefined when no known member has the address.
     */
    findName(address: string): string | undefined {
        const statements = this.listStatements();
        return statements.find((statement) => statement.peerAddress === address)?.name;
    }

    /** @returns Other members that are alive, suspect or leaving. */
    listPresent(): readonly MemberStatement[] {
        return this.listStatements().filter((statement) => statement.state !== MembershipState.Gone);
    }

    /** @returns Other members that are alive. */
    listAlive(): readonly MemberStatement[] {
        return this.listStatements().filter((statement) => statement.state === MembershipState.Alive);
    }

    /** @returns This node's own statement. */
    readSelf(): MemberStatement {
        return this.self;
    }

    private takeRefreshes(): MemberStatement[] {
        if (this.refreshOrder.length === 0) {
            this.refreshOrder = this.listPresent().map((member) => member.name);
        }
        const names = this.refreshOrder.splice(0, this.settings.refreshPerMessage);
        return names.flatMap((name) => this.known.get(name)?.statement ?? []);
    }

    private listStatements(): readonly MemberStatement[] {
        const statements = [...this.known.values()].map((member) => member.statement);
        return statements.sort((left, right) => (left.name < right.name ? -1 : 1));
    }

    private listCandidateAddresses(): Set<string> {
        const addresses = new Set(this.discovered.map((host) => host.peerAddress));
        for (const { statement } of this.known.values()) {
            if (statement.state !== MembershipState.Gone) {
                addresses.add(statement.peerAddress);
            }
        }
        addresses.delete(this.self.peerAddress);
        return addresses;
    }

    private applyStatement(statement: MemberStatement): void {
        const known = this.known.get(statement.name);
        if (known !== undefined && !isNewerStatement(statement, known.statement)) {
            return;
        }
        this.known.set(statement.name, { statement, changedAtMs: this.clock.monotonicMs() });
        this.rumors.addRumor(statement.name, statement);
    }

    private refuteStatement(statement: MemberStatement): void {
        const isOtherIncarnation = statement.incarnation !== this.self.incarnation;
        const isConsistent = statement.state <= this.self.state;
        if (isOtherIncarnation || isConsistent || statement.refutation < this.self.refutation) {
            return;
        }
        this.self = { ...this.self, refutation: statement.refutation + 1 };
        this.rumors.addRumor(this.self.name, this.self);
    }

    private orderRandomly(addresses: readonly string[]): string[] {
        const shuffled = [...addresses];
        for (let index = shuffled.length - 1; index > 0; index -= 1) {
            const other = Math.floor(this.random() * (index + 1));
            const address = shuffled[index] as string;
            shuffled[index] = shuffled[other] as string;
            shuffled[other] = address;
        }
        return shuffled;
    }
}
