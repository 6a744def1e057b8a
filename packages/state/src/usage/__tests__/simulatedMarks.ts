/**
 * How simulated nodes tell each other which windows were reported.
 *
 * @packageDocumentation
 */
import type { LeaseNode, LeaseSimulation } from "../../leases/__tests__/leaseSimulation.js";
import { ReportedWindows } from "../reportedWindows.js";

/**
 * Each node tells all others how far it has reported, and one that starts how far all have. With a network, these
 * messages can be late or lost, and a node tells one that starts only if it hears of its start.
 */
export class SimulatedMarks {
    private readonly windows = new Map<LeaseNode, ReportedWindows>();

    constructor(private readonly leases: LeaseSimulation) {}

    ensureReportedWindows(node: LeaseNode): ReportedWindows {
        const known = this.windows.get(node);
        if (known !== undefined) {
            return known;
        }
        const created = new ReportedWindows((mark) =>
            this.leases.allNodes.forEach((other) =>
                this.sendMessage(other, () => this.ensureReportedWindows(other).recordMark(mark)),
            ),
        );
        for (const other of this.leases.nodes.filter(({ host }) => !host.isFrozen)) {
            this.sendMessage(other, () => {
                const mark = this.windows.get(other)?.readMark();
                if (mark !== undefined) {
                    this.sendMessage(node, () => created.recordMark(mark));
                }
            });
        }
        this.windows.set(node, created);
        return created;
    }

    private sendMessage(target: LeaseNode, receive: () => void): void {
        const { network } = this.leases;
        if (network === undefined) {
            receive();
        } else {
            network.sendMessage(target.host, receive);
        }
    }
}
