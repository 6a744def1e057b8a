import { describe, expect, it } from "vitest";
import {
    buildDigest,
    buildSecret,
    Cluster,
    convergenceBoundMs,
    defaultParts,
} from "../../configuration/__tests__/cluster.js";

const keyIds = ["k0", "k1", "k2"];
const entries = keyIds.map((id) => `{id: ${id}, customer: c, digest: ${buildDigest(id)}}`).join(", ");
const files = [{ name: "a.yaml", content: `{customers: [{name: c}], keys: [${entries}]}` }];

async function startCluster(nodeCount: number): Promise<Cluster> {
    const cluster = new Cluster(defaultParts, nodeCount, 3);
    await cluster.finish(cluster.createOperator().applyChanges({ author: "o", changes: files }));
    await cluster.advance(convergenceBoundMs);
    cluster.arePeersReachable = false;
    return cluster;
}

describe("WithdrawalFollower", () => {
    it("misses no withdrawal when two polls overlap", async () => {
        const cluster = await startCluster(2);
        const [first, second] = cluster.nodes as [Cluster["nodes"][number], Cluster["nodes"][number]];
        await cluster.finish(first.withdrawals.withdrawKey("k0", "o"));
        await cluster.finish(Promise.all([second.follower.pollOnce(), second.follower.pollOnce()]));
        await cluster.finish(first.withdrawals.withdrawKey("k1", "o"));
        await cluster.advance(convergenceBoundMs);
        expect(second.registry.findKey(buildSecret("k0")).type).toBe("withdrawn");
        expect(second.registry.findKey(buildSecret("k1")).type).toBe("withdrawn");
        cluster.close();
    });

    it.each([100, 900, 1_500])(
        "records a withdrawal while each store call takes %i ms",
        async (storeDelayMs) => {
            const cluster = await startCluster(1);
            cluster.storeDelayMs = storeDelayMs;
            const result = await cluster.finish(cluster.nodes[0]!.withdrawals.withdrawKey("k2", "o"));
            expect(result).toEqual({ type: "accepted", recorded: true, peers: 0 });
            cluster.close();
        },
    );

    it("keeps a withdrawal that reached nobody, and accepts it when it is asked again", async () => {
        const cluster = await startCluster(2);
        cluster.isStoreDown = true;
        const node = cluster.nodes[0]!;
        expect(await cluster.finish(node.withdrawals.withdrawKey("k0", "o"))).toEqual({ type: "localOnly" });
        expect(node.registry.findKey(buildSecret("k0")).type).toBe("withdrawn");
        cluster.arePeersReachable = true;
        expect(await cluster.finish(node.withdrawals.withdrawKey("k0", "o"))).toEqual({
            type: "accepted",
            recorded: false,
            peers: 1,
        });
        cluster.isStoreDown = false;
        await cluster.advance(convergenceBoundMs);
        expect(node.registry.listUnrecorded()).toEqual([]);
        expect(await cluster.finish(node.withdrawals.withdrawKey("k0", "o"))).toEqual({
            type: "alreadyWithdrawn",
        });
        cluster.close();
    });
});
