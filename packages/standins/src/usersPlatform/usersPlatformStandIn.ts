/**
 * A stand-in for the users' platform: its row store and its endpoints for the nodes' duties, with fault injection.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { RowStore, type RowStoreCopy, type RowTransaction } from "./rowStore.js";

/**
 * How the store handles calls: normally (`usual`), with status 503 (`busy`) or 429 (`limited`), by resetting the
 * connection, or without a response (`silent`).
 */
export type StoreMode = "usual" | "busy" | "limited" | "reset" | "silent";

/**
 * How the store handles one write: normally (`usual`), by applying it without a response (`lost`), or by holding it
 * back without a response until {@link UsersPlatformStandIn.applyLateWrites} is called (`late`).
 */
export type WriteFault = "usual" | "lost" | "late";

/** A call that a node made as holder of a duty. */
export interface DutyCall {
    readonly path: string;
    /** Node that holds the duty. */
    readonly holder: string;
    /** Fencing number of the call. */
    readonly fence: number;
    readonly body: Record<string, unknown>;
}

const loopbackHost = "127.0.0.1";
/** Maximum number of rows in one page of a read. */
const maximumRowsPerPage = 500;
/** Published limit on the conditions and writes of one transaction. */
const maximumEntriesPerTransaction = 100;

/** Runs the row store and the duty endpoints as HTTP servers in this process. */
export class UsersPlatformStandIn {
    readonly rows = new RowStore();
    /** Calls to the duty endpoints, in the order of arrival. */
    readonly dutyCalls: DutyCall[] = [];
    /** HTTP status of subsequent calls that order servers. */
    orderStatus = 200;
    private storeMode: StoreMode = "usual";
    private era = 1;
    private writeFaults: WriteFault[] = [];
    private lateWrites: (() => void)[] = [];
    private storeCalls = 0;
    private readonly storeServer: Server;
    private readonly dutyServer: Server;

    /** Creates the HTTP servers without listening. */
    constructor() {
        this.storeServer = createServer((request, response) => void this.handleStoreCall(request, response));
        this.dutyServer = createServer((request, response) => void this.handleDutyCall(request, response));
    }

    /**
     * Starts listening on ports that the operating system chooses.
     *
     * @returns IP addresses and ports of the store and of the duty endpoints (`cloud`).
     */
    async open(): Promise<{ readonly store: string; readonly cloud: string }> {
        await Promise.all([this.storeServer, this.dutyServer].map((server) => startListening(server)));
        return { store: formatAddress(this.storeServer), cloud: formatAddress(this.dutyServer) };
    }

    /** Stops listening and closes all connections. */
    close(): void {
        for (const server of [this.storeServer, this.dutyServer]) {
            server.close();
            server.closeAllConnections();
        }
    }

    /** @param mode - How the store handles calls from now on. */
    setStoreMode(mode: StoreMode): void {
        this.storeMode = mode;
    }

    /**
     * Brings the store back from an older copy, which starts a new era.
     *
     * @param copy - The copy; the operator's and the servers' rows have to be written again by the caller.
     */
    recoverStore(copy: RowStoreCopy): void {
        this.era += 1;
        this.rows.recoverCopy(copy);
    }

    /** @param faults - Faults of the next writes, one per write, in order. */
    setWriteFaults(faults: readonly WriteFault[]): void {
        this.writeFaults = [...faults];
    }

    /** Applies the writes that were held back; each checks its conditions only at this moment. */
    applyLateWrites(): void {
        this.lateWrites.splice(0).forEach((apply) => apply());
    }

    /** @returns Number of calls to the store so far. */
    countStoreCalls(): number {
        return this.storeCalls;
    }

    private async handleStoreCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.storeCalls += 1;
        const body = await readBody(request);
        switch (this.storeMode) {
            case "silent":
                return;
            case "reset":
                request.socket.resetAndDestroy();
                return;
            case "busy":
                this.sendStoreAnswer(response, 503, {});
                return;
            case "limited":
                this.sendStoreAnswer(response, 429, {});
                return;
            case "usual":
                await this.serveStoreCall(request, response, body);
        }
    }

    private async serveStoreCall(
        request: IncomingMessage,
        response: ServerResponse,
        body: string,
    ): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        switch (url.pathname) {
            case "/-/rows-tx":
                this.serveTransaction(response, JSON.parse(body) as RowTransaction);
                return;
            case "/-/rows-get":
                this.serveRead(response, url.searchParams);
                return;
            case "/-/rows-feed":
                await this.serveFeed(response, url.searchParams);
                return;
            default:
                this.sendStoreAnswer(response, 404, {});
        }
    }

    private serveTransaction(response: ServerResponse, transaction: RowTransaction): void {
        const { Expected = [], Puts = [], Delete = [] } = transaction;
        if (Expected.length + Puts.length + Delete.length > maximumEntriesPerTransaction) {
            this.sendStoreAnswer(response, 400, { Error: "too many entries" });
            return;
        }
        const fault = this.writeFaults.shift() ?? "usual";
        if (fault === "late") {
            this.lateWrites.push(() => this.rows.applyTransaction(transaction));
            return;
        }
        const conflict = this.rows.applyTransaction(transaction);
        if (fault === "usual") {
            const status = conflict === undefined ? 200 : 412;
            this.sendStoreAnswer(response, status, { Rows: conflict ?? [], Ver: this.rows.getVersion(), NowMs: 0 });
        }
    }

    private serveRead(response: ServerResponse, query: URLSearchParams): void {
        const limit = Math.min(maximumRowsPerPage, Number(query.get("Limit") ?? maximumRowsPerPage));
        const rows = this.rows.listRows(
            query.get("Table") ?? "",
            query.get("part") ?? "",
            query.get("From") ?? "",
            query.get("To") ?? undefined,
        );
        const page = rows.slice(0, limit);
        this.sendStoreAnswer(response, 200, {
            Rows: page,
            MorePages: page.length < rows.length,
            Ver: this.rows.getVersion(),
            NowMs: 0,
        });
    }

    private async serveFeed(response: ServerResponse, query: URLSearchParams): Promise<void> {
        const table = query.get("Table") ?? "";
        const after = Number(query.get("AfterRevision"));
        const deadlineMs = performance.now() + Number(query.get("WaitMs"));
        let changes = this.rows.listChanges(table, after);
        while (changes?.length === 0 && performance.now() < deadlineMs) {
            await this.rows.waitForChange(deadlineMs - performance.now());
            changes = this.rows.listChanges(table, after);
        }
        if (this.storeMode === "silent") {
            return;
        }
        if (changes === undefined) {
            this.sendStoreAnswer(response, 410, {});
            return;
        }
        this.sendStoreAnswer(response, 200, { Rows: changes, Ver: this.rows.getVersion(), NowMs: 0 });
    }

    /** Sends a response that names the era of this moment, which may be later than that of the call's arrival. */
    private sendStoreAnswer(response: ServerResponse, status: number, body: unknown): void {
        response.setHeader("store-era", String(this.era));
        sendJson(response, status, body);
    }

    private async handleDutyCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = JSON.parse(await readBody(request)) as Record<string, unknown>;
        const path = request.url ?? "";
        this.dutyCalls.push({
            path,
            holder: String(request.headers["x-duty-holder"]),
            fence: Number(request.headers["x-fencing-token"]),
            body,
        });
        sendJson(response, path === "/scale" ? this.orderStatus : 200, {});
    }
}

function startListening(server: Server): Promise<void> {
    return new Promise((resolve) => server.listen(0, loopbackHost, resolve));
}

function formatAddress(server: Server): string {
    return `${loopbackHost}:${String((server.address() as AddressInfo).port)}`;
}

async function readBody(request: IncomingMessage): Promise<string> {
    let text = "";
    for await (const chunk of request) {
        text += String(chunk);
    }
    return text;
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
