/**
 * The heads: one row each for the configuration and the withdrawals, read together in one call.
 *
 * @packageDocumentation
 */
import type { RowCondition, RowWrite, TableService } from "@pimentocleat/services";
import { z } from "zod";

const headTableName = "heads";
const configurationHeadKey = "configuration";
const withdrawalHeadKey = "withdrawals";

const configurationHeadSchema = z.object({
    revision: z.int().positive(),
    digest: z.string(),
    author: z.string(),
    appliedAtMs: z.number(),
});

const withdrawalHeadSchema = z.object({ sequence: z.int().positive() });

/** The newest revision of the configuration. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** A head with the version of its row; 0 when the row is absent. */
export interface VersionedHead<Head> {
    readonly head: Head;
    readonly version: number;
}

/** Both heads at one moment. */
export interface Heads {
    readonly configuration: VersionedHead<ConfigurationHead | undefined>;
    /** Number of the last withdrawal; 0 when there is none. */
    readonly withdrawals: VersionedHead<number>;
}

/**
 * Reads both heads in one call.
 *
 * @param tableService - The table service.
 * @returns The heads; throws a `PlatformError` on failure.
 */
export async function readHeads(tableService: TableService): Promise<Heads> {
    const rows = new Map((await tableService.scanRows(headTableName)).map((row) => [row.key, row]));
    const configuration = rows.get(configurationHeadKey);
    const withdrawals = rows.get(withdrawalHeadKey);
    return {
        configuration: {
            head: configuration && configurationHeadSchema.parse(configuration.value),
            version: configuration?.version ?? 0,
        },
        withdrawals: {
            head: withdrawals === undefined ? 0 : withdrawalHeadSchema.parse(withdrawals.value).sequence,
            version: withdrawals?.version ?? 0,
        },
    };
}

/** A condition and a write that move a head. */
export interface HeadUpdate {
    readonly condition: RowCondition;
    readonly write: RowWrite;
}

/**
 * Builds the move of the configuration's head.
 *
 * @param version - Version of the head's row that the move builds on.
 * @param head - The new head.
 * @returns The move.
 */
export function buildConfigurationHeadUpdate(version: number, head: ConfigurationHead): HeadUpdate {
    return buildHeadUpdate(configurationHeadKey, version, { ...head });
}

/**
 * Builds the move of the withdrawals' head.
 *
 * @param version - Version of the head's row that the move builds on.
 * @param sequence - Number of the last withdrawal.
 * @returns The move.
 */
export function buildWithdrawalHeadUpdate(version: number, sequence: number): HeadUpdate {
    return buildHeadUpdate(withdrawalHeadKey, version, { sequence });
}

function buildHeadUpdate(key: string, version: number, value: Record<string, string | number>): HeadUpdate {
    return { condition: { table: headTableName, key, version }, write: { table: headTableName, key, value } };
}
