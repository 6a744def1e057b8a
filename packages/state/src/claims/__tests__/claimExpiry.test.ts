import { describe, expect, it } from "vitest";
import { removeExpiredClaims } from "../claimExpiry.js";
import { claimTable } from "../claimRecord.js";
import { ClaimSimulation } from "./claimSimulation.js";

const retentionMs = 86_400_000;

async function removeAllExpired(simulation: ClaimSimulation): Promise<number> {
    let removed = 0;
    let after: string | undefined;
    do {
        const step = await removeExpiredClaims({
            tableService: simulation.memory,
            clock: simulation.clock,
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
    it("removes claims after their retention period and none before", async () => {
        const simulation = new ClaimSimulation(1);
        ["a", "b", "c", "d", "e"].forEach((key) => void simulation.request(0, key));
        await simulation.advance(1_000);
        simulation.clock.advance(retentionMs - 2_000);
        void simulation.request(0, "late");
        await simulation.advance(1_000);
        expect(await removeAllExpired(simulation)).toBe(0);
        simulation.clock.advance(60_000);
        expect(await removeAllExpired(simulation)).toBe(5);
        expect(await simulation.memory.scanRows(claimTable)).toHaveLength(1);
    });

    it("does not remove a row that changed after it was read", async () => {
        const simulation = new ClaimSimulation(1);
        void simulation.request(0, "a");
        await simulation.advance(1_000);
        simulation.clock.advance(retentionMs);
        const { memory } = simulation;
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
        const options = {
            tableService,
            clock: simulation.clock,
            retentionMs,
            pageRows: 10,
            after: undefined,
        };
        expect((await removeExpiredClaims(options)).removed).toBe(0);
        expect(await memory.readRow(claimTable, row!.key)).toBeDefined();
    });
});
