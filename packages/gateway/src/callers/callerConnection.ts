/**
 * One connection of a caller: what is read from it and when, and what it holds.
 *
 * @packageDocumentation
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type {
    ConnectionAccount,
    ConnectionLedger,
    ConnectionPlaces,
    ConnectionStage,
    PlacedConnection,
    ReadTurns,
    TurnReader,
} from "@pimentocleat/policy";
import type { BufferReclaimer } from "./bufferReclaimer.js";
import { RequestPlaces, type SharedRequests } from "./requestPlaces.js";

/** What all connections of a node share. */
export interface SharedConnections {
    readonly ledger: ConnectionLedger;
    readonly places: ConnectionPlaces;
    readonly turns: ReadTurns;
    readonly reclaimer: BufferReclaimer;
    readonly requests: SharedRequests;
}

/** Minimum and maximum number of bytes that are parsed at once. */
const minimumPartBytes = 1_024;
const maximumPartBytes = 16 * 1_024;
/** Bytes that take a unit of work to parse and copy. */
const bytesOfUnit = 512;
/** Work of a request, in units. */
const requestUnits = 64;
/** Work of a part up to which the next one may be larger, in units beyond those of its bytes. */
const cheapUnits = 4;
/** Memory of a request that was parsed and waits, in bytes. */
const waitingRequestBytes = 8 * 1_024;
/** Memory of a head that is incomplete, in relation to its bytes. */
const headCopies = 2;
/** Unread bytes beyond which the caller counts as one that does not read, in bytes. */
const stalledBytes = 64 * 1_024;
/** Time for which a refused caller may go on to send before its connection is reset, in milliseconds. */
const lingerMs = 1_000;

/** A connection of a caller to this node. */
export class CallerConnection implements TurnReader, PlacedConnection {
    recentUnits = 0;
    private readonly account: ConnectionAccount;
    private readonly parse: (bytes: Buffer) => void;
    private readonly endSocket: () => void;
    private partBytes = minimumPartBytes;
    private partUnits = 0;
    private headBytes = 0;
    private stage: ConnectionStage = "unused";
    /** Whether the parser wants no more bytes for now. */
    private isParserPaused = false;
    private isReading = false;
    /** Whether what still comes is dropped, since the request that it belongs to was refused. */
    private isRefused = false;
    /** The last request that came. */
    private lastRequest: IncomingMessage | undefined;
    private readonly openResponses = new Set<ServerResponse>();
    private readonly requestPlaces: RequestPlaces;
    private unreadBytes = 0;
    private refuseBody: (() => void) | undefined;
    /** Whether the body of the open request is refused as soon as it is read. */
    private isBodyUnwanted = false;

    /**
     * Takes over what the HTTP server reads from a new connection.
     *
     * @param socket - The connection; the HTTP server listens for its data already.
     * @param shared - What all connections share.
     */
    constructor(
        private readonly socket: Socket,
        private readonly shared: SharedConnections,
    ) {
        this.requestPlaces = new RequestPlaces(shared.requests, () => this.recordWaiting());
        this.account = shared.ledger.openAccount(() => this.abort());
        const [listener] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        this.parse = (bytes) => listener?.call(socket, bytes);
        this.endSocket = socket.destroySoon.bind(socket);
        if (listener !== undefined) {
            socket.removeListener("data", listener);
        }
        socket.on("readable", () => this.receiveBytes());
        // The HTTP server pauses and ends the socket by these; what was received and not parsed has to be held back too.
        Object.assign(socket, {
            pause: () => this.setParserPaused(true),
            resume: () => this.setParserPaused(false),
            destroySoon: () => this.closeAnswered(),
        });
        socket.once("close", () => this.recordClosed());
    }

    computeCost(nowMs: number): number {
        return this.account.computeCost(nowMs);
    }

    close(): void {
        this.socket.destroy();
    }

    hasWork(): boolean {
        return (
            this.socket.readableLength > 0 &&
            !this.socket.destroyed &&
            !this.isReading &&
            (this.isRefused || (!this.isParserPaused && this.requestPlaces.waitingCount === 0))
        );
    }

    readPart(): number {
        const part = this.takePart();
        this.shared.reclaimer.recordPassed(part.length);
        this.partUnits = 1 + part.length / bytesOfUnit;
        const bytesUnits = this.partUnits;
        if (!this.isRefused) {
            this.parsePart(part);
        }
        const isCheap = this.partUnits - bytesUnits <= cheapUnits + requestUnits;
        this.partBytes = isCheap ? Math.min(this.partBytes * 2, maximumPartBytes) : minimumPartBytes;
        this.recordUnparsed();
        return this.partUnits;
    }

    /**
     * Records a request whose head was read.
     *
     * @param request - The request.
     * @param response - The response to it.
     */
    recordRequest(request: IncomingMessage, response: ServerResponse): void {
        this.partUnits += requestUnits;
        this.lastRequest = request;
        this.isBodyUnwanted = false;
        this.openResponses.add(response);
        response.once("close", () => {
            this.openResponses.delete(response);
            this.updateStage();
        });
    }

    /**
     * Records a piece of a body.
     *
     * @param heldBytes - Number of bytes that the body takes in memory so far.
     */
    recordBody(heldBytes: number): void {
        this.partUnits += 1;
        this.account.setBytes("body", heldBytes);
    }

    /**
     * Sets how a body is refused for which there is no room. Without, its connection is closed.
     *
     * @param refuse - Refuses it; undefined when it has ended.
     */
    setBodyRefusal(refuse: (() => void) | undefined): void {
        this.refuseBody = refuse;
        this.account.setBytes("body", 0);
        if (this.isBodyUnwanted) {
            this.isBodyUnwanted = false;
            refuse?.();
        }
    }

    /** @param change - Change of the number of bytes that running requests hold of their bodies. */
    addRunningBytes(change: number): void {
        this.account.addBytes("running", change);
    }

    /** @param change - Change of the number of bytes that were written and are not sent. */
    addUnreadBytes(change: number): void {
        this.unreadBytes += change;
        if (change > 0) {
            this.shared.reclaimer.recordPassed(change);
        }
        this.account.setBytes("unread", this.unreadBytes);
        if (this.unreadBytes > stalledBytes !== (this.stage === "unfinished")) {
            this.updateStage();
        }
    }

    /**
     * Waits until a request may run, after earlier ones of the connection.
     *
     * @param response - The response to it.
     */
    waitForPlace(response: ServerResponse): Promise<void> {
        return this.requestPlaces.waitForPlace(response);
    }

    /** Drops what still comes. The connection is closed when the response was sent, in a way that lets the caller read it. */
    refuseRest(): void {
        this.isRefused = true;
        this.headBytes = 0;
        this.account.setBytes("head", 0);
        this.updateStage();
        this.offerReading();
    }

    /**
     * Closes the connection after its last response. A reset at once could overtake the response.
     *
     * @param response - Bytes that are sent before; empty when the response was written.
     */
    closeAnswered(response = ""): void {
        if (!this.isRefused) {
            this.endSocket();
            return;
        }
        this.socket.end(response);
        const timer = setTimeout(() => this.socket.destroy(), lingerMs);
        this.socket.once("close", () => clearTimeout(timer));
    }

    private receiveBytes(): void {
        if (this.isRefused) {
            this.shared.turns.offerLater(this);
        } else {
            this.shared.turns.offer(this);
        }
        this.recordUnparsed();
    }

    private takePart(): Buffer {
        const { readableLength } = this.socket;
        const bytes = this.isRefused ? readableLength : Math.min(this.partBytes, readableLength);
        return this.socket.read(bytes) as Buffer;
    }

    private parsePart(part: Buffer): void {
        const { lastRequest } = this;
        const isBetweenRequests = lastRequest === undefined || lastRequest.complete;
        this.isReading = true;
        this.parse(part);
        this.isReading = false;
        const isHead = isBetweenRequests && this.lastRequest === lastRequest;
        this.headBytes = isHead ? this.headBytes + part.length : 0;
        this.account.setBytes("head", headCopies * this.headBytes);
    }

    private setParserPaused(isParserPaused: boolean): Socket {
        this.isParserPaused = isParserPaused;
        this.offerReading();
        return this.socket;
    }

    private recordWaiting(): void {
        this.account.setBytes("waiting", this.requestPlaces.waitingCount * waitingRequestBytes);
        this.offerReading();
    }

    private offerReading(): void {
        if (!this.isReading) {
            this.shared.turns.offer(this);
        }
    }

    private recordUnparsed(): void {
        const { readableLength } = this.socket;
        if (readableLength === 0) {
            // Asks for more, or for the end.
            this.socket.read();
        }
        this.account.setBytes("unparsed", readableLength);
        this.updateStage();
    }

    private updateStage(): void {
        const stage = this.selectStage();
        if (stage !== this.stage) {
            this.shared.places.move(this, this.stage, stage);
            this.stage = stage;
        }
    }

    private selectStage(): ConnectionStage {
        if (this.isRefused || this.unreadBytes > stalledBytes) {
            return "unfinished";
        }
        if (this.openResponses.size > 0) {
            return this.lastRequest?.complete === true ? "busy" : "unfinished";
        }
        if (this.headBytes > 0 || this.socket.readableLength > 0) {
            return "unfinished";
        }
        return this.lastRequest === undefined ? "unused" : "idle";
    }

    /** Refuses the body that is being received or is about to be, or closes the connection. */
    private abort(): void {
        if (this.isRefused || this.openResponses.size !== 1 || this.requestPlaces.runningCount > 0) {
            this.socket.destroy();
        } else if (this.refuseBody === undefined) {
            this.isBodyUnwanted = true;
        } else {
            this.refuseBody();
        }
    }

    private recordClosed(): void {
        this.account.close();
        this.shared.places.remove(this);
        this.shared.turns.remove(this);
        this.requestPlaces.close();
        // The HTTP server tells only the first of the responses in a row that the connection has closed.
        process.nextTick(() => {
            for (const response of this.openResponses) {
                response.destroy().emit("close");
            }
        });
    }
}
