/**
 * The active configuration of a node, updated from the store or from peers.
 *
 * @packageDocumentation
 */
import { ConfigurationParser, formatProblem } from "@pimentocleat/schema";
import type { Logger } from "@pimentocleat/telemetry";
import type { AppliedConfiguration, ConfigurationSource } from "./configurationSource.js";
import type { ConfigurationPeers } from "./configurationPeers.js";
import { computeFilesDigest, type ConfigurationSnapshot } from "./configurationSnapshot.js";
import type { ConfigurationHead } from "./headTable.js";
import type { ConfigurationStore } from "./configurationStore.js";

/** Options of {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
    readonly store: Pick<ConfigurationStore, "readSnapshot">;
    readonly peers: ConfigurationPeers;
    readonly logger: Logger;
}

/** Applies only higher, valid revisions; the last applied one stays active while store and peers are unavailable. */
export class ConfigurationFollower implements ConfigurationSource {
    private applied: AppliedConfiguration | undefined;
    private snapshot: ConfigurationSnapshot | undefined;
    private readonly parser = new ConfigurationParser();
    /** Digest of the last refused snapshot, so that it is logged only once. */
    private refusedDigest: string | undefined;
    private readonly listeners = new Set<(applied: AppliedConfiguration) => void>();

    /** @param options - The store, the peers and the logger. */
    constructor(private readonly options: ConfigurationFollowerOptions) {}

    readCurrent(): AppliedConfiguration | undefined {
        return this.applied;
    }

    onChange(listener: (applied: AppliedConfiguration) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** @returns The files of the active configuration, for peers that start during a store outage. */
    readSnapshot(): ConfigurationSnapshot | undefined {
        return this.snapshot;
    }

    /** @returns The active revision; 0 before the first one is applied. */
    readRevision(): number {
        return this.applied?.revision ?? 0;
    }

    /**
     * Reads and applies the stored configuration if its revision is higher than the active one.
     *
     * @param head - The store's head; undefined before the first apply.
     */
    async followHead(head: ConfigurationHead | undefined): Promise<void> {
        if (head !== undefined && head.revision > this.readRevision()) {
            this.applySnapshot(await this.options.store.readSnapshot(head, this.snapshot));
        }
    }

    /** Requests a higher revision from the peers and applies it; used while the store is unavailable. */
    async followPeers(): Promise<void> {
        const snapshot = await this.options.peers.readHighestSnapshot(this.readRevision());
        if (snapshot !== undefined) {
            this.applySnapshot(snapshot);
        }
    }

    /**
     * Applies a snapshot if it is valid and its revision is higher than the active one.
     *
     * @param snapshot - The snapshot, from the store or a peer.
     * @returns Whether the snapshot was applied.
     */
    applySnapshot(snapshot: ConfigurationSnapshot): boolean {
        if (snapshot.revision <= this.readRevision()) {
            return false;
        }
        const { revision, digest, files } = snapshot;
        if (computeFilesDigest(files) !== digest) {
            return this.refuseSnapshot(snapshot, "the digest does not match the files");
        }
        const { configuration, problems } = this.parser.parseFiles(files);
        if (configuration === undefined) {
            return this.refuseSnapshot(snapshot, problems.map(formatProblem).join("; "));
        }
        this.snapshot = snapshot;
        this.applied = { revision, configuration };
        this.options.logger.writeEvent("configurationApplied", { revision, files: files.length });
        for (const listener of this.listeners) {
            this.handleChange(listener, this.applied);
        }
        return true;
    }

    private refuseSnapshot(snapshot: ConfigurationSnapshot, reason: string): boolean {
        if (this.refusedDigest !== snapshot.digest) {
            this.refusedDigest = snapshot.digest;
            this.options.logger.writeEvent("configurationRefused", { revision: snapshot.revision, reason });
        }
        return false;
    }

    /** Calls one listener; an error that it throws is logged, so that the other listeners are still called. */
    private handleChange(
        listener: (applied: AppliedConfiguration) => void,
        applied: AppliedConfiguration,
    ): void {
        try {
            listener(applied);
        } catch (error) {
            this.options.logger.writeEvent("unexpectedError", { message: String(error) });
        }
    }
}
