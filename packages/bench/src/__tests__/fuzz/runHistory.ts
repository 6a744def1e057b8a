/**
 * Runs one history of the whole system.
 *
 * @packageDocumentation
 */
import { settle } from "../../../../state/src/configuration/__tests__/cluster.js";
import { SystemHistory } from "./systemHistory.js";
import type { SystemMutant } from "./systemMutant.js";
import { runStep, type SystemStep } from "./systemSteps.js";

/** Throws when something that must hold does not. */
export async function runHistory(mutant: SystemMutant, steps: readonly SystemStep[]): Promise<SystemHistory> {
    const history = new SystemHistory(mutant);
    try {
        await history.start();
        for (const step of steps) {
            await runStep(history, step);
            // What a node has already begun in this tick ends before the next step may crash it.
            await settle();
            history.simulation.recordStoreHealth();
        }
        await history.checkFinalState();
    } finally {
        history.simulation.close();
    }
    return history;
}
