/**
 * Faults of nodes and servers in an experiment.
 *
 * @packageDocumentation
 */
import type { RunContext } from "./runContext.js";
import type { NodeState } from "./nodeState.js";

/** The balancer, or the lease of a queue's owner, needs this long to notice a dead node. */
const deathNoticeDelayMs = 2_000;

/**
 * Loses a node with all its requests; the engines stop them when its connections end.
 *
 * @param run - The run.
 * @param node - The node.
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
 * Freezes a node for a time; what arrives meanwhile is handled when it wakes.
 *
 * @param run - The run.
 * @param node - The node.
 * @param durationMs - How long.
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
 * Tells all nodes that servers go, and takes the servers away at that time.
 *
 * @param run - The run.
 * @param servers - Names of the servers.
 * @param noticeMs - Time until they go.
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
