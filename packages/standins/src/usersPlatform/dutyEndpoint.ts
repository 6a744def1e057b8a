/**
 * The platform's endpoint for orders and usage reports, which judges all calls and can fail in given ways.
 *
 * @packageDocumentation
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Clock } from "@pimentocleat/types";
import { DutyJudge, reportPath, type ReceivedDutyCall } from "./dutyJudge.js";
import { closeServer, formatAddress, readBody, sendJson, startListening } from "./httpServers.js";

/**
 * How the endpoint handles one call: normally (`usual`), by performing it without a response (`lost`), by holding it
 * back without a response until {@link DutyEndpoint.applyLateCalls} is called (`late`), with status 503 (`busy`), 429
 * (`limited`) or 409 (`conflict`) and without performing it, or neither performed nor answered (`silent`).
 */
export type DutyFault = "usual" | "lost" | "late" | "busy" | "limited" | "conflict" | "silent";

/** Path of a duty's calls. */
export type DutyPath = "/usage" | "/scale";

/** Options of a {@link DutyEndpoint}. */
export interface DutyEndpointOptions {
    /** Time within which a duty must not return to an earlier holder, in milliseconds. */
    readonly leaseMs: number;
    /** Its monotonic time is that of the calls. */
    readonly clock: Clock;
    /** Reads the era of the store, which is recorded with each call. */
    readonly readEra: () => number;
}

/** Time after a thaw in which the calls of its node are excused, in milliseconds, as the users publish it. */
const thawSlackMs = 300;
const refusals: Partial<Record<DutyFault, number>> = { busy: 503, limited: 429, conflict: 409 };

/** Runs the endpoint as an HTTP server in this process. */
export class DutyEndpoint {
    /** Calls in the order of arrival, without those that were neither performed nor answered. */
    readonly calls: ReceivedDutyCall[] = [];
    /** HTTP status of subsequent calls that order servers. */
    orderStatus = 200;
    readonly judge: DutyJudge;
    private mode: DutyFault = "usual";
    private readonly faults: Record<string, DutyFault[]> = {};
    private lateCalls: (() => void)[] = [];
    private readonly server: Server;

    /** @param options - The rule's duration, the clock and the era. */
    constructor(private readonly options: DutyEndpointOptions) {
        this.judge = new DutyJudge({ leaseMs: options.leaseMs, thawSlackMs });
        this.server = createServer((request, response) => void this.handleCall(request, response));
    }

    /**
     * Starts listening on a port that the operating system chooses.
     *
     * @returns IP address and port.
     */
    async open(): Promise<string> {
        await startListening(this.server);
        return formatAddress(this.server);
    }

    /** Stops listening and closes all connections. */
    close(): void {
        closeServer(this.server);
    }

    /** @param mode - How calls are handled from now on that have no fault of their own. */
    setMode(mode: DutyFault): void {
        this.mode = mode;
    }

    /**
     * Sets the faults of the next calls of one kind.
     *
     * @param path - Path of the calls.
     * @param faults - The faults, one per call, in order.
     */
    setFaults(path: DutyPath, faults: readonly DutyFault[]): void {
        this.faults[path] = [...faults];
    }

    /** @returns Number of calls that are held back. */
    countLateCalls(): number {
        return this.lateCalls.length;
    }

    /** Delivers the calls that were held back; each arrives at this moment. */
    applyLateCalls(): void {
        this.lateCalls.splice(0).forEach((apply) => apply());
    }

    private async handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = JSON.parse(await readBody(request)) as Record<string, unknown>;
        const path = request.url ?? "";
        const recordCall = (isAccepted: boolean): void =>
            this.recordCall({
                path,
                holder: String(request.headers["x-duty-holder"]),
                fence: Number(request.headers["x-fencing-token"]),
                body,
                atMs: this.options.clock.monotonicMs(),
                era: this.options.readEra(),
                isAccepted,
            });
        const fault = this.faults[path]?.shift() ?? this.mode;
        const refusal = refusals[fault];
        if (refusal !== undefined) {
            recordCall(false);
            sendJson(response, refusal, {});
        } else if (fault === "late") {
            this.lateCalls.push(() => recordCall(true));
        } else if (fault !== "silent") {
            const status = path === reportPath ? 200 : this.orderStatus;
            recordCall(status === 200);
            if (fault === "usual") {
                sendJson(response, status, {});
            }
        }
    }

    private recordCall(call: ReceivedDutyCall): void {
        this.calls.push(call);
        this.judge.recordCall(call);
    }
}
