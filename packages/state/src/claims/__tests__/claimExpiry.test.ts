import { describe, expect, it } from "vitest";
import { removeExpiredClaims } from "../claimExpiry.js";
import { claimTable } from "../claimRecord.js";
import { ClaimSimulation } from "./claimSimulation.js";

const retentionMs = 86_400_000;

async function cleanAll(world: ClaimSimulation): Promise<number> {
    let removed = 0;
    let after: string | undefined;
    do {
        const step = await removeExpiredClaims({
            tableService: world.memory,
            clock: world.clock,
            retentionMs,
            pageRows: 2,
            after,
        });
        removed += step.removed;
        after = step.after;
    } while (after !== undefined);
    return removed;
}

describe("removeExpiredClaims", () => {
    it("removes claims after their retention and none before", async () => {
        const world = new ClaimSimulation(1);
        ["a", "b", "c", "d", "e"].forEach((key) => void world.request(0, key));
        await world.advance(1_000);
        world.clock.advance(retentionMs - 2_000);
        void world.request(0, "late");
        await world.advance(1_000);
        expect(await cleanAll(world)).toBe(0);
        world.clock.advance(60_000);
        expect(await cleanAll(world)).toBe(5);
        expect(await world.memory.scanRows(claimTable)).toHaveLength(1);
    });

    it("leaves a row that changed after it was read", async () => {
        const world = new ClaimSimulation(1);
        void world.request(0, "a");
        await world.advance(1_000);
        world.clock.advance(retentionMs);
        const { memory } = world;
        const [row] = await memory.scanRows(claimTable);
        const tableService = {
            readRow: memory.readRow.bind(memory),
            scanRows: memory.scanRows.bind(memory),
            commitTransaction: async (transaction: Parameters<typeof memory.commitTransaction>[0]) => {
                const writes = [{ table: claimTable, key: row!.key, value: row!.value }];
                await memory.commitTransaction({ conditions: [], writes });
                return memory.commitTransaction(transaction);
            },
        };
        const options = { tableService, clock: world.clock, retentionMs, pageRows: 10, after: undefined };
        expect((await removeExpiredClaims(options)).removed).toBe(0);
        expect(await memory.readRow(claimTable, row!.key)).toBeDefined();
    });
});
