/**
 * Which backend servers of a service to order: mostly reclaimable ones, spread over the data centres, with
 * others in their place while they cannot be had.
 *
 * @packageDocumentation
 */
import {
    defaultPlannerSettings,
    ServerPlanner,
    type PlannedServers,
    type ServerOption,
} from "@pimentocleat/policy";
import type { Clock } from "@pimentocleat/types";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { OrderingRule } from "../configuration/gatewayConfiguration.js";

/** Servers beyond those that the deployment began with, as a share; they carry a burst and the loss of a data centre. */
const spareShare = 0.25;
/** Most reclaimable servers, as a share of all; the others stay when every reclaimable one is taken away. */
const reclaimableShare = 0.9;
/** How long a data centre whose reclaimable servers were taken away gets no new ones, in milliseconds. */
const reclaimCooldownMs = 8_000;
/** How long a surplus of reclaimable servers is kept, in milliseconds: giving one back loses its cache. */
const reclaimableSurplusMs = 30_000;
/** How long a surplus of other servers is kept, in milliseconds; they cost several times as much. */
const standardSurplusMs = 5_000;
const maximumBackoffMs = 4_000;
/** Time beyond its start after which an ordered server that is not registered counts as lost, in milliseconds. */
const startMarginMs = 4_000;
/** A deployment counts as complete when no server came or went for this long, in milliseconds; two check-ins. */
const settledMs = 2_500;

interface Surplus {
    readonly count: number;
    readonly sinceMs: number;
}

/** Plans the orders of one service for one tenure of its duty. */
export class OrderPlan {
    readonly planner = new ServerPlanner();
    private baseline: number | undefined;
    /** Whether no earlier holder of the duty ordered servers. */
    private isFirstHolder = true;
    /** Wall time of the first order of reclaimable servers, and of others. */
    private readonly beganWallMs = new Map<boolean, number>();
    private readonly initialServers = new Set<string>();
    /** Whether all servers that the deployment began with have registered. */
    private isComplete = false;
    private lastReadyCount = 0;
    private readyChangedMs: number;
    private readonly dataCentres = new Set<string>();
    private leaving: ReadonlySet<string> = new Set();
    private readonly lastNoticeMs = new Map<string, number>();
    private readonly refusedUntilMs = new Map<string, number>();
    private readonly sentMs = new Map<string, number>();
    private readonly ordered = new Map<string, number>();
    private readonly surpluses = new Map<string, Surplus>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {
        this.readyChangedMs = clock.monotonicMs();
    }

    /**
     * Takes over what an earlier holder of the duty ordered.
     *
     * @param intents - The stored orders; empty when there are none.
     */
    recordIntents(intents: readonly PlannedServers[]): void {
        const total = intents.reduce((sum, { count }) => sum + count, 0);
        if (total > 0) {
            this.baseline = total / (1 + spareShare);
            this.isComplete = true;
            this.isFirstHolder = false;
            this.planner.recordStoredPlan(intents, this.clock.monotonicMs());
        }
        intents.forEach((intent) => {
            this.dataCentres.add(intent.dataCentre);
            this.ordered.set(formatKind(intent), intent.count);
        });
    }

    /**
     * Plans the wanted numbers.
     *
     * @param rule - Bounds and prices.
     * @param servers - All registered servers of the service.
     * @returns The wanted numbers, the rising ones first; only reclaimable servers until the deployment is complete.
     */
    planOrders(rule: OrderingRule, servers: readonly RegisteredServer[]): readonly PlannedServers[] {
        const nowMs = this.clock.monotonicMs();
        this.recordServers(servers, nowMs);
        if (this.baseline === undefined || this.baseline === 0) {
            return [];
        }
        this.planner.updateSettings({
            ...defaultPlannerSettings,
            headroomShare: 0,
            minimumServers: rule.minimum * this.dataCentres.size,
            maximumServers: rule.maximum * this.dataCentres.size,
            reclaimableShare: rule.reclaimablePrice === undefined ? 0 : reclaimableShare,
            scaleDownDelayMs: reclaimableSurplusMs,
            maximumBackoffMs: maximumBackoffMs,
        });
        const options = this.listOptions(rule, nowMs);
        // While reclaimable servers are taken away, dearer ones replace them only up to the usual number.
        const isShort = [...this.dataCentres].some((dataCentre) => this.isUnderNotice(dataCentre, nowMs));
        const demandSlots = Math.ceil(this.baseline * (isShort ? 1 : 1 + spareShare));
        const planned = this.planner.planServers({ nowMs, demandSlots, slotsPerServer: 1, options });
        const kept = this.applyScaleDownDelay(planned, nowMs);
        const orders = applyBounds(this.computeWithUnreplaced(kept, servers), rule);
        // Cheap servers are ordered while others still register; the others are counted only then.
        return orders
            .filter((order) => this.isComplete || order.reclaimable)
            .filter((order) => !this.isUnavailable(order, nowMs) && !this.isAlreadyPresent(order, servers))
            .sort((left, right) => this.computeIncrease(right) - this.computeIncrease(left));
    }

    /**
     * Notes that the platform had none.
     *
     * @param servers - The order.
     * @param retryAfterMs - When to ask again, in milliseconds from now.
     */
    recordNoneAvailable(servers: PlannedServers, retryAfterMs: number): void {
        const nowMs = this.clock.monotonicMs();
        this.refusedUntilMs.set(formatKind(servers), nowMs + retryAfterMs);
        this.planner.recordNoneAvailable(servers, nowMs, retryAfterMs);
    }

    /** @param servers - An order that the platform accepted. */
    recordAccepted(servers: PlannedServers): void {
        const key = formatKind(servers);
        this.sentMs.set(key, this.clock.monotonicMs());
        if (!this.beganWallMs.has(servers.reclaimable)) {
            this.beganWallMs.set(servers.reclaimable, this.clock.wallMs());
        }
        // An order that returns to what was accepted before says nothing about more servers.
        if (this.ordered.get(key) !== servers.count) {
            this.ordered.set(key, servers.count);
            this.planner.recordAccepted(servers);
        }
    }

    /**
     * Lists kinds of which servers are gone that had been ordered, without a notice and for longer than a new one
     * takes to start: the platform does not replace them by itself.
     *
     * @param rule - Bounds and prices.
     * @param servers - All registered servers of the service.
     * @returns The kinds, as ordered.
     */
    listLost(rule: OrderingRule, servers: readonly RegisteredServer[]): readonly PlannedServers[] {
        const nowMs = this.clock.monotonicMs();
        return [...this.ordered.entries()].flatMap(([key, count]) => {
            const [dataCentre = "", kind] = key.split("/");
            const reclaimable = kind === "reclaimable";
            const ready = servers.filter(
                (server) =>
                    server.state === "ready" &&
                    server.dataCentre === dataCentre &&
                    server.isReclaimable === reclaimable,
            ).length;
            const sentMs = this.sentMs.get(key) ?? Number.NEGATIVE_INFINITY;
            const refusedUntilMs = this.refusedUntilMs.get(key) ?? Number.NEGATIVE_INFINITY;
            const isSettled = nowMs - sentMs > rule.startMs + startMarginMs && nowMs >= refusedUntilMs;
            const isLost =
                ready < count && isSettled && !(reclaimable && this.isUnderNotice(dataCentre, nowMs));
            return isLost ? [{ dataCentre, reclaimable, count }] : [];
        });
    }

    private recordServers(servers: readonly RegisteredServer[], nowMs: number): void {
        servers.forEach(({ dataCentre }) => this.dataCentres.add(dataCentre));
        this.recordNotices(servers, nowMs);
        const ready = servers.filter(
            ({ state, isReclaimable }) => state === "ready" && !isReclaimable,
        ).length;
        if (ready !== this.lastReadyCount) {
            this.lastReadyCount = ready;
            this.readyChangedMs = nowMs;
        }
        this.isComplete ||= ready > 0 && nowMs - this.readyChangedMs >= settledMs;
        this.recordInitialServers(servers);
    }

    /** Servers that nobody ordered are those that the deployment began with, however late they register. */
    private recordInitialServers(servers: readonly RegisteredServer[]): void {
        if (!this.isFirstHolder) {
            return;
        }
        for (const { id, bornMs, isReclaimable } of servers) {
            const beganWallMs = this.beganWallMs.get(isReclaimable);
            if (beganWallMs === undefined || (bornMs !== undefined && bornMs < beganWallMs)) {
                this.initialServers.add(id);
            }
        }
        this.baseline = Math.max(this.baseline ?? 0, this.initialServers.size);
    }

    /** A notice counts from when its servers were first seen to leave; their entries may stay for long. */
    private recordNotices(servers: readonly RegisteredServer[], nowMs: number): void {
        const leaving = servers.filter(({ isReclaimable, state }) => isReclaimable && state === "leaving");
        for (const { id, dataCentre } of leaving) {
            if (!this.leaving.has(id)) {
                this.lastNoticeMs.set(dataCentre, nowMs);
            }
        }
        this.leaving = new Set(leaving.map(({ id }) => id));
    }

    /** Nothing needs to be ordered while the deployment still has at least as many as it began with. */
    private isAlreadyPresent(wanted: PlannedServers, servers: readonly RegisteredServer[]): boolean {
        const present = servers.filter(
            ({ state, dataCentre, isReclaimable }) =>
                state === "ready" && dataCentre === wanted.dataCentre && isReclaimable === wanted.reclaimable,
        ).length;
        return !this.ordered.has(formatKind(wanted)) && wanted.count === present;
    }

    /** While the platform has none, only lower numbers are worth a call. */
    private isUnavailable(servers: PlannedServers, nowMs: number): boolean {
        const key = formatKind(servers);
        const refusedUntilMs = this.refusedUntilMs.get(key) ?? Number.NEGATIVE_INFINITY;
        return nowMs < refusedUntilMs && servers.count >= (this.ordered.get(key) ?? 0);
    }

    private isUnderNotice(dataCentre: string, nowMs: number): boolean {
        return nowMs - (this.lastNoticeMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY) < reclaimCooldownMs;
    }

    private listOptions(rule: OrderingRule, nowMs: number): readonly ServerOption[] {
        return [...this.dataCentres].sort().flatMap((dataCentre) => {
            const price = rule.prices[dataCentre] ?? 1;
            const standard = { dataCentre, reclaimable: false, costPerHour: price, underNotice: false };
            if (rule.reclaimablePrice === undefined) {
                return [standard];
            }
            const underNotice = this.isUnderNotice(dataCentre, nowMs);
            const costPerHour = price * rule.reclaimablePrice;
            return [standard, { dataCentre, reclaimable: true, costPerHour, underNotice }];
        });
    }

    /** Lowers a number of servers only when it has been too high for a while. */
    private applyScaleDownDelay(planned: readonly PlannedServers[], nowMs: number): PlannedServers[] {
        return planned.map((servers) => {
            const key = formatKind(servers);
            const ordered = this.ordered.get(key) ?? 0;
            if (servers.count >= ordered) {
                this.surpluses.delete(key);
                return servers;
            }
            const known = this.surpluses.get(key) ?? { count: ordered, sinceMs: nowMs };
            this.surpluses.set(key, known);
            const keepMs = servers.reclaimable ? reclaimableSurplusMs : standardSurplusMs;
            return nowMs - known.sinceMs < keepMs ? { ...servers, count: ordered } : servers;
        });
    }

    /** Gives a server back only when those that replace it are ready. */
    private computeWithUnreplaced(
        planned: readonly PlannedServers[],
        servers: readonly RegisteredServer[],
    ): PlannedServers[] {
        const ready = servers.filter(({ state }) => state === "ready");
        const readyReclaimable = ready.filter(({ isReclaimable }) => isReclaimable).length;
        const wantedReclaimable = planned
            .filter(({ reclaimable }) => reclaimable)
            .reduce((sum, { count }) => sum + count, 0);
        let missing = Math.max(0, wantedReclaimable - readyReclaimable);
        return planned.map((wanted) => {
            if (wanted.reclaimable) {
                return wanted;
            }
            const present = ready.filter(
                ({ isReclaimable, dataCentre }) => !isReclaimable && dataCentre === wanted.dataCentre,
            ).length;
            const kept = Math.max(0, Math.min(present - wanted.count, missing));
            missing -= kept;
            return { ...wanted, count: wanted.count + kept };
        });
    }

    private computeIncrease(servers: PlannedServers): number {
        return servers.count - (this.ordered.get(formatKind(servers)) ?? 0);
    }
}

function formatKind({ dataCentre, reclaimable }: PlannedServers): string {
    return `${dataCentre}/${reclaimable ? "reclaimable" : "standard"}`;
}

/** The bounds hold for both kinds of a data centre together. */
function applyBounds(planned: readonly PlannedServers[], rule: OrderingRule): PlannedServers[] {
    const totals = new Map<string, number>();
    const bounded = planned.map((servers) => {
        const used = totals.get(servers.dataCentre) ?? 0;
        const count = Math.min(servers.count, rule.maximum - used);
        totals.set(servers.dataCentre, used + count);
        return { ...servers, count };
    });
    return bounded.map((servers) => {
        const lacking = rule.minimum - (totals.get(servers.dataCentre) ?? 0);
        return !servers.reclaimable && lacking > 0 ? { ...servers, count: servers.count + lacking } : servers;
    });
}
