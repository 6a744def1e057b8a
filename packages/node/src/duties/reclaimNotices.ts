/**
 * Detection of data centres whose reclaimable servers are under notice.
 *
 * @packageDocumentation
 */
import type { ListedHost } from "@pimentocleat/services";
import type { Pool } from "@pimentocleat/schema";

/**
 * Finds the data centres whose reclaimable servers are under notice. The platform reclaims all such servers
 * of a data centre together, so one leaving server is enough.
 *
 * @param hosts - The platform's host list.
 * @param pools - The pools of the active configuration.
 * @returns Names of the data centres.
 */
export function findNoticedDataCentres(
    hosts: readonly ListedHost[],
    pools: readonly Pool[],
): ReadonlySet<string> {
    const leaving = new Set(hosts.filter((host) => host.state === "leaving").map((host) => host.address));
    return new Set(
        pools
            .flatMap((pool) => pool.servers)
            .filter((server) => server.reclaimable && leaving.has(server.address))
            .map((server) => server.dataCentre),
    );
}
