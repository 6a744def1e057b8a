/**
 * A stand-in of the users' platform: its store of rows and its interface for duties, with fault switches.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { RowStore, type RowTransaction } from "./rowStore.js";

/** How the store treats calls: as usual, with a refusal, with a reset, or not at all. */
export type StoreMode = "usual" | "busy" | "limited" | "reset" | "silent";

/** What happens to one write: as usual, its answer is lost, or it takes effect when {@link UsersPlatformStandIn.applyLateWrites} is called. */
export type WriteFault = "usual" | "lost" | "late";

/** A call of a duty as it was received. */
export interface DutyCall {
    readonly path: string;
    readonly holder: string;
    readonly fence: number;
    readonly body: Record<string, unknown>;
}

const loopbackHost = "127.0.0.1";
const maximumRowsPerPage = 500;
/** Most entries of a transaction, as published. */
const maximumEntriesPerTransaction = 100;

/** Runs the store and the duties in this process. */
export class UsersPlatformStandIn {
    readonly rows = new RowStore();
    readonly dutyCalls: DutyCall[] = [];
    /** Status of the next calls to order servers. */
    orderStatus = 200;
    private mode: StoreMode = "usual";
    private writeFaults: WriteFault[] = [];
    private lateWrites: (() => void)[] = [];
    private storeCalls = 0;
    private readonly store: Server;
    private readonly cloud: Server;

    /** Builds the servers; they do not listen yet. */
    constructor() {
        this.store = createServer((request, response) => void this.handleStoreCall(request, response));
        this.cloud = createServer((request, response) => void this.handleDutyCall(request, response));
    }

    /**
     * Starts to listen on ports that the system chooses.
     *
     * @returns The addresses.
     */
    async open(): Promise<{ readonly store: string; readonly cloud: string }> {
        await Promise.all([this.store, this.cloud].map((server) => startListening(server)));
        return { store: formatAddress(this.store), cloud: formatAddress(this.cloud) };
    }

    /** Closes all connections. */
    close(): void {
        for (const server of [this.store, this.cloud]) {
            server.close();
            server.closeAllConnections();
        }
    }

    /** @param mode - How calls to the store are treated from now on. */
    setStoreMode(mode: StoreMode): void {
        this.mode = mode;
    }

    /** @param faults - What happens to the next writes, in order. */
    setWriteFaults(faults: readonly WriteFault[]): void {
        this.writeFaults = [...faults];
    }

    /** Lets late writes take effect now; each checks its conditions only now. */
    applyLateWrites(): void {
        this.lateWrites.splice(0).forEach((apply) => apply());
    }

    /** @returns Calls to the store so far. */
    countStoreCalls(): number {
        return this.storeCalls;
    }

    private async handleStoreCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.storeCalls += 1;
        const body = await readBody(request);
        switch (this.mode) {
            case "silent":
                return;
            case "reset":
                request.socket.resetAndDestroy();
                return;
            case "busy":
                sendJson(response, 503, {});
                return;
            case "limited":
                sendJson(response, 429, {});
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
                sendJson(response, 404, {});
        }
    }

    private serveTransaction(response: ServerResponse, transaction: RowTransaction): void {
        const { Expected = [], Puts = [], Delete = [] } = transaction;
        if (Expected.length + Puts.length + Delete.length > maximumEntriesPerTransaction) {
            sendJson(response, 400, { Error: "too many entries" });
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
            sendJson(response, status, { Rows: conflict ?? [], Ver: this.rows.getVersion(), NowMs: 0 });
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
        sendJson(response, 200, {
            Rows: page,
            MorePages: page.length < rows.length,
            Ver: this.rows.getVersion(),
            NowMs: 0,
        });
    }

    private async serveFeed(response: ServerResponse, query: URLSearchParams): Promise<void> {
        const table = query.get("Table") ?? "";
        const after = Number(query.get("AfterRevision"));
        const endsAtMs = performance.now() + Number(query.get("WaitMs"));
        let changes = this.rows.listChanges(table, after);
        while (changes?.length === 0 && performance.now() < endsAtMs) {
            await this.rows.waitForChange(endsAtMs - performance.now());
            changes = this.rows.listChanges(table, after);
        }
        if (changes === undefined) {
            sendJson(response, 410, {});
            return;
        }
        sendJson(response, 200, { Rows: changes, Ver: this.rows.getVersion(), NowMs: 0 });
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
