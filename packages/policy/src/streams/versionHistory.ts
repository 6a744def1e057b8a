/**
 * The software versions of the servers of each service over time. Where only one version has served for as long as a
 * stream can run, every stream began at it, and no record of the stream is needed.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

interface ServiceHistory {
    /** Monotonic time from which the history is complete, in milliseconds. */
    sinceMs: number;
    /** Last time at which a server of the version was registered, in milliseconds; infinity while one is. */
    readonly lastSeenMs: Map<string | undefined, number>;
}

/** Tracks which software versions served lately. */
export class VersionHistory {
    private readonly services = new Map<string, ServiceHistory>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records the registered servers of a service.
     *
     * @param service - Name of the service.
     * @param versions - The software version of each server; undefined for a server that names none.
     */
    recordServers(service: string, versions: readonly (string | undefined)[]): void {
        const nowMs = this.clock.monotonicMs();
        const { lastSeenMs } = this.ensureService(service);
        for (const [version, seenMs] of lastSeenMs) {
            lastSeenMs.set(version, Math.min(seenMs, nowMs));
        }
        versions.forEach((version) => lastSeenMs.set(version, Number.POSITIVE_INFINITY));
    }

    /** Starts the history of all services again, because servers may have come and gone unnoticed. */
    clearHistory(): void {
        const nowMs = this.clock.monotonicMs();
        this.services.forEach((history) => {
            history.sinceMs = nowMs;
        });
    }

    /**
     * Finds the only software version that served lately.
     *
     * @param service - Name of the service.
     * @param spanMs - The time to look back, in milliseconds.
     * @returns The version; undefined when there were several, or the history does not reach back so far.
     */
    findOnlyVersion(service: string, spanMs: number): string | undefined {
        const startMs = this.clock.monotonicMs() - spanMs;
        const history = this.services.get(service);
        if (history === undefined || history.sinceMs > startMs) {
            return undefined;
        }
        const versions = [...history.lastSeenMs].filter(([, seenMs]) => seenMs >= startMs);
        return versions.length === 1 ? versions[0]![0] : undefined;
    }

    private ensureService(service: string): ServiceHistory {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = { sinceMs: this.clock.monotonicMs(), lastSeenMs: new Map() };
        this.services.set(service, created);
        return created;
    }
}
