import { MemoryTableService, type TableService } from "@pimentocleat/services";
import { SilentLogger } from "@pimentocleat/telemetry";
import { ManualClock } from "@pimentocleat/types";
import { describe, expect, it } from "vitest";
import { UsageLedger } from "../usageLedger.js";
import { UsageRowWriter } from "../usageRowWriter.js";

const windowMs = 5_000;

function createLedger(tableService: TableService): UsageLedger {
    const clock = new ManualClock();
    const writer = new UsageRowWriter({ tableService, clock, callTimeoutMs: 1_000 });
    return new UsageLedger({ writer, clock, incarnation: "n0-1", windowMs, logger: new SilentLogger() });
}

function recordOne(ledger: UsageLedger): void {
    ledger.recordUsage({ customer: "c0", requests: 1, promptTokens: 0, completionTokens: 0 });
}

describe("UsageLedger", () => {
    it("reports a write as stored even if requests were counted during the write", async () => {
        const memory = new MemoryTableService();
        const service: TableService = {
            readRow: (table, key) => memory.readRow(table, key),
            scanRows: (table, options) => memory.scanRows(table, options),
            commitTransaction: (transaction) => {
                recordOne(ledger);
                return memory.commitTransaction(transaction);
            },
        };
        const ledger = createLedger(service);
        recordOne(ledger);
        expect(await ledger.flushOnce()).toBe(true);
    });

    it("reports a failed write", async () => {
        const memory = new MemoryTableService();
        const ledger = createLedger(memory);
        recordOne(ledger);
        memory.setFaultPlan(() => "lostReply");
        expect(await ledger.flushOnce()).toBe(false);
        memory.setFaultPlan(() => "none");
        expect(await ledger.flushOnce()).toBe(true);
    });
});
