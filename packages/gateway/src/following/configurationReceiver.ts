/**
 * Activates the operators' configuration and evacuations when they are read from the store.
 *
 * @packageDocumentation
 */
import type { Row, RowChange } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { Evacuations, EvacuationState } from "../configuration/evacuations.js";
import type { PlatformAdapter } from "../lifecycle/platformAdapter.js";
import type { RowReceiver } from "./rowFollower.js";

/** Receives rows of the configuration table. */
export class ConfigurationReceiver implements RowReceiver {
    /**
     * @param adapter - Decodes the configuration.
     * @param configuration - Activates newer versions.
     * @param evacuations - Receives the evacuated data centres.
     * @param logger - Records rows that cannot be decoded.
     */
    constructor(
        private readonly adapter: PlatformAdapter,
        private readonly configuration: ActiveConfiguration,
        private readonly evacuations: Evacuations,
        private readonly logger: Logger,
    ) {}

    setRows(rows: readonly Row[], position: number): void {
        // First, so that a node that starts never has a configuration without knowing the evacuations.
        this.evacuations.setEvacuations(
            rows.flatMap(({ key, version }) => this.buildState(key, version, true)),
            position,
        );
        rows.forEach((row) => this.applyRow(row));
    }

    applyChanges(changes: readonly RowChange[]): void {
        this.evacuations.mergeStates(
            changes.flatMap((change) =>
                change.type === "put"
                    ? this.buildState(change.row.key, change.row.version, true)
                    : this.buildState(change.key, change.version, false),
            ),
        );
        changes.forEach((change) => {
            if (change.type === "put") {
                this.applyRow(change.row);
            }
        });
    }

    private buildState(key: string, version: number, isEvacuated: boolean): readonly EvacuationState[] {
        const dataCentre = this.adapter.decodeEvacuation(key);
        return dataCentre === undefined ? [] : [{ dataCentre, version, isEvacuated }];
    }

    private applyRow(row: Row): void {
        if (row.key !== this.adapter.configurationKey) {
            return;
        }
        try {
            this.configuration.applyConfiguration(this.adapter.decodeConfiguration(row));
        } catch (error) {
            this.logger.writeEvent("configurationRefused", { reason: String(error) });
        }
    }
}
