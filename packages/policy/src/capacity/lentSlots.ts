/**
 * Slots with one owner each; owners lend what others need more. See docs/design/07-slots.md.
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
    /** Reads the tier of a class. */
    readonly readTier: (requestClass: string) => number | undefined;
}

interface PeerWaitingDemand extends Omit<WaitingDemand, "answerTokens"> {
    readonly waiting: number;
}

const reportCheckMs = 10_000;
const minimumSummaryIntervalMs = 20;
/** Of two nodes with the same tier, the slot's owner goes first unless the other is earlier by this. */
const urgencyMarginMs = 200;
/** The same between customers of one class, in mean answers. */
const fairnessMarginAnswers = 4;

/** Deterministic homes, lent on demand by tier; no coordinator and no agreement on the request path. */
export class LentSlots implements SlotPolicy {
    private readonly members: PoolMembers;
    private readonly ledger = new LentSlotLedger();
    private readonly loads = new Map<string, ReportedLoad>();
    private readonly slotUse = new SlotUse();
    private readonly peerDemands = new Map<string, PeerWaitingDemand>();
    private servers: readonly ServerSlots[] = [];
    private home: ReadonlyMap<string, number> = new Map();
    private live: readonly string[] = [];
    private reportCheckUntilMs: number;
    /** Last summary received from each node. */
    private readonly receivedSequences = new Map<string, number>();
    private demand: WaitingDemand | undefined;
    private announcedTier: number | undefined;
    private hasReturnedSlots = false;
    private lastSummaryMs = -Infinity;

    /** @param options - Clock, node and tiers. */
    constructor(private readonly options: LentSlotsOptions) {
        this.members = new PoolMembers(options.node);
        // A new node knows no other yet: trust the reports at first.
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
        // A peer that names no tier lends for any.
        const tier = summary.lentTiers?.[this.options.node] ?? Infinity;
        const isLess = this.slotUse.setLoan(summary.node, { slots, tier, receivedMs: nowMs });
        this.hasReturnedSlots ||= isLess;
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
        const isOld = this.readNowMs() - this.lastSummaryMs >= minimumSummaryIntervalMs;
        const hasNews =
            this.ledger.hasChanges() || this.hasReturnedSlots || this.demand?.tier !== this.announcedTier;
        return isOld && hasNews && this.members.list().length > 1;
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
        if (!force && live.join(" ") === this.live.join(" ")) {
            return;
        }
        for (const node of this.live) {
            if (!live.includes(node)) {
                this.removeSilentPeer(node);
            }
        }
        this.live = live;
        const homes = computeHomeSlots(this.servers, this.members.list(), live);
        this.home = homes.get(this.options.node) ?? new Map();
        // Slots that change hands may still be in use: trust the reports for a while.
        this.reportCheckUntilMs =
            this.members.list().length > 1 ? nowMs + reportCheckMs : this.reportCheckUntilMs;
    }

    private removeSilentPeer(node: string): void {
        this.ledger.removeNode(node);
        this.slotUse.removeLoan(node);
        this.peerDemands.delete(node);
    }

    private countFreeHomeSlots(server: string, nowMs: number): number {
        const home = this.home.get(server) ?? 0;
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
            const need = this.peerDemands.get(node);
            if (need === undefined || !this.isMoreUrgent(need)) {
                // Own work comes first, or the borrower wants no more: keep only what is in use.
                this.ledger.withdrawOffers(node, this.demand === undefined, nowMs);
            }
        }
    }

    /** Lends free home slots to the nodes whose waiting requests are more urgent, most urgent first. */
    private offerFreeSlots(nowMs: number): void {
        const needy = [...this.peerDemands].filter(([, need]) => this.isMoreUrgent(need));
        needy.sort(([, left], [, right]) => compareDemands(left, right));
        const lenders = Math.max(1, this.members.list().length - 1);
        for (const [node, need] of needy) {
            const unused = Math.max(0, this.ledger.countOffered(node) - this.ledger.countUsed(node));
            this.offerSlots(node, Math.ceil(need.waiting / lenders) - unused, nowMs);
        }
    }

    private isMoreUrgent(need: PeerWaitingDemand): boolean {
        if (need.waiting === 0 || this.demand === undefined) {
            return need.waiting > 0;
        }
        if (need.tier !== this.demand.tier) {
            return need.tier < this.demand.tier;
        }
        return need.requestClass === this.demand.requestClass
            ? need.served + fairnessMarginAnswers * this.demand.answerTokens < this.demand.served
            : need.latestStartMs + urgencyMarginMs < this.demand.latestStartMs;
    }

    private offerSlots(node: string, wanted: number, nowMs: number): void {
        let left = wanted;
        for (const { name } of this.servers) {
            const free = Math.min(left, this.countFreeHomeSlots(name, nowMs));
            if (free > 0) {
                this.ledger.setOffered(node, name, this.ledger.readOffered(node, name) + free, nowMs);
                left -= free;
            }
        }
    }
}

function compareDemands(left: PeerWaitingDemand, right: PeerWaitingDemand): number {
    return left.tier - right.tier || left.latestStartMs - right.latestStartMs;
}
