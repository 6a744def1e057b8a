/**
 * Client of the table service over HTTP; see docs/interfaces/table-service.md.
 *
 * @packageDocumentation
 */
import type { CommitResult, Row, ScanOptions, TableService, Transaction } from "../table/tableService.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { commitAnswerSchema, readAnswerSchema, scanAnswerSchema } from "./wireSchemas.js";

/** HTTP client of the table service. */
export class HttpTableService extends PlatformHttpService implements TableService {
    /**
     * @param options - Address and limits of the service.
     */
    constructor(options: PlatformHttpOptions) {
        super("table service", options);
    }

    async readRow(table: string, key: string): Promise<Row | undefined> {
        const answer = await this.client.sendJson("/table/read", { table, key }, readAnswerSchema);
        return answer.row;
    }

    async scanRows(table: string, options: ScanOptions = {}): Promise<readonly Row[]> {
        const answer = await this.client.sendJson("/table/scan", { table, ...options }, scanAnswerSchema);
        return answer.rows;
    }

    async commitTransaction(transaction: Transaction): Promise<CommitResult> {
        return this.client.sendJson("/table/commit", transaction, commitAnswerSchema);
    }
}
