/**
 * Slots with one owner each; owners lend what others need more. See docs/design/07-slots.md.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { LoadReport, PoolSummary } from "../scheduling/poolScheduler.js";
import { computeHomeSlots } from "./homeSlots.js";
import { LendingBook, lendTermMs } from "./lendingBook.js";
import { Members } from "./members.js";
import { ReportedLoad } from "./reportedLoad.js";
import type { ServerSlots, SlotPolicy, SlotSummary } from "./slotPolicy.js";

/** Options of {@link LentSlots}. */
export interface LentSlotsOptions {
    readonly clock: Clock;
    readonly node: string;
    /** Reads the tier of a class. */
    readonly readTier: (requestClass: string) => number | undefined;
}

interface Loan {
    readonly slots: Readonly<Record<string, number>>;
    readonly receivedMs: number;
}

interface PeerNeed {
    readonly tier: number;
    readonly waiting: number;
}

const guardMs = 10_000;
const summaryGapMs = 20;
/** Own slots are the home of a request that no loan was needed for. */
const ownSource = "";

/** Deterministic homes, lent on demand by tier; no coordinator and no agreement on the request path. */
export class LentSlots implements SlotPolicy {
    private readonly members: Members;
    private readonly book = new LendingBook();
    private readonly loads = new Map<string, ReportedLoad>();
    private readonly loans = new Map<string, Loan>();
    private readonly needs = new Map<string, PeerNeed>();
    /** Owner of the slot that each running request holds, by server and request. */
    private readonly sources = new Map<string, string>();
    /** Running requests by owner and server. */
    private readonly used = new Map<string, Map<string, number>>();
    private servers: readonly ServerSlots[] = [];
    private home: ReadonlyMap<string, number> = new Map();
    private live: readonly string[] = [];
    private guardUntilMs = -Infinity;
    /** Last summary received from each node. */
    private readonly received = new Map<string, number>();
    private highestTier: number | undefined;
    private spreadTier: number | undefined;
    private hasReturns = false;
    private summarizedMs = -Infinity;

    /** @param options - Clock, node and tiers. */
    constructor(private readonly options: LentSlotsOptions) {
        this.members = new Members(options.node);
    }

    updateServers(servers: readonly ServerSlots[]): void {
        this.servers = servers;
        this.updateHome(true);
    }

    countFree(server: string): number {
        const nowMs = this.readNowMs();
        const free = this.countFreeHome(server, nowMs) + this.countFreeLoans(server, nowMs);
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

    recordStart(requestId: string, server: string): void {
        const nowMs = this.readNowMs();
        this.getLoad(server).recordChange(1, nowMs);
        const source = this.countFreeHome(server, nowMs) > 0 ? ownSource : this.findLender(server, nowMs);
        this.sources.set(`${server} ${requestId}`, source ?? ownSource);
        this.changeUsed(source ?? ownSource, server, 1);
    }

    recordEnd(requestId: string, server: string): void {
        this.getLoad(server).recordChange(-1, this.readNowMs());
        const key = `${server} ${requestId}`;
        const source = this.sources.get(key);
        if (source !== undefined) {
            this.sources.delete(key);
            this.changeUsed(source, server, -1);
            this.hasReturns ||= source !== ownSource;
        }
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
        this.needs.set(summary.node, this.readNeed(summary));
        this.book.recordUsed(summary.node, summary.borrowed?.[this.options.node] ?? {});
        this.book.recordAcknowledged(summary.node, summary.acknowledged?.[this.options.node] ?? 0);
        const slots = summary.lent?.[this.options.node] ?? {};
        const former = this.loans.get(summary.node)?.slots ?? {};
        this.hasReturns ||= Object.entries(former).some(([server, count]) => count > (slots[server] ?? 0));
        this.loans.set(summary.node, { slots, receivedMs: nowMs });
    }

    removePeer(node: string): void {
        this.members.remove(node);
        this.received.delete(node);
        this.updateHome(false);
    }

    updateDemand(highestTier: number | undefined): void {
        this.highestTier = highestTier;
        if (this.needs.size > 0) {
            const nowMs = this.readNowMs();
            this.updateHome(false);
            this.withdrawUnneeded(highestTier, nowMs);
            this.lendFree(highestTier, nowMs);
        }
    }

    isSummaryDue(): boolean {
        const isOld = this.readNowMs() - this.summarizedMs >= summaryGapMs;
        const hasNews = this.book.hasChanges() || this.hasReturns || this.highestTier !== this.spreadTier;
        return isOld && hasNews && this.members.list().length > 1;
    }

    summarizeSlots(highestTier: number | undefined, sequence: number): SlotSummary {
        this.book.setSequence(sequence);
        this.members.compact(this.readNowMs());
        this.updateDemand(highestTier);
        this.book.setSequence(sequence + 1);
        this.spreadTier = highestTier;
        this.hasReturns = false;
        this.summarizedMs = this.readNowMs();
        return {
            lent: this.book.summarizeOffers(),
            borrowed: this.summarizeBorrowed(),
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
        this.loans.delete(node);
        this.needs.delete(node);
    }

    private countFreeHome(server: string, nowMs: number): number {
        const home = this.home.get(server) ?? 0;
        return home - this.countUsed(ownSource, server) - this.book.countTaken(server, nowMs);
    }

    private countFreeLoans(server: string, nowMs: number): number {
        let free = 0;
        for (const node of this.loans.keys()) {
            free += Math.max(0, this.countLoan(node, server, nowMs) - this.countUsed(node, server));
        }
        return free;
    }

    private countLoan(node: string, server: string, nowMs: number): number {
        const loan = this.loans.get(node);
        if (loan === undefined || nowMs - loan.receivedMs > lendTermMs) {
            return 0;
        }
        return loan.slots[server] ?? 0;
    }

    private findLender(server: string, nowMs: number): string | undefined {
        return [...this.loans.keys()].find(
            (node) => this.countLoan(node, server, nowMs) > this.countUsed(node, server),
        );
    }

    private countUsed(source: string, server: string): number {
        return this.used.get(source)?.get(server) ?? 0;
    }

    private changeUsed(source: string, server: string, amount: number): void {
        const servers = this.used.get(source) ?? new Map<string, number>();
        this.used.set(source, servers);
        servers.set(server, (servers.get(server) ?? 0) + amount);
    }

    private getLoad(server: string): ReportedLoad {
        let load = this.loads.get(server);
        if (load === undefined) {
            load = new ReportedLoad();
            this.loads.set(server, load);
        }
        return load;
    }

    private readNeed(summary: PoolSummary): PeerNeed {
        let tier = Infinity;
        let waiting = 0;
        for (const [name, count] of Object.entries(summary.waiting)) {
            const classTier = this.options.readTier(name);
            if (classTier !== undefined && count > 0 && classTier <= tier) {
                waiting = classTier === tier ? waiting + count : count;
                tier = classTier;
            }
        }
        return { tier, waiting };
    }

    private withdrawUnneeded(highestTier: number | undefined, nowMs: number): void {
        for (const node of this.book.listNodes()) {
            const need = this.needs.get(node);
            if (need === undefined || need.tier >= (highestTier ?? Infinity)) {
                // Own work comes first, or the borrower wants no more: keep only what is in use.
                this.book.withdrawOffers(node, highestTier === undefined, nowMs);
            }
        }
    }

    /** Lends free home slots to the nodes whose waiting requests are of a higher tier, highest first. */
    private lendFree(highestTier: number | undefined, nowMs: number): void {
        const needy = [...this.needs].filter(([, need]) => need.tier < (highestTier ?? Infinity));
        needy.sort(([, left], [, right]) => left.tier - right.tier);
        const lenders = Math.max(1, this.members.list().length - 1);
        for (const [node, need] of needy) {
            const unused = this.book.countOffered(node) - this.book.countUsed(node);
            this.lendTo(node, Math.ceil(need.waiting / lenders) - unused, nowMs);
        }
    }

    private lendTo(node: string, wanted: number, nowMs: number): void {
        let left = wanted;
        for (const { name } of this.servers) {
            const free = Math.min(left, this.countFreeHome(name, nowMs));
            if (free > 0) {
                this.book.setOffered(node, name, this.book.readOffered(node, name) + free, nowMs);
                left -= free;
            }
        }
    }

    private summarizeBorrowed(): Record<string, Record<string, number>> {
        const borrowed: Record<string, Record<string, number>> = {};
        for (const [node, servers] of this.used) {
            const inUse = [...servers].filter(([, count]) => count > 0);
            if (node !== ownSource && inUse.length > 0) {
                borrowed[node] = Object.fromEntries(inUse);
            }
        }
        return borrowed;
    }
}
