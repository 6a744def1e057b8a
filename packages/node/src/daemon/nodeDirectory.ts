/**
 * What this node knows of the others' state.
 *
 * @packageDocumentation
 */
import type { NodeStatus } from "../operator/operatorBackend.js";

/** The last state that each node told; soft, and late by the time that records take to spread. */
export class NodeDirectory {
    private readonly statuses = new Map<string, NodeStatus>();

    /** @param status - What a node told about itself. */
    setStatus(status: NodeStatus): void {
        this.statuses.set(status.name, status);
    }

    /** @param name - A node that is gone. */
    removeNode(name: string): void {
        this.statuses.delete(name);
    }

    /**
     * Lists the nodes.
     *
     * @param self - This node's own state.
     * @returns All known nodes, sorted by name.
     */
    listNodes(self: NodeStatus): readonly NodeStatus[] {
        const all = new Map(this.statuses).set(self.name, self);
        return [...all.values()].sort((left, right) => (left.name < right.name ? -1 : 1));
    }
}
