/**
 * Gives each slot one owner; owners lend slots to nodes with more urgent requests. See docs/design/07-slots.md.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { LoadReport, PoolSummary } from "../scheduling/poolScheduler.js";
import { computeHomeSlots } from "./homeSlots.js";
import { LentSlotLedger } from "./lentSlotLedger.js";
import { PoolMembers } from "./poolMembers.js";
import { ReportedLoad } from "./reportedLoad.js";
import { SlotUse } from "./slotUse.js";
import type { ServerSlots, SlotPolicy, SlotSummary, WaitingDemand } from "./slotPolicy.js";

/** Options of {@link LentSlots}. */
export interface LentSlotsOptions {
    readonly clock: Clock;
    readonly node: string;
    /** Returns the tier of a class, undefined for an unknown class. */
    readonly readTier: (requestClass: string) => number | undefined;
}

interface PeerWaitingDemand extends Omit<WaitingDemand, "answerTokens"> {
    readonly waiting: number;
}

/** Time after startup or a change of slot owners during which the servers' load reports limit the free slots. */
const reportCheckMs = 10_000;
const minimumSummaryIntervalMs = 20;
/**
 * Between nodes that wait with the same tier, the slot's owner goes first unless the other node's start
 * deadline is earlier by more than this.
 */
const urgencyMarginMs = 200;
/** The same between customers of one class, as a difference in served tokens; unit: mean answers. */
const fairnessMarginAnswers = 4;

/**
 * Computes the owner of each slot deterministically and lends slots on demand by tier. Needs no
 * coordinator, and no agreement between nodes on the request path.
 */
export class LentSlots implements SlotPolicy {
    private readonly members: PoolMembers;
    private readonly ledger = new LentSlotLedger();
    private readonly loads = new Map<string, ReportedLoad>();
    private readonly slotUse = new SlotUse();
    private readonly peerDemands = new Map<string, PeerWaitingDemand>();
    private servers: readonly ServerSlots[] = [];
    private homeSlots: ReadonlyMap<string, number> = new Map();
    private liveNodes: readonly string[] = [];
    private reportCheckUntilMs: number;
    /** Sequence of the last summary received from each node. */
    private readonly receivedSequences = new Map<string, number>();
    private demand: WaitingDemand | undefined;
    private announcedTier: number | undefined;
    private hasReturnedSlots = false;
    private lastSummaryMs = -Infinity;

    /** @param options - Clock, node and tiers. */
    constructor(private readonly options: LentSlotsOptions) {
        this.members = new PoolMembers(options.node);
        // A new node doesn't know the other nodes yet, so load reports limit its free slots at first.
        this.reportCheckUntilMs = options.clock.monotonicMs() + reportCheckMs;
    }

    updateServers(servers: readonly ServerSlots[]): void {
        this.servers = servers;
        this.updateHomeSlots(true);
    }

    countFree(server: string, tier: number): number {
        const nowMs = this.readNowMs();
        const free =
            this.countFreeHomeSlots(server, nowMs) + this.slotUse.countFreeLoans(server, tier, nowMs);
        if (free <= 0 || nowMs >= this.reportCheckUntilMs) {
            return Math.max(0, free);
        }
        const slots = this.servers.find(({ name }) => name === server)?.slots ?? 0;
        return Math.max(0, Math.min(free, slots - this.getLoad(server).estimateTotal(nowMs)));
    }

    readCapacity(): number {
        return this.servers.reduce((sum, { slots }) => sum + slots, 0);
    }

    countNodes(): number {
        return this.members.list().length;
    }

    recordStart(requestId: string, server: string, tier: number): void {
        const nowMs = this.readNowMs();
        this.getLoad(server).recordChange(1, nowMs);
        const isHome = this.countFreeHomeSlots(server, nowMs) > 0;
        const lender = isHome ? undefined : this.slotUse.findLender(server, tier, nowMs);
        this.slotUse.recordStart(requestId, server, lender);
    }

    recordEnd(requestId: string, server: string): void {
        this.getLoad(server).recordChange(-1, this.readNowMs());
        const isReturn = this.slotUse.recordEnd(requestId, server);
        this.hasReturnedSlots ||= isReturn;
    }

    recordLoadReport(report: LoadReport): void {
        this.getLoad(report.server).recordReport(report, this.readNowMs());
    }

    recordPeerSummary(summary: PoolSummary): void {
        if (summary.sequence <= (this.receivedSequences.get(summary.node) ?? 0)) {
            return;
        }
        this.receivedSequences.set(summary.node, summary.sequence);
        const nowMs = this.readNowMs();
        if (this.members.recordContact(summary.node, nowMs)) {
            this.updateHomeSlots(false);
        }
        this.peerDemands.set(summary.node, this.readPeerDemand(summary, nowMs));
        this.ledger.recordUsed(summary.node, summary.borrowed?.[this.options.node] ?? {});
        this.ledger.recordAcknowledged(summary.node, summary.acknowledged?.[this.options.node] ?? 0);
        const slots = summary.lent?.[this.options.node] ?? {};
        // A loan without a tier is for requests of any tier.
        const tier = summary.lentTiers?.[this.options.node] ?? Infinity;
        const isReduced = this.slotUse.setLoan(summary.node, { slots, tier, receivedMs: nowMs });
        this.hasReturnedSlots ||= isReduced;
    }

    removePeer(node: string): void {
        this.members.setSilent(node);
        this.receivedSequences.delete(node);
        this.updateHomeSlots(false);
    }

    updateDemand(demand: WaitingDemand | undefined, isFloorOwed: boolean): void {
        this.demand = demand;
        if (this.peerDemands.size > 0) {
            const nowMs = this.readNowMs();
            this.updateHomeSlots(false);
            this.withdrawUnneeded(nowMs);
            if (!isFloorOwed) {
                this.offerFreeSlots(nowMs);
            }
        }
    }

    isSummaryDue(): boolean {
        const isIntervalOver = this.readNowMs() - this.lastSummaryMs >= minimumSummaryIntervalMs;
        const hasChanges =
            this.ledger.hasChanges() || this.hasReturnedSlots || this.demand?.tier !== this.announcedTier;
        return isIntervalOver && hasChanges && this.members.list().length > 1;
    }

    summarizeSlots(demand: WaitingDemand | undefined, isFloorOwed: boolean, sequence: number): SlotSummary {
        this.ledger.setSequence(sequence);
        this.members.compact(this.readNowMs());
        this.updateDemand(demand, isFloorOwed);
        this.ledger.setSequence(sequence + 1);
        this.announcedTier = demand?.tier;
        this.hasReturnedSlots = false;
        this.lastSummaryMs = this.readNowMs();
        return {
            lent: this.ledger.summarizeOffers(),
            lentTiers: Object.fromEntries([...this.peerDemands].map(([node, { tier }]) => [node, tier])),
            borrowed: this.slotUse.summarizeBorrowed(),
            acknowledged: Object.fromEntries(this.receivedSequences),
        };
    }

    private readNowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private updateHomeSlots(force: boolean): void {
        const nowMs = this.readNowMs();
        const live = this.members.listLive(nowMs);
        if (!force && live.join(" ") === this.liveNodes.join(" ")) {
            return;
        }
        for (const node of this.liveNodes) {
            if (!live.includes(node)) {
                this.removeSilentPeer(node);
            }
        }
        this.liveNodes = live;
        const homes = computeHomeSlots(this.servers, this.members.list(), live);
        this.homeSlots = homes.get(this.options.node) ?? new Map();
        // Slots that changed owners may still be in use, so load reports limit the free slots for a while.
        this.reportCheckUntilMs =
            this.members.list().length > 1 ? nowMs + reportCheckMs : this.reportCheckUntilMs;
    }

    private removeSilentPeer(node: string): void {
        this.ledger.removeNode(node);
        this.slotUse.removeLoan(node);
        this.peerDemands.delete(node);
    }

    private countFreeHomeSlots(server: string, nowMs: number): number {
        const home = this.homeSlots.get(server) ?? 0;
        return home - this.slotUse.countOwn(server) - this.ledger.countTaken(server, nowMs);
    }

    private getLoad(server: string): ReportedLoad {
        let load = this.loads.get(server);
        if (load === undefined) {
            load = new ReportedLoad();
            this.loads.set(server, load);
        }
        return load;
    }

    private readPeerDemand(summary: PoolSummary, nowMs: number): PeerWaitingDemand {
        let tier = Infinity;
        let waiting = 0;
        for (const [name, count] of Object.entries(summary.waiting)) {
            const classTier = this.options.readTier(name);
            if (classTier !== undefined && count > 0 && classTier <= tier) {
                waiting = classTier === tier ? waiting + count : count;
                tier = classTier;
            }
        }
        return {
            tier,
            waiting,
            latestStartMs: nowMs + (summary.slackMs ?? Infinity),
            requestClass: summary.urgentClass ?? "",
            served: summary.urgentServed ?? Infinity,
        };
    }

    private withdrawUnneeded(nowMs: number): void {
        for (const node of this.ledger.listNodes()) {
            const peerDemand = this.peerDemands.get(node);
            if (peerDemand === undefined || !this.isMoreUrgent(peerDemand)) {
                // Own requests come first, so while any wait, all slots are withdrawn. Otherwise the borrower
                // needs no more than the slots in use, which it keeps.
                this.ledger.withdrawOffers(node, this.demand === undefined, nowMs);
            }
        }
    }

    /** Lends free home slots to the nodes whose waiting requests are more urgent, most urgent first. */
    private offerFreeSlots(nowMs: number): void {
        const borrowers = [...this.peerDemands].filter(([, peerDemand]) => this.isMoreUrgent(peerDemand));
        borrowers.sort(([, left], [, right]) => compareDemands(left, right));
        const lenders = Math.max(1, this.members.list().length - 1);
        for (const [node, peerDemand] of borrowers) {
            const unused = Math.max(0, this.ledger.countOffered(node) - this.ledger.countUsed(node));
            this.offerSlots(node, Math.ceil(peerDemand.waiting / lenders) - unused, nowMs);
        }
    }

    private isMoreUrgent(peerDemand: PeerWaitingDemand): boolean {
        if (peerDemand.waiting === 0 || this.demand === undefined) {
            return peerDemand.waiting > 0;
        }
        if (peerDemand.tier !== this.demand.tier) {
            return peerDemand.tier < this.demand.tier;
        }
        return peerDemand.requestClass === this.demand.requestClass
            ? peerDemand.served + fairnessMarginAnswers * this.demand.answerTokens < this.demand.served
            : peerDemand.latestStartMs + urgencyMarginMs < this.demand.latestStartMs;
    }

    private offerSlots(node: string, desired: number, nowMs: number): void {
        let remaining = desired;
        for (const { name } of this.servers) {
            const free = Math.min(remaining, this.countFreeHomeSlots(name, nowMs));
            if (free > 0) {
                this.ledger.setOffered(node, name, this.ledger.readOffered(node, name) + free, nowMs);
                remaining -= free;
            }
        }
    }
}

function compareDemands(left: PeerWaitingDemand, right: PeerWaitingDemand): number {
    return left.tier - right.tier || left.latestStartMs - right.latestStartMs;
}
