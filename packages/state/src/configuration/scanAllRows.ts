/**
 * Paged reads of complete tables.
 *
 * @packageDocumentation
 */
import type { Row, TableService } from "@pimentocleat/services";

/** Number of rows that one call requests. */
const pageSize = 500;

/**
 * Reads all rows of a table, page by page. Rows that change during the read may be returned in either state.
 *
 * @param tableService - The table service.
 * @param table - Name of the table.
 * @param after - Reads only keys after this one; all keys when absent.
 * @returns The rows in the order of their keys; throws a `PlatformError` on failure.
 */
export async function scanAllRows(
    tableService: TableService,
    table: string,
    after?: string,
): Promise<readonly Row[]> {
    const rows: Row[] = [];
    let last = after;
    for (;;) {
        const page = await tableService.scanRows(table, {
            limit: pageSize,
            ...(last === undefined ? {} : { after: last }),
        });
        rows.push(...page);
        if (page.length < pageSize) {
            return rows;
        }
        last = page.at(-1)?.key;
    }
}
