/**
 * Hosts that order servers under a lease from a receiver that records every order.
 *
 * @packageDocumentation
 */
import { PlatformError, PlatformErrorKind } from "@pimentocleat/services";
import type { OrderingService, OrderResult, ServerOrder } from "@pimentocleat/services";
import type { ManualClock } from "@pimentocleat/types";
import type { LeaseHandle } from "../../leases/heldLease.js";
import {
    defaultWireBoundMs,
    LeaseSimulation,
    type LeaseNode,
    type LeaseSimulationOptions,
} from "../../leases/__tests__/leaseSimulation.js";
import { OrderSender } from "../orderSender.js";

export const pool = "pool";
export const orderLease = "ordering/pool";

/** What happens to an order on the wire. */
export type WireFault = "none" | "slow" | "lostOrder" | "lostAnswer";

/** Where a host is frozen around its send. */
export type FreezePoint = "none" | "betweenCheckAndSend" | "afterSend";

/** The platform's side: applies orders when they arrive and keeps the record. */
export class RecordingReceiver {
    readonly accepted: ServerOrder[] = [];
    planWire: () => WireFault = () => "none";

    constructor(
        private readonly clock: ManualClock,
        private readonly checksFencing: boolean,
        private readonly wireBoundMs: number,
    ) {}

    /** Carries an order over the wire; the sender's freezes do not stop it. */
    async deliver(order: ServerOrder): Promise<OrderResult> {
        const fault = this.planWire();
        if (fault === "lostOrder") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "order lost");
        }
        await this.clock.wait(fault === "slow" ? this.wireBoundMs : 10);
        const result = this.handleOrder(order);
        if (fault === "lostAnswer") {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "answer lost");
        }
        return result;
    }

    private handleOrder(order: ServerOrder): OrderResult {
        const { fencingNumber, generation } = this.accepted.at(-1) ?? { fencingNumber: 0, generation: 0 };
        if (this.checksFencing && order.fencingNumber < fencingNumber) {
            return { outcome: "stale", fencingNumber, generation };
        }
        this.accepted.push(order);
        return { outcome: "accepted" };
    }
}

export interface OrderSimulationOptions extends Partial<LeaseSimulationOptions> {
    readonly checksFencing: boolean;
    /** What the senders believe of the receiver; differs for a mutant only. */
    readonly assumedChecksFencing?: boolean;
    /** Wraps the lease that a sender sees; mutants break it. */
    readonly wrapLease?: (lease: LeaseHandle) => LeaseHandle;
}

export class OrderSimulation {
    readonly leases: LeaseSimulation;
    readonly receiver: RecordingReceiver;
    private readonly wireBoundMs: number;
    desiredCount = 1;
    freezePoint: FreezePoint = "none";
    /** Whether the client asks again in the tick in which the first byte leaves. */
    checksAtFirstByte = true;

    constructor(private readonly options: OrderSimulationOptions) {
        this.wireBoundMs = options.wireBoundMs ?? defaultWireBoundMs;
        this.leases = new LeaseSimulation({
            nodeCount: 3,
            ...options,
            leases: [orderLease],
            onNode: (node) => queueMicrotask(() => void this.runDuty(node)),
        });
        this.receiver = new RecordingReceiver(this.leases.clock, options.checksFencing, this.wireBoundMs);
    }

    private async runDuty(node: LeaseNode): Promise<void> {
        let lease: LeaseHandle | undefined;
        let sender: OrderSender | undefined;
        while (!node.stopping.signal.aborted) {
            await node.host.wait(300);
            const current = node.manager.findHeldLease(orderLease);
            if (current !== lease) {
                lease = current;
                sender = current === undefined ? undefined : this.createSender(node, current);
            }
            const wanted = { pool, dataCentre: "one", reclaimable: false, count: this.desiredCount };
            await sender?.sendDesired(wanted);
        }
    }

    private createSender(node: LeaseNode, lease: LeaseHandle): OrderSender {
        return new OrderSender({
            tableService: node.table,
            orderingService: this.createClient(node),
            clock: node.host,
            lease: this.options.wrapLease?.(lease) ?? lease,
            node: node.name,
            pool,
            receiver: {
                checksFencing: this.options.assumedChecksFencing ?? this.options.checksFencing,
                wireBoundMs: this.wireBoundMs,
            },
            marginMs: 1_000,
            callTimeoutMs: 1_000,
        });
    }

    private createClient(node: LeaseNode): OrderingService {
        return {
            orderServers: async (...[order, , isSendAllowed = (): boolean => true]) => {
                if (this.freezePoint === "betweenCheckAndSend") {
                    this.freezePoint = "none";
                    node.host.freeze();
                    await node.host.waitUntilThawed();
                }
                if (this.checksAtFirstByte && !isSendAllowed()) {
                    throw new PlatformError(PlatformErrorKind.Unavailable, "send no longer allowed");
                }
                const delivered = this.receiver.deliver(order);
                if (this.freezePoint === "afterSend") {
                    this.freezePoint = "none";
                    node.host.freeze();
                }
                try {
                    return await delivered;
                } finally {
                    await node.host.waitUntilThawed();
                }
            },
        };
    }
}
