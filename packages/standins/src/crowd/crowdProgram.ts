/**
 * A program that opens many connections to a node, whose clients do not behave. It has its own memory and processor, so
 * that neither is mistaken for the node's.
 *
 * @packageDocumentation
 */
import { connect, type Socket } from "node:net";
import { findCrowdKind, type CrowdKind } from "./crowdKinds.js";

/** Interval at which the crowd is asked whether it still sends, in milliseconds. */
const checkIntervalMs = 500;
/** Number of checks in a row without progress, after which the crowd has sent what it can. */
const quietChecks = 4;
/** Number of checks after which a crowd that never stops sending counts as settled. */
const maximumChecks = 12;
/** Time after which the program ends by itself, in milliseconds. */
const lifetimeMs = 90_000;

/** One client. */
class CrowdClient {
    private socket: Socket | undefined;
    private sentParts = 0;

    constructor(
        private readonly address: string,
        private readonly kind: CrowdKind,
        private readonly onProgress: () => void,
    ) {}

    open(): void {
        const [host, port] = this.address.split(":");
        const { start, isReading, leaveMs } = this.kind;
        const socket = connect({ host, port: Number(port), allowHalfOpen: true });
        this.socket = socket;
        this.sentParts = 0;
        socket.on("error", () => undefined);
        socket.once("connect", () => {
            this.onProgress();
            socket.write(start, () => this.sendPart(socket));
        });
        if (isReading) {
            socket.resume().once("end", () => socket.destroy());
        } else {
            socket.pause();
        }
        if (leaveMs !== undefined) {
            setTimeout(() => {
                socket.resetAndDestroy();
                this.open();
            }, leaveMs);
        }
    }

    private sendPart(socket: Socket): void {
        const { part, parts } = this.kind;
        this.onProgress();
        if (this.socket === socket && socket.writable && this.sentParts < parts) {
            this.sentParts += 1;
            socket.write(part, () => this.sendPart(socket));
        }
    }
}

/**
 * Runs the program: `crowd ADDRESS KIND CONNECTIONS`. It writes `listening KIND` when the clients have sent what they can,
 * and keeps their connections until it is stopped.
 */
export function runCrowdProgram(): void {
    const [address = "", name = "", connections = "0"] = process.argv.slice(2);
    const kind = findCrowdKind(name);
    let progress = 0;
    let seen = 0;
    let quiet = 0;
    let checks = 0;
    for (let index = 0; index < Number(connections); index += 1) {
        new CrowdClient(address, kind, () => (progress += 1)).open();
    }
    const timer = setInterval(() => {
        checks += 1;
        quiet = progress === seen ? quiet + 1 : 0;
        seen = progress;
        if (quiet >= quietChecks || checks >= maximumChecks) {
            clearInterval(timer);
            console.log(`listening ${name}`);
        }
    }, checkIntervalMs);
    setTimeout(() => process.exit(0), lifetimeMs);
    process.once("SIGTERM", () => process.exit(0));
}
