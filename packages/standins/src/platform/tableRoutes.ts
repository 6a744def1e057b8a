/**
 * Routes of the table service; see docs/interfaces/table-service.md.
 *
 * @packageDocumentation
 */
import type { FastifyInstance } from "fastify";
import {
    readRequestSchema,
    scanRequestSchema,
    transactionSchema,
    type TableService,
} from "@pimentocleat/services";
import type { TokenBucket } from "../faults/tokenBucket.js";

/** Dependencies of the table service routes. */
export interface TableRouteOptions {
    readonly table: TableService;
    readonly readLimit: TokenBucket;
    readonly writeLimit: TokenBucket;
}

/**
 * Registers the table service routes.
 *
 * @param server - Server to add the routes to.
 * @param options - Table service and rate limits.
 */
export function registerTableRoutes(server: FastifyInstance, options: TableRouteOptions): void {
    const takeReadToken = (): number => options.readLimit.takeToken();
    const takeWriteToken = (): number => options.writeLimit.takeToken();
    const readConfig = { target: { service: "table", call: "read" }, takeToken: takeReadToken };
    const scanConfig = { target: { service: "table", call: "scan" }, takeToken: takeReadToken };
    const commitConfig = { target: { service: "table", call: "commit" }, takeToken: takeWriteToken };

    server.post("/table/read", { config: readConfig }, async (request) => {
        const { table, key } = readRequestSchema.parse(request.body);
        return { row: await options.table.readRow(table, key) };
    });
    server.post("/table/scan", { config: scanConfig }, async (request) => {
        const { table, ...scan } = scanRequestSchema.parse(request.body);
        return { rows: await options.table.scanRows(table, scan) };
    });
    server.post("/table/commit", { config: commitConfig }, async (request) =>
        options.table.commitTransaction(transactionSchema.parse(request.body)),
    );
}
