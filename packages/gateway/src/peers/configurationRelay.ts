/**
 * Sends a new configuration from the node that reads the store to its neighbours, so that not every node reads it from
 * the store. A neighbour that misses the message learns of the version from the next update and reads the store.
 *
 * @packageDocumentation
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import { parseBoundedJson, type Row, type RowChange } from "@pimentocleat/services";
import type { Logger } from "@pimentocleat/telemetry";
import type { RowReceiver } from "../following/rowFollower.js";

/** Schema of the message; the row's value is JSON, compressed and in base64. */
export const configurationMessageSchema = z.object({
    type: z.literal("configuration"),
    key: z.string(),
    version: z.number().nonnegative(),
    value: z.string(),
});

/** A row of the configuration table. */
export type ConfigurationMessage = z.infer<typeof configurationMessageSchema>;

/** Options of {@link ConfigurationRelay}. */
export interface ConfigurationRelayOptions {
    /** Applies rows to this node. */
    readonly receiver: RowReceiver;
    /** Whether this node reads the store for its neighbours. */
    readonly isServing: () => boolean;
    /** Sends a message to all other nodes of this data centre. */
    readonly send: (message: ConfigurationMessage) => void;
    readonly logger: Logger;
}

/** Maximum length of a message's value; a larger configuration is read from the store by every node. */
const maximumValueLength = 48_000;
/** Maximum size of an uncompressed value, in bytes. */
const maximumInflatedBytes = 4_000_000;

/** Receives the rows of the configuration table and passes them on. */
export class ConfigurationRelay implements RowReceiver {
    private lastVersion = 0;

    /** @param options - The receiver and the neighbours. */
    constructor(private readonly options: ConfigurationRelayOptions) {}

    setRows(rows: readonly Row[], position: number): void {
        // The message precedes the update that announces the version, so that no neighbour reads the store for it.
        rows.forEach((row) => this.sendRow(row));
        this.options.receiver.setRows(rows, position);
    }

    applyChanges(changes: readonly RowChange[]): void {
        changes.forEach((change) => {
            if (change.type === "put") {
                this.sendRow(change.row);
            }
        });
        this.options.receiver.applyChanges(changes);
    }

    /**
     * Applies a row that another node sent.
     *
     * @param message - The row.
     */
    receiveMessage({ key, version, value }: ConfigurationMessage): void {
        try {
            const text = inflateRawSync(Buffer.from(value, "base64"), {
                maxOutputLength: maximumInflatedBytes,
            }).toString("utf8");
            const row = { key, version, value: parseBoundedJson(text) };
            this.options.receiver.applyChanges([{ type: "put", row }]);
            this.lastVersion = Math.max(this.lastVersion, version);
        } catch (error) {
            this.options.logger.writeEvent("peerMessageUnreadable", { reason: String(error) });
        }
    }

    private sendRow({ key, version, value }: Row): void {
        if (version <= this.lastVersion || !this.options.isServing()) {
            return;
        }
        this.lastVersion = version;
        const encoded = deflateRawSync(JSON.stringify(value)).toString("base64");
        if (encoded.length <= maximumValueLength) {
            this.options.send({ type: "configuration", key, version, value: encoded });
        }
    }
}
