/**
 * Orders to the engine: which models, versions and adapters it serves and in which role.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { z } from "zod";

const versionedNameSchema = z.strictObject({ name: z.string().min(1), version: z.string().min(1) });

/** Body of `POST /orders`: a wanted state; fields left out stay as they are. */
export const engineOrderSchema = z.strictObject({
    sender: z.string().min(1),
    fencingNumber: z.int().nonnegative(),
    /** Grows with each change of the wanted state. */
    generation: z.int().nonnegative(),
    models: z.array(versionedNameSchema).optional(),
    adapters: z.array(versionedNameSchema).optional(),
    role: z.enum(["mixed", "prefill", "decode"]).optional(),
});

/** A wanted state of the engine. */
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** What the engine did with an order. */
export type EngineOrderResult =
    | { readonly outcome: "accepted" }
    | { readonly outcome: "stale"; readonly fencingNumber: number; readonly generation: number };

/** An order and what became of it. */
export interface ReceivedEngineOrder {
    /** Wall time of arrival, in milliseconds since the Unix epoch. */
    readonly receivedAtMs: number;
    readonly order: EngineOrder;
    readonly result: EngineOrderResult;
}

/** What the engine serves. */
export interface EngineState {
    readonly models: readonly z.infer<typeof versionedNameSchema>[];
    readonly adapters: readonly z.infer<typeof versionedNameSchema>[];
    readonly role: NonNullable<EngineOrder["role"]>;
    readonly fencingNumber: number;
    readonly generation: number;
}

/** Settings of the orders. */
export interface EngineOrdersOptions {
    readonly models: readonly string[];
    /** Whether an order with an old fencing number is refused. */
    readonly checksFencing: boolean;
    /** Time to load what an order adds, in milliseconds. */
    readonly loadMs: number;
    readonly clock: Clock;
}

const initialVersion = "1";

/** Applies orders and tells what is loaded. */
export class EngineOrders {
    private readonly received: ReceivedEngineOrder[] = [];
    private state: EngineState;
    private readonly readyAtMs = new Map<string, number>();

    /**
     * @param options - Settings.
     */
    constructor(private readonly options: EngineOrdersOptions) {
        const models = options.models.map((name) => ({ name, version: initialVersion }));
        this.state = { models, adapters: [], role: "mixed", fencingNumber: 0, generation: 0 };
        models.forEach((model) => this.readyAtMs.set(formatVersionedName(model), -Infinity));
    }

    /** @returns The state in force, loading or not. */
    readState(): EngineState {
        return this.state;
    }

    /** @returns All orders, in the order of arrival. */
    listReceived(): readonly ReceivedEngineOrder[] {
        return this.received;
    }

    /** @returns Names of the models and adapters that can answer now. */
    listServed(): readonly string[] {
        const nowMs = this.options.clock.monotonicMs();
        return [...this.state.models, ...this.state.adapters]
            .filter((entry) => (this.readyAtMs.get(formatVersionedName(entry)) ?? Infinity) <= nowMs)
            .map((entry) => entry.name);
    }

    /**
     * Receives an order.
     *
     * @param order - The order.
     * @returns What became of it.
     */
    handleOrder(order: EngineOrder): EngineOrderResult {
        const result = this.applyOrder(order);
        this.received.push({ receivedAtMs: this.options.clock.wallMs(), order, result });
        return result;
    }

    private applyOrder(order: EngineOrder): EngineOrderResult {
        const { fencingNumber, generation } = this.state;
        const isOld = order.fencingNumber < fencingNumber || order.generation < generation;
        if (this.options.checksFencing && isOld) {
            return { outcome: "stale", fencingNumber, generation };
        }
        this.state = {
            models: order.models ?? this.state.models,
            adapters: order.adapters ?? this.state.adapters,
            role: order.role ?? this.state.role,
            fencingNumber: order.fencingNumber,
            generation: order.generation,
        };
        this.startLoading();
        return { outcome: "accepted" };
    }

    private startLoading(): void {
        const entries = [...this.state.models, ...this.state.adapters].map(formatVersionedName);
        const loadedAtMs = this.options.clock.monotonicMs() + this.options.loadMs;
        for (const key of this.readyAtMs.keys()) {
            if (!entries.includes(key)) {
                this.readyAtMs.delete(key);
            }
        }
        for (const key of entries) {
            this.readyAtMs.set(key, this.readyAtMs.get(key) ?? loadedAtMs);
        }
    }
}

function formatVersionedName(entry: z.infer<typeof versionedNameSchema>): string {
    return `${entry.name}@${entry.version}`;
}
