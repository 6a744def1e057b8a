/**
 * One node of each data centre reads the store for its neighbours and tells them what changed. A neighbour that
 * hears nothing recent reads the store itself, so a lost message or a dead reader costs calls, never a promise.
 *
 * @packageDocumentation
 */
import { computePreferenceRank } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import { z } from "zod";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { RemovedServer, ServerDirectory } from "../backends/serverDirectory.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";

const serverSchema = z.object({
    id: z.string(),
    version: z.number(),
    service: z.string(),
    address: z.string(),
    dataCentre: z.string(),
    slots: z.number(),
    state: z.enum(["ready", "leaving"]),
    bornMs: z.number().optional(),
    isReclaimable: z.boolean(),
}) satisfies z.ZodType<RegisteredServer>;

/** What a reader tells its neighbours. */
export const storeUpdateSchema = z.object({
    type: z.literal("store"),
    /** Time since the reader's oldest answer of the tables that it follows, in milliseconds. */
    ageMs: z.number().nonnegative(),
    /** Version of the configuration in force there; absent when there is none. */
    configurationVersion: z.number().optional(),
    /** Digest of the servers that it knows. */
    digest: z.string(),
    changed: z.array(serverSchema),
    removed: z.array(z.object({ id: z.string(), version: z.number() })),
});

/** What a reader tells its neighbours. */
export type StoreUpdate = z.infer<typeof storeUpdateSchema>;

/** A follower of a table, as the relay needs it. */
export interface StoreFollower {
    /** Monotonic time of the last answer, in milliseconds. */
    readLastContactMs(): number;
    requestRead(): void;
}

/** Options of a {@link StoreRelay}. */
export interface StoreRelayOptions {
    readonly name: string;
    readonly clock: WaitingClock;
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    /** Names of the other nodes of this data centre that live. */
    readonly listLiveNeighbours: () => readonly string[];
    /** Sends news to all nodes of this data centre. */
    readonly sendUpdate: (news: StoreUpdate) => void;
}

/** Names the reading in the order of preference among nodes. */
const readerRankKey = "reading";
/** Time between two messages of a reader, in milliseconds. */
const updateIntervalMs = 300;
/**
 * Age of the last answer that a neighbour may rely on, in milliseconds: a reader's own pauses and a message, and
 * with a read of its own still well below the time to obey a change.
 */
const maximumAgeMs = 1_250;
/** How long a change is repeated, in milliseconds: until a lost message was followed by others. */
const repeatWindowMs = 1_000;
/** More changes than fit a datagram are left out; the digest then makes neighbours read the store. */
const maximumChanges = 60;

interface TimedChange {
    readonly atMs: number;
    readonly changed: readonly RegisteredServer[];
    readonly removed: readonly RemovedServer[];
}

/** Reads for others, or relies on one that does. */
export class StoreRelay {
    private followers: { readonly configuration: StoreFollower; readonly servers: StoreFollower } | undefined;
    private recentChanges: TimedChange[] = [];
    private lastReadMs = Number.NEGATIVE_INFINITY;
    private reader: string | undefined;
    /** Whether the servers are being taken from another node's message; they are not told on. */
    private isApplying = false;

    /** @param options - This node and what it knows. */
    constructor(private readonly options: StoreRelayOptions) {
        options.directory.addChangeListener(({ changed, removed }) => {
            if (!this.isApplying) {
                this.recentChanges.push({ atMs: options.clock.monotonicMs(), changed, removed });
                this.sendUpdate();
            }
        });
        options.configuration.addListener(() => this.sendUpdate());
    }

    /**
     * Sets the followers of the store.
     *
     * @param configuration - Follows the configuration.
     * @param servers - Follows the servers.
     */
    setFollowers(configuration: StoreFollower, servers: StoreFollower): void {
        this.followers = { configuration, servers };
    }

    /** @returns Whether another node reads the store for this one, and was heard recently. */
    isCovered(): boolean {
        return !this.isReader() && this.options.clock.monotonicMs() - this.lastReadMs < maximumAgeMs;
    }

    /** @returns Whether this node is the one of its data centre that reads for the others, as far as it knows. */
    isReader(): boolean {
        const { name, listLiveNeighbours: listNeighbours } = this.options;
        return computePreferenceRank(readerRankKey, name, listNeighbours()) === 0;
    }

    /**
     * Finds the node that reads the store for this one.
     *
     * @returns Its name; this node's own when it reads itself, undefined when no reader was heard recently.
     */
    findReader(): string | undefined {
        if (this.isReader()) {
            return this.options.name;
        }
        return this.isCovered() ? this.reader : undefined;
    }

    /**
     * Tells the neighbours regularly while this node reads.
     *
     * @param signal - Ends the task.
     */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.sendUpdate();
            await this.options.clock.wait(updateIntervalMs, signal);
        }
    }

    /**
     * Receives news of a reader.
     *
     * @param news - The news.
     * @param from - Name of the reader.
     */
    receiveUpdate(news: StoreUpdate, from: string): void {
        const { clock, directory, configuration } = this.options;
        this.reader = from;
        this.lastReadMs = Math.max(this.lastReadMs, clock.monotonicMs() - news.ageMs);
        if ((news.configurationVersion ?? 0) > (configuration.readCurrent()?.version ?? 0)) {
            this.followers?.configuration.requestRead();
        }
        this.isApplying = true;
        directory.updateServers(news.changed, news.removed);
        this.isApplying = false;
        if (news.digest !== directory.computeDigest()) {
            this.followers?.servers.requestRead();
        }
    }

    private sendUpdate(): void {
        const { followers } = this;
        if (followers === undefined || !this.isReader()) {
            return;
        }
        const { clock, directory, configuration, sendUpdate: sendNews } = this.options;
        const nowMs = clock.monotonicMs();
        const contactMs = Math.min(
            followers.configuration.readLastContactMs(),
            followers.servers.readLastContactMs(),
        );
        if (nowMs - contactMs > maximumAgeMs) {
            return;
        }
        this.recentChanges = this.recentChanges.filter(({ atMs }) => nowMs - atMs < repeatWindowMs);
        const changed = this.recentChanges.flatMap((change) => change.changed);
        const removed = this.recentChanges.flatMap((change) => change.removed);
        const fits = changed.length + removed.length <= maximumChanges;
        sendNews({
            type: "store",
            ageMs: nowMs - contactMs,
            configurationVersion: configuration.readCurrent()?.version,
            digest: directory.computeDigest(),
            changed: fits ? [...changed] : [],
            removed: fits ? [...removed] : [],
        });
    }
}
