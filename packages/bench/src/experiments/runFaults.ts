/**
 * Faults of nodes and servers that experiments inject.
 *
 * @packageDocumentation
 */
import type { RunContext } from "./runContext.js";
import type { NodeState } from "./nodeState.js";

/** Time until the load balancer detects a dead node, or until the lease of a queue's owner expires. */
const deathNoticeDelayMs = 2_000;

/**
 * Kills a node. All its unfinished requests fail, and the engines cancel them because their
 * connections close.
 *
 * @param run - State of the run.
 * @param node - The node to kill.
 */
export function stopNode(run: RunContext, node: NodeState): void {
    node.state = "dead";
    node.deathNoticedMs = run.clock.monotonicMs() + deathNoticeDelayMs;
    for (const record of run.records.values()) {
        if (run.getNode(record) === node && !record.isEnded) {
            run.engines.get(record.server)?.cancelJob(record.arrival.requestId);
            run.recorder.recordFailure(record);
        }
    }
}

/**
 * Suspends a node for a time; it handles the requests and events of that time when it resumes.
 *
 * @param run - State of the run.
 * @param node - The node.
 * @param durationMs - Duration of the suspension, in milliseconds.
 */
export function stopNodeBriefly(run: RunContext, node: NodeState, durationMs: number): void {
    node.state = "frozen";
    run.delayedActions.add(durationMs, () => {
        node.state = "live";
        const { backlog } = node;
        node.backlog = [];
        backlog.forEach((handle) => handle());
    });
}

/**
 * Notifies all nodes that servers will be removed, and shuts the servers down after the notice period.
 *
 * @param run - State of the run.
 * @param servers - Names of the servers.
 * @param noticeMs - Notice period, in milliseconds.
 */
export function removeServers(run: RunContext, servers: readonly string[], noticeMs: number): void {
    const leavesAtMs = run.clock.monotonicMs() + noticeMs;
    for (const server of servers) {
        const leaving = run.engines.get(server);
        if (leaving !== undefined) {
            leaving.isLeaving = true;
        }
        for (const { scheduler } of run.nodes) {
            scheduler.recordLeaving({ server, leavesAtMs });
        }
        run.delayedActions.add(noticeMs, () => {
            const engine = run.engines.get(server);
            if (engine !== undefined) {
                engine.isDown = true;
            }
        });
    }
}
