/**
 * The data centres that operators have evacuated: no request may be sent to their servers.
 *
 * @packageDocumentation
 */
import { readEra } from "@pimentocleat/services";
import type { Logger, Metrics } from "@pimentocleat/telemetry";

/** Whether a data centre is evacuated, and the store version that says so. */
export interface EvacuationState {
    readonly dataCentre: string;
    readonly version: number;
    readonly isEvacuated: boolean;
}

/** Options of {@link Evacuations}. */
export interface EvacuationsOptions {
    /** Whether the deployment has evacuations; without, nothing is unknown before the first read. */
    readonly isEnabled: boolean;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Called with a data centre whose evacuation begins or ends. */
export type EvacuationListener = (state: EvacuationState) => void;

/**
 * Keeps the last known state of each data centre. It holds while the store is away, and an older version never replaces
 * a newer one.
 */
export class Evacuations {
    private readonly states = new Map<string, EvacuationState>();
    private readonly listeners: EvacuationListener[] = [];
    private isRead = false;

    /** @param options - The deployment and the recorders. */
    constructor(private readonly options: EvacuationsOptions) {}

    /** @param listener - Called when an evacuation begins or ends. */
    addListener(listener: EvacuationListener): void {
        this.listeners.push(listener);
    }

    /**
     * Replaces the set of evacuated data centres by a complete read of the store. An evacuation that is missing because
     * the store came back from an older copy holds until a later change of its row: nobody has removed the row.
     *
     * @param evacuated - The evacuated data centres.
     * @param position - Store version of the read.
     */
    setEvacuations(evacuated: readonly EvacuationState[], position: number): void {
        this.isRead = true;
        const present = new Set(evacuated.map(({ dataCentre }) => dataCentre));
        const ended = this.listStates().filter(
            ({ dataCentre, version, isEvacuated }) =>
                isEvacuated &&
                !present.has(dataCentre) &&
                version <= position &&
                readEra(version) === readEra(position),
        );
        this.mergeStates([
            ...evacuated,
            ...ended.map(({ dataCentre }) => ({ dataCentre, version: position, isEvacuated: false })),
        ]);
    }

    /**
     * Merges states of data centres; older ones than those known have no effect.
     *
     * @param states - The states.
     */
    mergeStates(states: readonly EvacuationState[]): void {
        for (const state of states) {
            const known = this.states.get(state.dataCentre);
            if (known !== undefined && known.version >= state.version) {
                continue;
            }
            this.states.set(state.dataCentre, state);
            if ((known?.isEvacuated ?? false) !== state.isEvacuated) {
                this.recordChange(state);
            }
        }
    }

    /**
     * Merges the states that a neighbour relays, which are all that it knows.
     *
     * @param states - The states; undefined from a neighbour that does not know the evacuations.
     */
    mergeRelayedStates(states: readonly EvacuationState[] | undefined): void {
        if (states !== undefined) {
            this.isRead = true;
            this.mergeStates(states);
        }
    }

    /** @returns The states to relay; undefined while this node does not know the evacuations. */
    listRelayedStates(): readonly EvacuationState[] | undefined {
        return this.isRead ? this.listStates() : undefined;
    }

    /** @returns Whether this node knows the evacuations, or the deployment has none. */
    isKnown(): boolean {
        return this.isRead || !this.options.isEnabled;
    }

    /**
     * Checks whether requests may be sent to the servers of a data centre.
     *
     * @param dataCentre - Name of the data centre.
     * @returns False while it is evacuated, and while this node does not know the evacuations.
     */
    isOpen(dataCentre: string): boolean {
        return this.isKnown() && this.states.get(dataCentre)?.isEvacuated !== true;
    }

    /** @returns The evacuated data centres. */
    listEvacuated(): ReadonlySet<string> {
        const evacuated = this.listStates().filter(({ isEvacuated }) => isEvacuated);
        return new Set(evacuated.map(({ dataCentre }) => dataCentre));
    }

    private listStates(): readonly EvacuationState[] {
        return [...this.states.values()];
    }

    private recordChange(state: EvacuationState): void {
        const { logger, metrics } = this.options;
        const { dataCentre, version, isEvacuated } = state;
        logger.writeEvent(isEvacuated ? "evacuationStarted" : "evacuationEnded", { dataCentre, version });
        metrics.setGauge("dataCentre.evacuated", isEvacuated ? 1 : 0, { dataCentre });
        this.listeners.forEach((listener) => listener(state));
    }
}
