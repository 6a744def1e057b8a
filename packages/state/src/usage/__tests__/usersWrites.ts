/**
 * Writes of usage at the pace of a node of the users' platform.
 *
 * @packageDocumentation
 */
import { computeWindowStartMs } from "@pimentocleat/policy";
import type { SimulatedHost } from "../../retrying/__tests__/simulatedHost.js";
import type { UsageLedger } from "../usageLedger.js";
import type { UsageDurations } from "./usageDurations.js";

/** Writes counts as the gateway does: at intervals and after each window; copies only what was not written. */
export async function runUsersWrites(
    host: SimulatedHost,
    ledger: UsageLedger,
    { windowMs, flushIntervalMs, users }: UsageDurations,
    random: () => number,
): Promise<void> {
    const { finalWriteDelayMs = 0, failedWriteRetryMs = 0 } = users ?? {};
    for (;;) {
        if (await ledger.flushOnce()) {
            const leftMs = computeWindowStartMs(host.wallMs(), windowMs) + windowMs - host.wallMs();
            const afterEndMs = leftMs + finalWriteDelayMs * (0.5 + random());
            await host.wait(Math.min(afterEndMs, flushIntervalMs * (0.75 + 0.5 * random())));
        } else {
            await ledger.copyOnce();
            await host.wait(failedWriteRetryMs);
        }
    }
}
