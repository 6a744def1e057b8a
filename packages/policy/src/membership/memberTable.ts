/**
 * The membership policy of one node: discovery from the platform's lagging list, direct probes,
 * suspicion with refutation, and updates piggybacked on probes. The cost of a period does not depend
 * on the number of members. Pure: the caller does the probes and feeds their results.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { isNewerStatement, MembershipState, type MemberIdentity, type MemberStatement } from "./member.js";
import { RumorQueue } from "./rumorQueue.js";

/** Settings of a {@link MemberTable}. */
export interface MemberTableSettings {
    /** How long a suspect may refute before it counts as gone, in milliseconds. */
    readonly suspicionMs: number;
    /** How long a gone member is remembered so that old statements do not revive it, in milliseconds. */
    readonly tombstoneMs: number;
    /** Most member updates in one message. */
    readonly updatesPerMessage: number;
    /** Known members repeated in each message, in turn, so that a lost update is made good in time. */
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

/** A host of the platform's list that may be a member. */
export interface DiscoveredHost {
    readonly name: string;
    readonly dataCentre: string;
    readonly peerAddress: string;
}

/** The members as one node sees them. */
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
     * Replaces the hosts known from the platform's list. The list lags, so it only adds addresses to
     * probe: it neither proves that a host is alive nor removes one that answers.
     *
     * @param hosts - Entry hosts of the list.
     */
    updateDiscovered(hosts: readonly DiscoveredHost[]): void {
        this.discovered = hosts.filter((host) => host.peerAddress !== this.self.peerAddress);
    }

    /**
     * Chooses the next address to probe: each candidate once in a random order before any is repeated.
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
     * Chooses members that can probe a third node in this node's place.
     *
     * @param exceptAddress - Address of the node to be probed.
     * @param count - Most members.
     * @returns Addresses of members that are alive.
     */
    chooseRelayAddresses(exceptAddress: string, count: number): readonly string[] {
        const alive = this.listAlive().map((member) => member.peerAddress);
        return this.orderRandomly(alive.filter((address) => address !== exceptAddress)).slice(0, count);
    }

    /**
     * Notes an answer of a member: proof that this incarnation is alive.
     *
     * @param identity - Identity that the member gave.
     */
    recordContact(identity: MemberIdentity): void {
        const known = this.known.get(identity.name)?.statement;
        if (known?.incarnation === identity.incarnation) {
            // Only the member itself can refute a suspicion: it hears of it in the same exchange.
            return;
        }
        this.applyStatement({ ...identity, refutation: 0, state: MembershipState.Alive });
    }

    /**
     * Notes that neither a direct nor a relayed probe reached an address.
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
     * @param statements - What the peer said.
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
     * Turns suspects that did not refute in time into gone members and forgets old tombstones.
     *
     * @returns Names of the members that are gone since the last call.
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
     * @param receiver - Name of the receiver, if known; it is always told when it is doubted.
     * @returns At most the configured numbers of updates and repeats, and one about the receiver.
     */
    takeUpdates(receiver?: string): readonly MemberStatement[] {
        const rumors = this.rumors.takeRumors(this.settings.updatesPerMessage, this.known.size + 1);
        const updates = [...new Set([...rumors, ...this.takeRefreshes()])];
        const doubted = receiver === undefined ? undefined : this.known.get(receiver)?.statement;
        const isDoubted =
            doubted?.state === MembershipState.Suspect || doubted?.state === MembershipState.Gone;
        if (doubted !== undefined && isDoubted && !updates.includes(doubted)) {
            updates.push(doubted);
        }
        return updates;
    }

    /**
     * Finds the name of the member at an address.
     *
     * @param address - The peer address.
     * @returns The name, or undefined when the address was never heard of.
     */
    findName(address: string): string | undefined {
        const statements = this.listStatements();
        return statements.find((statement) => statement.peerAddress === address)?.name;
    }

    /** @returns Other members that are not gone, suspects and leaving ones included. */
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
        const isOther = statement.incarnation !== this.self.incarnation;
        const isHarmless = statement.state <= this.self.state;
        if (isOther || isHarmless || statement.refutation < this.self.refutation) {
            return;
        }
        this.self = { ...this.self, refutation: statement.refutation + 1 };
        this.rumors.addRumor(this.self.name, this.self);
    }

    private orderRandomly(addresses: readonly string[]): string[] {
        const shuffled = [...addresses];
        for (let index = shuffled.length - 1; index > 0; index -= 1) {
            const other = Math.floor(this.random() * (index + 1));
            const held = shuffled[index] as string;
            shuffled[index] = shuffled[other] as string;
            shuffled[other] = held;
        }
        return shuffled;
    }
}
