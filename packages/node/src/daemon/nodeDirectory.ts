/**
 * What this node knows of the others' state.
 *
 * @packageDocumentation
 */
import { MembershipState, type MemberStatement } from "@pimentocleat/policy";
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
     * @param members - The other nodes that membership knows of; some may not have told their state yet.
     * @returns All known nodes, sorted by name.
     */
    listNodes(self: NodeStatus, members: readonly MemberStatement[]): readonly NodeStatus[] {
        const others = members.map((member) => this.buildMemberStatus(member));
        return [self, ...others].sort((left, right) => (left.name < right.name ? -1 : 1));
    }

    private buildMemberStatus({ name, dataCentre, state }: MemberStatement): NodeStatus {
        const told = this.statuses.get(name) ?? {
            name,
            dataCentre,
            state: "unknown",
            revision: 0,
            callerAddress: "",
            operatorAddress: "",
        };
        return state === MembershipState.Suspect ? { ...told, state: "unreachable" } : told;
    }
}
