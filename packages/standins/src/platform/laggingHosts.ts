/**
 * A list of hosts that shows changes late.
 *
 * @packageDocumentation
 */
import type { ListedHost } from "@pimentocleat/platform";
import type { Clock } from "@pimentocleat/types";

interface HostListVersion {
    readonly visibleAtMs: number;
    readonly hosts: readonly ListedHost[];
}

/** The host list of the platform stand-in. */
export class LaggingHosts {
    private versions: HostListVersion[] = [];

    /**
     * @param lagMs - How late a change shows, in milliseconds.
     * @param clock - Source of time.
     */
    constructor(
        private readonly lagMs: number,
        private readonly clock: Clock,
    ) {}

    /**
     * Changes the list; the first list shows at once.
     *
     * @param hosts - The new list.
     */
    setHosts(hosts: readonly ListedHost[]): void {
        const lagMs = this.versions.length === 0 ? 0 : this.lagMs;
        this.versions.push({ visibleAtMs: this.clock.monotonicMs() + lagMs, hosts });
    }

    /** @returns The list as the platform shows it now. */
    listHosts(): readonly ListedHost[] {
        const nowMs = this.clock.monotonicMs();
        const current = this.versions.findLastIndex((version) => version.visibleAtMs <= nowMs);
        if (current > 0) {
            this.versions = this.versions.slice(current);
        }
        return this.versions[0]?.hosts ?? [];
    }
}
