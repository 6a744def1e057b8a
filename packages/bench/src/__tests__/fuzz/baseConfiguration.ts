/**
 * Base configuration of the whole-system histories.
 *
 * @packageDocumentation
 */
import { buildDigest } from "../../../../state/src/configuration/__tests__/cluster.js";

export const poolName = "pool";
export const nodeCount = 3;
export const keyIds = ["k0", "k1", "k2"];
export const serverCount = 3;
export const routes = ["/first", "/second", "/third"];
/** Configuration files that are applied at the start of each history. */
export const baseFiles = [
    {
        name: "base.yaml",
        content: JSON.stringify({
            customers: keyIds.map((id) => ({ name: `customer-${id}` })),
            classes: [1, 2, 3].map((tier) => ({
                name: `tier-${tier}`,
                tier,
                firstTokenMs: [4_000, 8_000, 30_000][tier - 1],
                completeMs: 60_000,
                floorShare: 0.02,
            })),
            pools: [{ name: poolName, kind: "plain", retryShare: 1, servers: buildServers() }],
            routes: [
                ...routes.map((path, index) => ({
                    path: `${path}/*`,
                    methods: ["POST"],
                    pool: poolName,
                    repeatable: true,
                    class: `tier-${index + 1}`,
                })),
                {
                    path: "/orders/*",
                    methods: ["POST"],
                    pool: poolName,
                    repeatable: false,
                    class: "tier-1",
                },
            ],
        }),
    },
    {
        name: "keys.yaml",
        content: JSON.stringify({
            keys: keyIds.map((id) => ({ id, customer: `customer-${id}`, digest: buildDigest(id) })),
        }),
    },
];

function buildServers(): object[] {
    return Array.from({ length: serverCount }, (...[, index]) => ({
        name: `server-${index}`,
        address: `127.0.0.1:${9_000 + index}`,
        dataCentre: "one",
        slots: 2,
    }));
}
