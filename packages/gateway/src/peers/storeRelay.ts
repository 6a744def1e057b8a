/**
 * In each data centre one node, the reader, reads the store and sends the changes to the other nodes there, its
 * neighbours. A neighbour without a recent update reads the store itself, so a lost message or a dead reader
 * costs additional calls and never breaks a guarantee.
 *
 * @packageDocumentation
 */
import type { WaitingClock } from "@pimentocleat/types";
import { z } from "zod";
import { registeredServerSchema, type RegisteredServer } from "../backends/backendServer.js";
import type { ColdDirectory, ColdRow } from "../backends/coldDirectory.js";
import type { RemovedServer, ServerDirectory } from "../backends/serverDirectory.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { Evacuations, EvacuationState } from "../configuration/evacuations.js";
import type { RelayTiming } from "./relayTiming.js";

/** Passes over what is no usable server: a reader of an earlier release relays it, and the rest of its update holds. */
const serversSchema = z
    .array(registeredServerSchema.optional().catch(undefined))
    .transform((servers) => servers.filter((server) => server !== undefined));

const evacuationSchema = z.object({
    dataCentre: z.string(),
    version: z.number(),
    isEvacuated: z.boolean(),
}) satisfies z.ZodType<EvacuationState>;

const coldRowSchema = z.object({
    id: z.string(),
    remainingMs: z.number(),
}) satisfies z.ZodType<ColdRow>;

/** Schema of the update that a reader sends to its neighbours. */
export const storeUpdateSchema = z.object({
    type: z.literal("store"),
    /** Age of the reader's data, in milliseconds: the time since the least recent response among its tables. */
    ageMs: z.number().nonnegative(),
    /** Version of the reader's active configuration; absent when it has none. */
    configurationVersion: z.number().optional(),
    /** Store version at which the reader knew the servers. */
    serversVersion: z.number().nonnegative(),
    /** Digest of the servers that the reader knows. */
    digest: z.string(),
    changed: serversSchema,
    removed: z.array(z.object({ id: z.string(), version: z.number() })),
    /**
     * All evacuations that the reader knows, and those that ended; in every update, so that a lost one does not matter.
     * Absent from a reader of an earlier release, or one that does not know them.
     */
    evacuations: z.array(evacuationSchema).optional(),
    /** Servers that are cold by their registrations; absent without any, and from a reader of an earlier release. */
    cold: z.array(coldRowSchema).optional(),
});

/** Update that a reader sends to its neighbours. */
export type StoreUpdate = z.infer<typeof storeUpdateSchema>;

/** The part of a table's follower that the relay uses. */
export interface TableFollower {
    /** Returns the monotonic time of the last response of the store, in milliseconds. */
    readLastContactMs(): number;
    /** Returns the store version of the last response; 0 before the first one. */
    readVersion(): number;
    /** Requests a read of the table. */
    requestRead(): void;
}

/** Options of {@link StoreRelay}. */
export interface StoreRelayOptions {
    readonly name: string;
    readonly clock: WaitingClock;
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly evacuations: Evacuations;
    readonly cold: Pick<ColdDirectory, "addColdListener" | "listColdRows" | "mergeColdRows">;
    /** Computes this node's rank as a reader among the live nodes of its data centre. */
    readonly computeLiveRank: () => number;
    /** Computes this node's rank as a reader among the registered nodes of its data centre. */
    readonly computeRank: () => number;
    readonly timing: RelayTiming;
    /** Called while the data of this node is older than a relayed update may be. */
    readonly onOutdated: () => void;
    /** Sends an update to all other nodes of this data centre. */
    readonly sendUpdate: (update: StoreUpdate) => void;
}

/** Interval between two regular updates of a reader, in milliseconds. */
const updateIntervalMs = 300;
/** Time during which updates repeat a change, in milliseconds, so that a lost message is followed by others. */
const repeatWindowMs = 1_000;
/**
 * Maximum number of changes in one update, limited by the size of a datagram. Above it all changes are omitted, and the
 * digest makes neighbours read the store.
 */
const maximumChanges = 60;

/** Changes of the servers, and when they were made. */
interface TimedChange {
    readonly atMs: number;
    readonly changed: readonly RegisteredServer[];
    readonly removed: readonly RemovedServer[];
}

/** Sends updates to the neighbours while this node is the reader, and applies the reader's updates otherwise. */
export class StoreRelay {
    private followers: { readonly configuration: TableFollower; readonly servers: TableFollower } | undefined;
    private recentChanges: TimedChange[] = [];
    /** Monotonic time at which the reader's last received data was current, in milliseconds. */
    private lastReadMs = Number.NEGATIVE_INFINITY;
    private reader: string | undefined;
    /** Store version of the last update that matched the servers of this node. */
    private knownVersion = 0;
    /** Whether changes from another node's update are being applied; these are not forwarded. */
    private isApplying = false;

    /** @param options - This node, its data and its neighbours. */
    constructor(private readonly options: StoreRelayOptions) {
        options.directory.addChangeListener(({ changed, removed }) => {
            if (!this.isApplying) {
                this.recentChanges.push({ atMs: options.clock.monotonicMs(), changed, removed });
                this.sendUpdate();
            }
        });
        options.configuration.addListener(() => this.sendUpdate());
        options.cold.addColdListener(() => {
            if (!this.isApplying) {
                this.sendUpdate();
            }
        });
        options.evacuations.addListener(() => {
            if (!this.isApplying) {
                this.sendUpdate();
            }
        });
    }

    /**
     * Sets the followers of the store's tables.
     *
     * @param configuration - Follower of the configuration.
     * @param servers - Follower of the servers.
     */
    setFollowers(configuration: TableFollower, servers: TableFollower): void {
        this.followers = { configuration, servers };
    }

    /** @returns Whether another node reads the store for this one and its data is recent enough. */
    isRelayActive(): boolean {
        return (
            !this.isReader() &&
            this.options.clock.monotonicMs() - this.lastReadMs < this.computeMaximumAgeMs()
        );
    }

    /** @returns Whether this node ranks first among the live nodes of its data centre and so reads for the others. */
    isReader(): boolean {
        return this.options.computeLiveRank() === 0 && !this.isBehind();
    }

    /**
     * Checks whether this node reads the store for its neighbours: as the reader, or as a deputy that reads it because
     * the reader is silent.
     *
     * @returns Whether it sends updates.
     */
    isServing(): boolean {
        const hadReader = this.lastReadMs > Number.NEGATIVE_INFINITY;
        return (
            this.isReader() || (hadReader && !this.isRelayActive() && this.readContactMs() > this.lastReadMs)
        );
    }

    /**
     * Finds the node that reads the store for this one.
     *
     * @returns The reader's name; this node's own when it is the reader, undefined without a recent update.
     */
    findReader(): string | undefined {
        if (this.isServing()) {
            return this.options.name;
        }
        return this.isRelayActive() ? this.reader : undefined;
    }

    /**
     * Sends updates to the neighbours at a regular interval while this node is the reader.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.sendUpdate();
            this.checkAge();
            await this.options.clock.wait(updateIntervalMs, signal);
        }
    }

    /**
     * Applies an update of a reader.
     *
     * @param update - The update.
     * @param from - Name of the reader.
     */
    receiveUpdate(update: StoreUpdate, from: string): void {
        const { clock, directory, configuration, evacuations, cold } = this.options;
        const readMs = clock.monotonicMs() - update.ageMs;
        if (readMs >= this.lastReadMs) {
            // A reader that cannot reach the store still tells that it lives; a deputy's data is newer.
            this.reader = from;
            this.lastReadMs = readMs;
        }
        if ((update.configurationVersion ?? 0) > (configuration.readCurrent()?.version ?? 0)) {
            this.followers?.configuration.requestRead();
        }
        this.isApplying = true;
        evacuations.mergeRelayedStates(update.evacuations);
        directory.updateServers(update.changed, update.removed);
        cold.mergeColdRows(update.cold ?? []);
        this.isApplying = false;
        if (update.digest === directory.computeDigest()) {
            this.knownVersion = Math.max(this.knownVersion, update.serversVersion);
        } else if (update.serversVersion > this.readKnownVersion()) {
            // A node that has read the store after the reader did knows more than the reader.
            this.followers?.servers.requestRead();
        }
    }

    private checkAge(): void {
        const readMs = Math.max(this.lastReadMs, this.readContactMs());
        if (this.options.clock.monotonicMs() - readMs > this.computeMaximumAgeMs()) {
            this.options.onOutdated();
        }
    }

    /** Returns whether another node's data is newer than what this node has read itself. */
    private isBehind(): boolean {
        return this.lastReadMs > this.readContactMs();
    }

    /** Returns the store version up to which this node knows the servers. */
    private readKnownVersion(): number {
        return Math.max(this.knownVersion, this.followers?.servers.readVersion() ?? 0);
    }

    private computeMaximumAgeMs(): number {
        return this.options.timing.computeMaximumAgeMs(this.options.computeRank());
    }

    /** Returns the monotonic time of the least recent response among the followed tables, in milliseconds. */
    private readContactMs(): number {
        const { followers } = this;
        return followers === undefined
            ? Number.NEGATIVE_INFINITY
            : Math.min(followers.configuration.readLastContactMs(), followers.servers.readLastContactMs());
    }

    private sendUpdate(): void {
        if (this.followers === undefined || !this.isServing()) {
            return;
        }
        const { clock, directory, configuration, evacuations, sendUpdate } = this.options;
        const nowMs = clock.monotonicMs();
        const contactMs = this.readContactMs();
        if (contactMs === Number.NEGATIVE_INFINITY) {
            return;
        }
        this.recentChanges = this.recentChanges.filter(({ atMs }) => nowMs - atMs < repeatWindowMs);
        const changed = this.recentChanges.flatMap((change) => change.changed);
        const removed = this.recentChanges.flatMap((change) => change.removed);
        const states = evacuations.listRelayedStates();
        const coldRows = this.options.cold.listColdRows();
        const fits = changed.length + removed.length <= maximumChanges;
        sendUpdate({
            type: "store",
            ageMs: nowMs - contactMs,
            configurationVersion: configuration.readCurrent()?.version,
            serversVersion: this.readKnownVersion(),
            digest: directory.computeDigest(),
            changed: fits ? [...changed] : [],
            removed: fits ? [...removed] : [],
            ...(states === undefined ? {} : { evacuations: [...states] }),
            ...(coldRows === undefined ? {} : { cold: [...coldRows] }),
        });
    }
}
