/**
 * How many backend servers of a pool to want in each data centre.
 *
 * @packageDocumentation
 */

/** A kind of server that can be ordered. */
export interface ServerOption {
    readonly dataCentre: string;
    readonly reclaimable: boolean;
    readonly costPerHour: number;
    /** Whether the platform has announced that it takes such servers back there. */
    readonly underNotice: boolean;
}

/** What the plan depends on. */
export interface PlannerInput {
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
    /** Slots that the pool's demand needs. */
    readonly demandSlots: number;
    readonly slotsPerServer: number;
    readonly options: readonly ServerOption[];
}

/** The wanted number of one kind of server. */
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
    /** Most reclaimable servers, as a share of all. */
    readonly reclaimableShare: number;
    /** How long the need must have been lower before servers are given back, in milliseconds. */
    readonly scaleDownDelayMs: number;
    readonly maximumBackoffMs: number;
}

/** Settings that hold unless overridden. */
export const defaultPlannerSettings: PlannerSettings = {
    headroomShare: 0.2,
    minimumServers: 1,
    maximumServers: 1_000,
    reclaimableShare: 0.5,
    scaleDownDelayMs: 300_000,
    maximumBackoffMs: 300_000,
};

interface Need {
    readonly atMs: number;
    readonly servers: number;
}

interface Shortage {
    readonly untilMs: number;
    readonly backoffMs: number;
}

/** A kind of server while it is filled. */
interface Allocation {
    readonly option: ServerOption;
    readonly limit: number;
    count: number;
}

/**
 * Follows demand upwards at once and downwards after a delay. Reclaimable servers are spread evenly over the
 * data centres, so that the loss of one takes the least; what cannot be had there is had elsewhere.
 */
export class ServerPlanner {
    private needs: Need[] = [];
    private readonly accepted = new Map<string, number>();
    private readonly shortages = new Map<string, Shortage>();

    /** @param settings - Bounds and shares. */
    constructor(private settings: PlannerSettings = defaultPlannerSettings) {}

    /**
     * Replaces the settings; what is known of needs and shortages stays.
     *
     * @param settings - Bounds and shares.
     */
    updateSettings(settings: PlannerSettings): void {
        this.settings = settings;
    }

    /**
     * Notes what an earlier holder of the duty wanted, so that a takeover gives nothing back at once.
     *
     * @param planned - The stored wanted state.
     * @param nowMs - Monotonic time, in milliseconds.
     */
    recordStoredPlan(planned: readonly PlannedServers[], nowMs: number): void {
        planned.forEach((servers) => this.recordAccepted(servers));
        const servers = planned.reduce((sum, { count }) => sum + count, 0);
        this.needs.push({ atMs: nowMs, servers });
    }

    /**
     * Notes that the platform accepted an order.
     *
     * @param servers - The order.
     */
    recordAccepted(servers: PlannedServers): void {
        this.accepted.set(formatOption(servers), servers.count);
        this.shortages.delete(formatOption(servers));
    }

    /**
     * Notes that the platform had none: the option stays at what was accepted until the backoff ends.
     *
     * @param servers - The order.
     * @param nowMs - Monotonic time, in milliseconds.
     * @param retryAfterMs - When the platform asked to come back, in milliseconds from now.
     */
    recordNoneAvailable(servers: PlannedServers, nowMs: number, retryAfterMs: number): void {
        const key = formatOption(servers);
        const previousMs = this.shortages.get(key)?.backoffMs ?? 0;
        const wantedMs = Math.max(retryAfterMs, previousMs * 2);
        const backoffMs = Math.max(retryAfterMs, Math.min(wantedMs, this.settings.maximumBackoffMs));
        this.shortages.set(key, { untilMs: nowMs + backoffMs, backoffMs });
    }

    /**
     * Plans the wanted state.
     *
     * @param input - Demand, kinds of server and notices.
     * @returns A count for each option, zero included.
     */
    planServers(input: PlannerInput): readonly PlannedServers[] {
        const total = this.computeTotalServers(input);
        const shares = input.options.map((option) => this.buildAllocation(option, input.nowMs));
        const cheap = shares.filter((share) => share.option.reclaimable);
        const standard = shares.filter((share) => !share.option.reclaimable);
        const wantedCheap = Math.floor(total * this.settings.reclaimableShare);
        const missingCheap = addServers(cheap, wantedCheap);
        const missing = addServers(standard, total - wantedCheap + missingCheap);
        // Servers that may be taken back are better than none.
        addServers(cheap, missing);
        return shares.map(({ option: { dataCentre, reclaimable }, count }) => ({
            dataCentre,
            reclaimable,
            count,
        }));
    }

    private computeTotalServers(input: PlannerInput): number {
        const { headroomShare, minimumServers, maximumServers, scaleDownDelayMs } = this.settings;
        const wanted = Math.ceil((input.demandSlots * (1 + headroomShare)) / input.slotsPerServer);
        const servers = Math.min(Math.max(wanted, minimumServers), maximumServers);
        // A need that is not above a later one can no longer be the highest.
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

/** Adds servers evenly, the cheapest first; returns how many found no place. */
function addServers(shares: readonly Allocation[], wanted: number): number {
    for (let left = wanted; left > 0; left -= 1) {
        const open = shares.filter((share) => share.count < share.limit);
        const [next] = open.sort(compareAllocations);
        if (next === undefined) {
            return left;
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
