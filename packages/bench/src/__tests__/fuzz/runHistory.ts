/**
 * Runs one history of the whole system.
 *
 * @packageDocumentation
 */
import { settle } from "../../../../state/src/configuration/__tests__/cluster.js";
import { SystemHistory } from "./systemHistory.js";
import type { SystemMutant } from "./systemMutant.js";
import { runStep, type SystemStep } from "./systemSteps.js";

/**
 * Runs one history on a new simulation.
 *
 * @param mutant - Version of the system.
 * @param steps - Commands, in order.
 * @returns The finished history.
 * @throws Error when the oracle detects a violation.
 */
export async function runHistory(mutant: SystemMutant, steps: readonly SystemStep[]): Promise<SystemHistory> {
    const history = new SystemHistory(mutant);
    try {
        await history.start();
        for (const step of steps) {
            await runStep(history, step);
            // Operations that a node started in this tick finish before the next step, which may crash the node.
            await settle();
            history.simulation.recordStoreHealth();
        }
        await history.checkFinalState();
    } finally {
        history.simulation.close();
    }
    return history;
}
