/**
 * The states of the other nodes, as last received.
 *
 * @packageDocumentation
 */
import { MembershipState, type MemberStatement } from "@pimentocleat/policy";
import type { NodeStatus } from "../operator/operatorBackend.js";

/** Holds the last state that each node announced; it lags by the time that records take to spread. */
export class NodeDirectory {
    private readonly statuses = new Map<string, NodeStatus>();

    /** @param status - The state that a node announced for itself. */
    setStatus(status: NodeStatus): void {
        this.statuses.set(status.name, status);
    }

    /** @param name - The node to remove. */
    removeNode(name: string): void {
        this.statuses.delete(name);
    }

    /**
     * Lists all known nodes.
     *
     * @param self - This node's own state.
     * @param members - The other nodes that are members; some may not have announced their state yet.
     * @returns All known nodes, sorted by name.
     */
    listNodes(self: NodeStatus, members: readonly MemberStatement[]): readonly NodeStatus[] {
        const others = members.map((member) => this.buildMemberStatus(member));
        return [self, ...others].sort((left, right) => (left.name < right.name ? -1 : 1));
    }

    private buildMemberStatus({ name, dataCentre, state }: MemberStatement): NodeStatus {
        const announced = this.statuses.get(name) ?? {
            name,
            dataCentre,
            state: "unknown",
            revision: 0,
            callerAddress: "",
            operatorAddress: "",
        };
        return state === MembershipState.Suspect ? { ...announced, state: "unreachable" } : announced;
    }
}
