/**
 * A stand-in for the users' platform: its row store and its endpoints for the nodes' duties, with fault injection.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { SystemClock, type WaitingClock } from "@pimentocleat/types";
import { DutyEndpoint, type DutyFault, type DutyPath } from "./dutyEndpoint.js";
import type { DutyViolation, ReceivedDutyCall } from "./dutyJudge.js";
import { closeServer, formatAddress, readBody, sendJson, startListening } from "./httpServers.js";
import type { RowStoreCopy, StoredRow } from "./rowHistory.js";
import { RowStore, type RowTransaction } from "./rowStore.js";

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

/** Options of a {@link UsersPlatformStandIn}. */
export interface UsersPlatformOptions {
    /** Time within which a duty must not return to an earlier holder, in milliseconds; 3,000 when absent. */
    readonly leaseMs?: number;
    /** Gives calls their time of arrival and copies of the store their age; the system's when absent. */
    readonly clock?: WaitingClock;
}

/** How the store goes back to its own content of some time ago. */
export interface StoreRecovery {
    /** Age of the content when the store goes away, in milliseconds; at most a minute. */
    readonly ageMs: number;
    /** Time for which the store is away before it comes back, in milliseconds. */
    readonly awayMs: number;
    /** How it handles calls while it is away; silent when absent. */
    readonly awayMode?: StoreMode;
}

/** Published time within which a duty must not return to an earlier holder, in milliseconds. */
const defaultLeaseMs = 3_000;
/** Maximum number of rows in one page of a read. */
const maximumRowsPerPage = 500;
/** Published limit on the conditions and writes of one transaction. */
const maximumEntriesPerTransaction = 100;

/** Runs the row store and the duty endpoints as HTTP servers in this process. */
export class UsersPlatformStandIn {
    readonly rows: RowStore;
    private storeMode: StoreMode = "usual";
    private era = 1;
    private writeFaults: WriteFault[] = [];
    private lateWrites: (() => void)[] = [];
    private storeCalls = 0;
    private readonly clock: WaitingClock;
    private readonly storeServer: Server;
    private readonly duties: DutyEndpoint;

    /**
     * Creates the HTTP servers without listening.
     *
     * @param options - What differs from the users' published figures.
     */
    constructor(options: UsersPlatformOptions = {}) {
        const { leaseMs = defaultLeaseMs, clock = new SystemClock() } = options;
        this.rows = new RowStore(clock);
        this.storeServer = createServer((request, response) => void this.handleStoreCall(request, response));
        this.duties = new DutyEndpoint({ leaseMs, clock, readEra: () => this.era });
        this.clock = clock;
    }

    /** @returns Calls to the duty endpoints, in the order of arrival. */
    get dutyCalls(): readonly ReceivedDutyCall[] {
        return this.duties.calls;
    }

    /** @returns HTTP status of subsequent calls that order servers. */
    get orderStatus(): number {
        return this.duties.orderStatus;
    }

    /** Sets the HTTP status of subsequent calls that order servers. */
    set orderStatus(status: number) {
        this.duties.orderStatus = status;
    }

    /**
     * Starts listening on ports that the operating system chooses.
     *
     * @returns IP addresses and ports of the store and of the duty endpoints (`cloud`).
     */
    async open(): Promise<{ readonly store: string; readonly cloud: string }> {
        const [cloud] = await Promise.all([this.duties.open(), startListening(this.storeServer)]);
        return { store: formatAddress(this.storeServer), cloud };
    }

    /** Stops listening and closes all connections. */
    close(): void {
        closeServer(this.storeServer);
        this.duties.close();
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

    /**
     * Lets the store go away and come back with its own content of some time ago, which starts a new era.
     *
     * @param recovery - Age of the content, and how the store is away.
     * @returns Resolves when the store is back; the operator's and the servers' rows have to be written again by the
     * caller.
     */
    async recoverOlderStore({ ageMs, awayMs, awayMode = "silent" }: StoreRecovery): Promise<void> {
        const copy = this.rows.copyOlderRows(ageMs);
        const { storeMode } = this;
        this.storeMode = awayMode;
        await this.clock.wait(awayMs);
        this.storeMode = storeMode;
        this.recoverStore(copy);
    }

    /**
     * Evacuates a data centre, or ends its evacuation.
     *
     * @param dataCentre - Name of the data centre.
     * @param isEvacuated - Whether no request may reach its servers from now on.
     */
    setEvacuated(dataCentre: string, isEvacuated: boolean): void {
        const key = `evacuate/${dataCentre}`;
        if (isEvacuated) {
            this.rows.putJson("op", key, {});
        } else {
            this.rows.removeRow("op", key);
        }
    }

    /** @param mode - How calls of duty holders are handled from now on that have no fault of their own. */
    setDutyMode(mode: DutyFault): void {
        this.duties.setMode(mode);
    }

    /**
     * Sets the faults of the next calls of duty holders.
     *
     * @param path - Path of the calls.
     * @param faults - The faults, one per call, in order.
     */
    setDutyFaults(path: DutyPath, faults: readonly DutyFault[]): void {
        this.duties.setFaults(path, faults);
    }

    /** @returns Number of calls of duty holders that are held back. */
    countLateDutyCalls(): number {
        return this.duties.countLateCalls();
    }

    /** Delivers the calls of duty holders that were held back; each arrives at this moment. */
    applyLateDutyCalls(): void {
        this.duties.applyLateCalls();
    }

    /**
     * Excuses a duty holder that has just been thawed, or whose link has healed, from now on and for as long as the
     * users' rule does. Other counts for a window and a fencing number of two holders are never excused.
     *
     * @param holder - Name of the node.
     */
    recordThaw(holder: string): void {
        this.duties.judge.recordThaw(holder, this.clock.monotonicMs());
    }

    /** @returns What the duty holders have done against the users' rule, over all nodes and eras so far. */
    listViolations(): readonly DutyViolation[] {
        return this.duties.judge.listViolations();
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
            this.sendStoreAnswer(response, status, this.buildRowsBody(conflict ?? []));
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
            ...this.buildRowsBody(page),
            MorePages: page.length < rows.length,
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
        this.sendStoreAnswer(response, 200, this.buildRowsBody(changes));
    }

    /** The clock goes on when the store comes back from an older copy. */
    private buildRowsBody(rows: readonly StoredRow[]): {
        Rows: readonly StoredRow[];
        Ver: number;
        NowMs: number;
    } {
        return { Rows: rows, Ver: this.rows.getVersion(), NowMs: Math.floor(performance.now()) };
    }

    /** Sends a response that names the era of this moment, which may be later than that of the call's arrival. */
    private sendStoreAnswer(response: ServerResponse, status: number, body: unknown): void {
        response.setHeader("store-era", String(this.era));
        sendJson(response, status, body);
    }
}
