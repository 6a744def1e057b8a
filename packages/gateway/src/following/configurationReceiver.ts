/**
 * Activates the operators' configuration when it is read from the store.
 *
 * @packageDocumentation
 */
import type { Row, RowChange } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { PlatformAdapter } from "../lifecycle/platformAdapter.js";
import type { RowReceiver } from "./rowFollower.js";

/** Receives rows of the configuration table. */
export class ConfigurationReceiver implements RowReceiver {
    /**
     * @param adapter - Decodes the configuration.
     * @param configuration - Activates newer versions.
     * @param logger - Records rows that cannot be decoded.
     */
    constructor(
        private readonly adapter: PlatformAdapter,
        private readonly configuration: ActiveConfiguration,
        private readonly logger: Logger,
    ) {}

    setRows(rows: readonly Row[]): void {
        rows.forEach((row) => this.applyRow(row));
    }

    applyChanges(changes: readonly RowChange[]): void {
        changes.forEach((change) => {
            if (change.type === "put") {
                this.applyRow(change.row);
            }
        });
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
