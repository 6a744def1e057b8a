/**
 * Plans which backend servers of a service to order: mostly reclaimable ones, spread over the data centres, and
 * standard ones in their place while reclaimable ones are unavailable.
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

/** Additional servers as a share of the initial ones; they absorb a burst and the loss of a data centre. */
const spareShare = 0.25;
/** Maximum share of reclaimable servers; the standard ones remain when every reclaimable one is reclaimed. */
const reclaimableShare = 0.9;
/** Time during which no reclaimable servers are ordered in a data centre after some were reclaimed, in milliseconds. */
const reclaimCooldownMs = 8_000;
/** Share of a data centre's reclaimable servers that leave at once when the platform reclaims them. */
const reclaimedShare = 0.5;
/** Time for which surplus reclaimable servers are kept, in milliseconds; returning a server loses its cache. */
const reclaimableSurplusMs = 30_000;
/** Time for which surplus standard servers are kept, in milliseconds; they cost several times as much. */
const standardSurplusMs = 5_000;
/** Maximum backoff after the platform had no servers, unless it asks for a longer one, in milliseconds. */
const maximumBackoffMs = 4_000;
/**
 * Time beyond the usual start time after which an ordered server that has not registered counts as lost, in
 * milliseconds.
 */
const startMarginMs = 4_000;
/**
 * Time without a change in the number of ready standard servers after which a deployment counts as complete, in
 * milliseconds; it covers two check-ins of a server.
 */
const settledMs = 2_500;

/** Number of servers of a kind that were ordered, and since when fewer are planned. */
interface Surplus {
    readonly count: number;
    readonly sinceMs: number;
}

/** An order as it is stored, with the number of servers that the deployment needs. */
export interface StoredPlan extends PlannedServers {
    readonly baseline?: number | undefined;
}

/** Plans the orders of one service from one acquisition of its lease until its loss. */
export class OrderPlan {
    readonly planner = new ServerPlanner();
    /** Number of servers to which the spare share is added; undefined until known. */
    private baseline: number | undefined;
    /** Whether no earlier holder of the duty ordered servers. */
    private isFirstHolder = true;
    /** Wall time of the first order of reclaimable servers (true) and of standard ones (false), in milliseconds. */
    private readonly firstOrderWallMs = new Map<boolean, number>();
    /** Identifiers of the servers that the deployment began with. */
    private readonly initialServers = new Set<string>();
    /** Whether all servers that the deployment began with have registered. */
    private isComplete = false;
    private lastReadyCount = 0;
    private readyChangedMs: number;
    private readonly dataCentres = new Set<string>();
    /** Identifiers of the reclaimable servers that are leaving. */
    private leaving: ReadonlySet<string> = new Set();
    /** Time of the last reclaim notice, by data centre. */
    private readonly lastNoticeMs = new Map<string, number>();
    /** Time until which the platform has no servers, by kind. */
    private readonly unavailableUntilMs = new Map<string, number>();
    /** Time of the last accepted order, by kind. */
    private readonly lastAcceptedMs = new Map<string, number>();
    /** Number of servers in the last accepted order, by kind. */
    private readonly ordered = new Map<string, number>();
    private readonly surpluses = new Map<string, Surplus>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {
        this.readyChangedMs = clock.monotonicMs();
    }

    /**
     * Restores the orders of an earlier holder of the duty.
     *
     * @param intents - The stored orders; empty when there are none. The sum of their counts is no measure of the need
     * while servers of one kind replace those of another, so that the need is stored with them.
     */
    recordIntents(intents: readonly StoredPlan[]): void {
        const total = intents.reduce((sum, { count }) => sum + count, 0);
        if (total > 0) {
            const baselines = intents.flatMap(({ baseline }) => baseline ?? []);
            this.baseline = baselines.length > 0 ? Math.max(...baselines) : total / (1 + spareShare);
            this.isComplete = true;
            this.isFirstHolder = false;
            this.planner.recordStoredPlan(intents, this.clock.monotonicMs());
        }
        intents.forEach((intent) => {
            this.dataCentres.add(intent.dataCentre);
            this.ordered.set(formatKind(intent), intent.count);
        });
    }

    /** @returns The number of servers that the deployment needs, without spare ones; undefined until known. */
    readBaseline(): number | undefined {
        return this.baseline;
    }

    /**
     * Plans the desired numbers of servers.
     *
     * @param rule - Limits and prices.
     * @param servers - All registered servers of the service.
     * @param evacuated - The evacuated data centres: their servers do not count, and no order concerns them.
     * @returns The desired numbers that need an order, the largest increase first; only reclaimable servers until the
     * deployment is complete.
     */
    planOrders(
        rule: OrderingRule,
        servers: readonly RegisteredServer[],
        evacuated: ReadonlySet<string> = new Set(),
    ): readonly PlannedServers[] {
        const nowMs = this.clock.monotonicMs();
        this.recordServers(servers, nowMs);
        const dataCentres = [...this.dataCentres].filter((dataCentre) => !evacuated.has(dataCentre));
        const usable = servers.filter(({ dataCentre }) => !evacuated.has(dataCentre));
        if (this.baseline === undefined || this.baseline === 0) {
            return [];
        }
        this.planner.updateSettings({
            ...defaultPlannerSettings,
            headroomShare: 0,
            minimumServers: rule.minimum * dataCentres.length,
            maximumServers: rule.maximum * dataCentres.length,
            reclaimableShare: rule.reclaimablePrice === undefined ? 0 : reclaimableShare,
            scaleDownDelayMs: reclaimableSurplusMs,
            maximumBackoffMs,
        });
        const options = this.listOptions(rule, nowMs, dataCentres);
        // While servers are being reclaimed, the more expensive standard ones replace them only up to the baseline.
        const isReclaiming = dataCentres.some((dataCentre) => this.isUnderNotice(dataCentre, nowMs));
        const demandSlots = Math.ceil(this.baseline * (isReclaiming ? 1 : 1 + spareShare));
        const planned = this.planner.planServers({ nowMs, demandSlots, slotsPerServer: 1, options });
        const delayed = this.applyScaleDownDelay(planned, nowMs);
        const orders = applyBounds(this.addUnreplacedServers(delayed, usable), rule);
        // The number of standard servers is known only once all of them have registered; reclaimable ones are cheap
        // enough to be ordered before.
        return orders
            .filter((order) => this.isComplete || order.reclaimable)
            .filter((order) => !this.isUnavailable(order, usable, nowMs))
            .filter((order) => !this.isAlreadyPresent(order, usable))
            .sort((left, right) => this.computeIncrease(right) - this.computeIncrease(left));
    }

    /**
     * Records that the platform had no servers for an order.
     *
     * @param servers - The order.
     * @param retryAfterMs - Time until the order may be sent again, in milliseconds.
     */
    recordNoneAvailable(servers: PlannedServers, retryAfterMs: number): void {
        const nowMs = this.clock.monotonicMs();
        this.unavailableUntilMs.set(formatKind(servers), nowMs + retryAfterMs);
        this.planner.recordNoneAvailable(servers, nowMs, retryAfterMs);
    }

    /**
     * Records an order that the platform accepted.
     *
     * @param servers - The order.
     */
    recordAccepted(servers: PlannedServers): void {
        const key = formatKind(servers);
        this.lastAcceptedMs.set(key, this.clock.monotonicMs());
        if (!this.firstOrderWallMs.has(servers.reclaimable)) {
            this.firstOrderWallMs.set(servers.reclaimable, this.clock.wallMs());
        }
        // An order that repeats the accepted number does not show that the platform has more servers.
        if (this.ordered.get(key) !== servers.count) {
            this.ordered.set(key, servers.count);
            this.planner.recordAccepted(servers);
        }
    }

    /**
     * Lists the kinds that lost ordered servers without a notice, for longer than a new server takes to start. The
     * platform does not replace such servers by itself.
     *
     * @param rule - Limits and prices.
     * @param servers - All registered servers of the service.
     * @param evacuated - The evacuated data centres, which are left out.
     * @returns The last accepted orders of these kinds.
     */
    listLost(
        rule: OrderingRule,
        servers: readonly RegisteredServer[],
        evacuated: ReadonlySet<string> = new Set(),
    ): readonly PlannedServers[] {
        const nowMs = this.clock.monotonicMs();
        return [...this.ordered.entries()].flatMap(([key, count]) => {
            const [dataCentre = "", kind] = key.split("/");
            const reclaimable = kind === "reclaimable";
            const ready = countReady({ dataCentre, reclaimable }, servers);
            const lastAcceptedMs = this.lastAcceptedMs.get(key) ?? Number.NEGATIVE_INFINITY;
            const unavailableUntilMs = this.unavailableUntilMs.get(key) ?? Number.NEGATIVE_INFINITY;
            const isSettled =
                nowMs - lastAcceptedMs > rule.startMs + startMarginMs && nowMs >= unavailableUntilMs;
            const isLost =
                !evacuated.has(dataCentre) &&
                ready < count &&
                isSettled &&
                !(reclaimable && this.isUnderNotice(dataCentre, nowMs));
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

    /** Records the servers that existed before the first order as initial ones, even when they register later. */
    private recordInitialServers(servers: readonly RegisteredServer[]): void {
        if (!this.isFirstHolder) {
            return;
        }
        for (const { id, bornMs, isReclaimable } of servers) {
            const firstOrderWallMs = this.firstOrderWallMs.get(isReclaimable);
            if (firstOrderWallMs === undefined || (bornMs !== undefined && bornMs < firstOrderWallMs)) {
                this.initialServers.add(id);
            }
        }
        this.baseline = Math.max(this.baseline ?? 0, this.initialServers.size);
    }

    /**
     * Records a notice when servers are first seen leaving, since their entries may remain in the store long afterwards.
     * The platform reclaims all servers of a data centre at once; a few that leave are being replaced or given back.
     */
    private recordNotices(servers: readonly RegisteredServer[], nowMs: number): void {
        const reclaimable = servers.filter(({ isReclaimable }) => isReclaimable);
        const leaving = reclaimable.filter(({ state }) => state === "leaving");
        for (const { id, dataCentre } of leaving) {
            const isIn = (server: RegisteredServer): boolean => server.dataCentre === dataCentre;
            const leavingShare = leaving.filter(isIn).length / reclaimable.filter(isIn).length;
            if (!this.leaving.has(id) && leavingShare >= reclaimedShare) {
                this.lastNoticeMs.set(dataCentre, nowMs);
            }
        }
        this.leaving = new Set(leaving.map(({ id }) => id));
    }

    /** Returns whether the desired servers are present without ever having been ordered, so that no order is needed. */
    private isAlreadyPresent(desired: PlannedServers, servers: readonly RegisteredServer[]): boolean {
        return !this.ordered.has(formatKind(desired)) && desired.count === countReady(desired, servers);
    }

    /** Returns whether the platform has no servers for this order; only an order that gives some back is worth a call. */
    private isUnavailable(
        order: PlannedServers,
        servers: readonly RegisteredServer[],
        nowMs: number,
    ): boolean {
        const unavailableUntilMs = this.unavailableUntilMs.get(formatKind(order)) ?? Number.NEGATIVE_INFINITY;
        return nowMs < unavailableUntilMs && order.count >= countReady(order, servers);
    }

    private isUnderNotice(dataCentre: string, nowMs: number): boolean {
        return nowMs - (this.lastNoticeMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY) < reclaimCooldownMs;
    }

    private listOptions(
        rule: OrderingRule,
        nowMs: number,
        dataCentres: readonly string[],
    ): readonly ServerOption[] {
        return [...dataCentres].sort().flatMap((dataCentre) => {
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

    /** Keeps the ordered number of servers until it has exceeded the planned one for the configured time. */
    private applyScaleDownDelay(planned: readonly PlannedServers[], nowMs: number): PlannedServers[] {
        return planned.map((servers) => {
            const key = formatKind(servers);
            const ordered = this.ordered.get(key) ?? 0;
            if (servers.count >= ordered) {
                this.surpluses.delete(key);
                return servers;
            }
            const surplus = this.surpluses.get(key) ?? { count: ordered, sinceMs: nowMs };
            this.surpluses.set(key, surplus);
            const keepMs = servers.reclaimable ? reclaimableSurplusMs : standardSurplusMs;
            return nowMs - surplus.sinceMs < keepMs ? { ...servers, count: ordered } : servers;
        });
    }

    /** Adds the standard servers whose reclaimable replacements are not ready yet, so that they are kept. */
    private addUnreplacedServers(
        planned: readonly PlannedServers[],
        servers: readonly RegisteredServer[],
    ): PlannedServers[] {
        const ready = servers.filter(({ state }) => state === "ready");
        const readyReclaimable = ready.filter(({ isReclaimable }) => isReclaimable).length;
        const desiredReclaimable = planned
            .filter(({ reclaimable }) => reclaimable)
            .reduce((sum, { count }) => sum + count, 0);
        let missing = Math.max(0, desiredReclaimable - readyReclaimable);
        return planned.map((desired) => {
            if (desired.reclaimable) {
                return desired;
            }
            const present = ready.filter(
                ({ isReclaimable, dataCentre }) => !isReclaimable && dataCentre === desired.dataCentre,
            ).length;
            const kept = Math.max(0, Math.min(present - desired.count, missing));
            missing -= kept;
            return { ...desired, count: desired.count + kept };
        });
    }

    private computeIncrease(servers: PlannedServers): number {
        return servers.count - (this.ordered.get(formatKind(servers)) ?? 0);
    }
}

/** Formats a data centre and a type of server as one key. */
function formatKind({ dataCentre, reclaimable }: PlannedServers): string {
    return `${dataCentre}/${reclaimable ? "reclaimable" : "standard"}`;
}

/** Counts the ready servers of a data centre and kind. */
function countReady(
    { dataCentre, reclaimable }: Pick<PlannedServers, "dataCentre" | "reclaimable">,
    servers: readonly RegisteredServer[],
): number {
    return servers.filter(
        (server) =>
            server.state === "ready" &&
            server.dataCentre === dataCentre &&
            server.isReclaimable === reclaimable,
    ).length;
}

/** Limits the numbers of servers; the limits apply to both kinds of a data centre together. */
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
