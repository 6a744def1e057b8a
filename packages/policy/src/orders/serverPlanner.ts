/**
 * Plans the desired number of backend servers of a pool in each data centre.
 *
 * @packageDocumentation
 */

/** A kind of server that can be ordered in a data centre. */
export interface ServerOption {
    readonly dataCentre: string;
    readonly reclaimable: boolean;
    readonly costPerHour: number;
    /** Whether the platform has announced that it will reclaim such servers in this data centre. */
    readonly underNotice: boolean;
}

/** The inputs of a plan. */
export interface PlannerInput {
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
    /** Slots needed to serve the pool's demand. */
    readonly demandSlots: number;
    readonly slotsPerServer: number;
    readonly options: readonly ServerOption[];
}

/** The desired number of one kind of server. */
export interface PlannedServers {
    readonly dataCentre: string;
    readonly reclaimable: boolean;
    readonly count: number;
}

/** Settings of {@link ServerPlanner}. */
export interface PlannerSettings {
    /** Capacity above the demand, as a share of the demand. */
    readonly headroomShare: number;
    readonly minimumServers: number;
    readonly maximumServers: number;
    /** Maximum number of reclaimable servers, as a share of all servers. */
    readonly reclaimableShare: number;
    /** Time for which the need must have been lower before servers are released, in milliseconds. */
    readonly scaleDownDelayMs: number;
    /** Maximum backoff after a shortage, unless the platform asks for a longer one, in milliseconds. */
    readonly maximumBackoffMs: number;
}

/** Default settings. */
export const defaultPlannerSettings: PlannerSettings = {
    headroomShare: 0.2,
    minimumServers: 1,
    maximumServers: 1_000,
    reclaimableShare: 0.5,
    scaleDownDelayMs: 300_000,
    maximumBackoffMs: 300_000,
};

/** The number of servers needed at some time. */
interface Need {
    readonly atMs: number;
    readonly servers: number;
}

/** A shortage of one kind of server; no more than the accepted number are planned until the backoff ends. */
interface Shortage {
    readonly untilMs: number;
    readonly backoffMs: number;
}

/** The number of servers allocated to one option while a plan is made. */
interface Allocation {
    readonly option: ServerOption;
    readonly limit: number;
    count: number;
}

/**
 * Plans the desired number of servers. The plan follows rising demand immediately and falling demand after a delay.
 * Reclaimable servers are spread evenly over the data centres, so that losing those of one data centre removes as few
 * as possible. Servers that are unavailable in one data centre are ordered in another.
 */
export class ServerPlanner {
    private needs: Need[] = [];
    private readonly accepted = new Map<string, number>();
    private readonly shortages = new Map<string, Shortage>();

    /** @param settings - The limits and shares. */
    constructor(private settings: PlannerSettings = defaultPlannerSettings) {}

    /**
     * Replaces the settings. Recorded needs and shortages are kept.
     *
     * @param settings - The limits and shares.
     */
    updateSettings(settings: PlannerSettings): void {
        this.settings = settings;
    }

    /**
     * Records the plan stored by the previous holder of the duty, so that a takeover doesn't release servers
     * immediately.
     *
     * @param planned - The stored desired state.
     * @param nowMs - The monotonic time, in milliseconds.
     */
    recordStoredPlan(planned: readonly PlannedServers[], nowMs: number): void {
        planned.forEach((servers) => this.recordAccepted(servers));
        const servers = planned.reduce((sum, { count }) => sum + count, 0);
        this.needs.push({ atMs: nowMs, servers });
    }

    /**
     * Records that the platform accepted an order, which ends a shortage of the option.
     *
     * @param servers - The order.
     */
    recordAccepted(servers: PlannedServers): void {
        this.accepted.set(formatOption(servers), servers.count);
        this.shortages.delete(formatOption(servers));
    }

    /**
     * Records that the platform had no such servers available. Until the backoff ends, the option is limited to the
     * number of servers that was last accepted. The backoff doubles with each consecutive shortage.
     *
     * @param servers - The order.
     * @param nowMs - The monotonic time, in milliseconds.
     * @param retryAfterMs - The delay after which the platform allows a retry, in milliseconds.
     */
    recordNoneAvailable(servers: PlannedServers, nowMs: number, retryAfterMs: number): void {
        const key = formatOption(servers);
        const previousMs = this.shortages.get(key)?.backoffMs ?? 0;
        const doubledMs = Math.max(retryAfterMs, previousMs * 2);
        const backoffMs = Math.max(retryAfterMs, Math.min(doubledMs, this.settings.maximumBackoffMs));
        this.shortages.set(key, { untilMs: nowMs + backoffMs, backoffMs });
    }

    /**
     * Plans the desired state.
     *
     * @param input - The demand, the kinds of server and the reclaim notices.
     * @returns The number of servers for each option, including options with none.
     */
    planServers(input: PlannerInput): readonly PlannedServers[] {
        const total = this.computeTotalServers(input);
        const allocations = input.options.map((option) => this.buildAllocation(option, input.nowMs));
        const reclaimableAllocations = allocations.filter((allocation) => allocation.option.reclaimable);
        const standardAllocations = allocations.filter((allocation) => !allocation.option.reclaimable);
        const desiredReclaimable = Math.floor(total * this.settings.reclaimableShare);
        const unplacedReclaimable = addServers(reclaimableAllocations, desiredReclaimable);
        const unplacedStandard = addServers(
            standardAllocations,
            total - desiredReclaimable + unplacedReclaimable,
        );
        // Where standard servers are unavailable, reclaimable servers are better than none.
        addServers(reclaimableAllocations, unplacedStandard);
        return allocations.map(({ option: { dataCentre, reclaimable }, count }) => ({
            dataCentre,
            reclaimable,
            count,
        }));
    }

    private computeTotalServers(input: PlannerInput): number {
        const { headroomShare, minimumServers, maximumServers, scaleDownDelayMs } = this.settings;
        const needed = Math.ceil((input.demandSlots * (1 + headroomShare)) / input.slotsPerServer);
        const servers = Math.min(Math.max(needed, minimumServers), maximumServers);
        // Needs that don't exceed the latest one can no longer be the maximum, so the list stays in descending order.
        this.needs = this.needs.filter(
            (need) => need.atMs > input.nowMs - scaleDownDelayMs && need.servers > servers,
        );
        this.needs.push({ atMs: input.nowMs, servers });
        return Math.min(maximumServers, this.needs[0]!.servers);
    }

    private buildAllocation(option: ServerOption, nowMs: number): Allocation {
        const shortage = this.shortages.get(formatOption(option));
        const isShort = shortage !== undefined && nowMs < shortage.untilMs;
        const shortLimit = isShort
            ? (this.accepted.get(formatOption(option)) ?? 0)
            : Number.POSITIVE_INFINITY;
        return { option, limit: option.underNotice ? 0 : shortLimit, count: 0 };
    }
}

/** Adds servers evenly to allocations below their limits, the cheapest first; returns the number that didn't fit. */
function addServers(allocations: readonly Allocation[], count: number): number {
    for (let remaining = count; remaining > 0; remaining -= 1) {
        const open = allocations.filter((allocation) => allocation.count < allocation.limit);
        const [next] = open.sort(compareAllocations);
        if (next === undefined) {
            return remaining;
        }
        next.count += 1;
    }
    return 0;
}

function compareAllocations(left: Allocation, right: Allocation): number {
    return (
        left.count - right.count ||
        left.option.costPerHour - right.option.costPerHour ||
        left.option.dataCentre.localeCompare(right.option.dataCentre)
    );
}

function formatOption(option: Pick<ServerOption, "dataCentre" | "reclaimable">): string {
    return `${option.dataCentre}/${option.reclaimable ? "reclaimable" : "standard"}`;
}
