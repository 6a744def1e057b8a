/**
 * Orders that set which models, versions and adapters the engine serves and in which role.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import { z } from "zod";

const versionedNameSchema = z.strictObject({ name: z.string().min(1), version: z.string().min(1) });

/** Body of `POST /orders`: the desired state. An absent field leaves its part of the state unchanged. */
export const engineOrderSchema = z.strictObject({
    sender: z.string().min(1),
    fencingNumber: z.int().nonnegative(),
    /** Increases with each change of the desired state. */
    generation: z.int().nonnegative(),
    models: z.array(versionedNameSchema).optional(),
    adapters: z.array(versionedNameSchema).optional(),
    role: z.enum(["mixed", "prefill", "decode"]).optional(),
});

/** A desired state of the engine. */
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** Result of an order; for a stale order it holds the current fencing number and generation. */
export type EngineOrderResult =
    | { readonly outcome: "accepted" }
    | { readonly outcome: "stale"; readonly fencingNumber: number; readonly generation: number };

/** A received order and its result. */
export interface ReceivedEngineOrder {
    /** Wall time of arrival, in milliseconds since the Unix epoch. */
    readonly receivedAtMs: number;
    readonly order: EngineOrder;
    readonly result: EngineOrderResult;
}

/** State of the engine, with the fencing number and generation of the last applied order. */
export interface EngineState {
    readonly models: readonly z.infer<typeof versionedNameSchema>[];
    readonly adapters: readonly z.infer<typeof versionedNameSchema>[];
    readonly role: NonNullable<EngineOrder["role"]>;
    readonly fencingNumber: number;
    readonly generation: number;
}

/** Settings of {@link EngineOrders}. */
export interface EngineOrdersOptions {
    /** Names of the models that are loaded from the start. */
    readonly models: readonly string[];
    /** Whether an order is refused if its fencing number or generation is lower than the current one. */
    readonly checksFencing: boolean;
    /** Time to load the models and adapters that an order adds, in milliseconds. */
    readonly loadMs: number;
    readonly clock: Clock;
}

const initialVersion = "1";

/** Applies orders and tracks which models and adapters are loaded. */
export class EngineOrders {
    private readonly received: ReceivedEngineOrder[] = [];
    private state: EngineState;
    /** Monotonic time at which each name and version is loaded, in milliseconds. */
    private readonly loadedAtMs = new Map<string, number>();

    /**
     * @param options - Settings.
     */
    constructor(private readonly options: EngineOrdersOptions) {
        const models = options.models.map((name) => ({ name, version: initialVersion }));
        this.state = { models, adapters: [], role: "mixed", fencingNumber: 0, generation: 0 };
        models.forEach((model) => this.loadedAtMs.set(formatVersionedName(model), -Infinity));
    }

    /** @returns The current state, including models and adapters that are still loading. */
    readState(): EngineState {
        return this.state;
    }

    /** @returns All received orders, in the order of arrival. */
    listReceived(): readonly ReceivedEngineOrder[] {
        return this.received;
    }

    /** @returns Names of the models and adapters that are loaded. */
    listServed(): readonly string[] {
        const nowMs = this.options.clock.monotonicMs();
        return [...this.state.models, ...this.state.adapters]
            .filter((entry) => (this.loadedAtMs.get(formatVersionedName(entry)) ?? Infinity) <= nowMs)
            .map((entry) => entry.name);
    }

    /**
     * Applies an order and records it with its result.
     *
     * @param order - The order.
     * @returns The result.
     */
    handleOrder(order: EngineOrder): EngineOrderResult {
        const result = this.applyOrder(order);
        this.received.push({ receivedAtMs: this.options.clock.wallMs(), order, result });
        return result;
    }

    private applyOrder(order: EngineOrder): EngineOrderResult {
        const { fencingNumber, generation } = this.state;
        const isStale = order.fencingNumber < fencingNumber || order.generation < generation;
        if (this.options.checksFencing && isStale) {
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
        const newLoadedAtMs = this.options.clock.monotonicMs() + this.options.loadMs;
        for (const key of this.loadedAtMs.keys()) {
            if (!entries.includes(key)) {
                this.loadedAtMs.delete(key);
            }
        }
        for (const key of entries) {
            this.loadedAtMs.set(key, this.loadedAtMs.get(key) ?? newLoadedAtMs);
        }
    }
}

function formatVersionedName(entry: z.infer<typeof versionedNameSchema>): string {
    return `${entry.name}@${entry.version}`;
}
