/**
 * Slots with one owner each; owners lend what others need more. See docs/design/07-slots.md.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { LoadReport, PoolSummary } from "../scheduling/poolScheduler.js";
import { computeHomeSlots } from "./homeSlots.js";
import { LendingBook } from "./lendingBook.js";
import { Members } from "./members.js";
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

interface PeerNeed extends Omit<WaitingDemand, "answerTokens"> {
    readonly waiting: number;
}

const guardMs = 10_000;
const summaryGapMs = 20;
/** Of two nodes with the same tier, the slot's owner goes first unless the other is earlier by this. */
const urgencyMarginMs = 200;
/** The same between customers of one class, in mean answers. */
const fairnessMargin = 4;

/** Deterministic homes, lent on demand by tier; no coordinator and no agreement on the request path. */
export class LentSlots implements SlotPolicy {
    private readonly members: Members;
    private readonly book = new LendingBook();
    private readonly loads = new Map<string, ReportedLoad>();
    private readonly use = new SlotUse();
    private readonly needs = new Map<string, PeerNeed>();
    private servers: readonly ServerSlots[] = [];
    private home: ReadonlyMap<string, number> = new Map();
    private live: readonly string[] = [];
    private guardUntilMs: number;
    /** Last summary received from each node. */
    private readonly received = new Map<string, number>();
    private demand: WaitingDemand | undefined;
    private spreadTier: number | undefined;
    private hasReturns = false;
    private summarizedMs = -Infinity;

    /** @param options - Clock, node and tiers. */
    constructor(private readonly options: LentSlotsOptions) {
        this.members = new Members(options.node);
        // A new node knows no other yet: trust the reports at first.
        this.guardUntilMs = options.clock.monotonicMs() + guardMs;
    }

    updateServers(servers: readonly ServerSlots[]): void {
        this.servers = servers;
        this.updateHome(true);
    }

    countFree(server: string, tier: number): number {
        const nowMs = this.readNowMs();
        const free = this.countFreeHome(server, nowMs) + this.use.countFreeLoans(server, tier, nowMs);
        if (free <= 0 || nowMs >= this.guardUntilMs) {
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
        const isHome = this.countFreeHome(server, nowMs) > 0;
        const lender = isHome ? undefined : this.use.findLender(server, tier, nowMs);
        this.use.recordStart(requestId, server, lender);
    }

    recordEnd(requestId: string, server: string): void {
        this.getLoad(server).recordChange(-1, this.readNowMs());
        const isReturn = this.use.recordEnd(requestId, server);
        this.hasReturns ||= isReturn;
    }

    recordLoadReport(report: LoadReport): void {
        this.getLoad(report.server).recordReport(report, this.readNowMs());
    }

    recordPeerSummary(summary: PoolSummary): void {
        if (summary.sequence <= (this.received.get(summary.node) ?? 0)) {
            return;
        }
        this.received.set(summary.node, summary.sequence);
        const nowMs = this.readNowMs();
        if (this.members.recordHeard(summary.node, nowMs)) {
            this.updateHome(false);
        }
        this.needs.set(summary.node, this.readNeed(summary, nowMs));
        this.book.recordUsed(summary.node, summary.borrowed?.[this.options.node] ?? {});
        this.book.recordAcknowledged(summary.node, summary.acknowledged?.[this.options.node] ?? 0);
        const slots = summary.lent?.[this.options.node] ?? {};
        // A peer that names no tier lends for any.
        const tier = summary.lentTiers?.[this.options.node] ?? Infinity;
        const isLess = this.use.setLoan(summary.node, { slots, tier, receivedMs: nowMs });
        this.hasReturns ||= isLess;
    }

    removePeer(node: string): void {
        this.members.remove(node);
        this.received.delete(node);
        this.updateHome(false);
    }

    updateDemand(demand: WaitingDemand | undefined, isFloorOwed: boolean): void {
        this.demand = demand;
        if (this.needs.size > 0) {
            const nowMs = this.readNowMs();
            this.updateHome(false);
            this.withdrawUnneeded(nowMs);
            if (!isFloorOwed) {
                this.offerFree(nowMs);
            }
        }
    }

    isSummaryDue(): boolean {
        const isOld = this.readNowMs() - this.summarizedMs >= summaryGapMs;
        const hasNews = this.book.hasChanges() || this.hasReturns || this.demand?.tier !== this.spreadTier;
        return isOld && hasNews && this.members.list().length > 1;
    }

    summarizeSlots(demand: WaitingDemand | undefined, isFloorOwed: boolean, sequence: number): SlotSummary {
        this.book.setSequence(sequence);
        this.members.compact(this.readNowMs());
        this.updateDemand(demand, isFloorOwed);
        this.book.setSequence(sequence + 1);
        this.spreadTier = demand?.tier;
        this.hasReturns = false;
        this.summarizedMs = this.readNowMs();
        return {
            lent: this.book.summarizeOffers(),
            lentTiers: Object.fromEntries([...this.needs].map(([node, { tier }]) => [node, tier])),
            borrowed: this.use.summarizeBorrowed(),
            acknowledged: Object.fromEntries(this.received),
        };
    }

    private readNowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private updateHome(force: boolean): void {
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
        this.guardUntilMs = this.members.list().length > 1 ? nowMs + guardMs : this.guardUntilMs;
    }

    private removeSilentPeer(node: string): void {
        this.book.removeNode(node);
        this.use.removeLoan(node);
        this.needs.delete(node);
    }

    private countFreeHome(server: string, nowMs: number): number {
        const home = this.home.get(server) ?? 0;
        return home - this.use.countOwn(server) - this.book.countTaken(server, nowMs);
    }

    private getLoad(server: string): ReportedLoad {
        let load = this.loads.get(server);
        if (load === undefined) {
            load = new ReportedLoad();
            this.loads.set(server, load);
        }
        return load;
    }

    private readNeed(summary: PoolSummary, nowMs: number): PeerNeed {
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
        for (const node of this.book.listNodes()) {
            const need = this.needs.get(node);
            if (need === undefined || !this.isMoreUrgent(need)) {
                // Own work comes first, or the borrower wants no more: keep only what is in use.
                this.book.withdrawOffers(node, this.demand === undefined, nowMs);
            }
        }
    }

    /** Lends free home slots to the nodes whose waiting requests are more urgent, most urgent first. */
    private offerFree(nowMs: number): void {
        const needy = [...this.needs].filter(([, need]) => this.isMoreUrgent(need));
        needy.sort(([, left], [, right]) => compareDemands(left, right));
        const lenders = Math.max(1, this.members.list().length - 1);
        for (const [node, need] of needy) {
            const unused = Math.max(0, this.book.countOffered(node) - this.book.countUsed(node));
            this.offerTo(node, Math.ceil(need.waiting / lenders) - unused, nowMs);
        }
    }

    private isMoreUrgent(need: PeerNeed): boolean {
        if (need.waiting === 0 || this.demand === undefined) {
            return need.waiting > 0;
        }
        if (need.tier !== this.demand.tier) {
            return need.tier < this.demand.tier;
        }
        return need.requestClass === this.demand.requestClass
            ? need.served + fairnessMargin * this.demand.answerTokens < this.demand.served
            : need.latestStartMs + urgencyMarginMs < this.demand.latestStartMs;
    }

    private offerTo(node: string, wanted: number, nowMs: number): void {
        let left = wanted;
        for (const { name } of this.servers) {
            const free = Math.min(left, this.countFreeHome(name, nowMs));
            if (free > 0) {
                this.book.setOffered(node, name, this.book.readOffered(node, name) + free, nowMs);
                left -= free;
            }
        }
    }
}

function compareDemands(left: PeerNeed, right: PeerNeed): number {
    return left.tier - right.tier || left.latestStartMs - right.latestStartMs;
}
