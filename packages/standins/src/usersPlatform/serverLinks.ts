/**
 * The links of one node to all backend servers, which can fail while everything else works.
 *
 * @packageDocumentation
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import type { buildConnector } from "undici";

/** How the links fail. */
export type LinkState =
    | "open"
    /** Bytes are held back and connections cannot be opened; nothing is closed. */
    | "hanging"
    /** Connections are reset and new ones are refused. */
    | "reset"
    /** Open connections work and new ones are refused. */
    | "refusingNew";

/** A connection of the node and its continuation to the server. */
interface LinkedSockets {
    readonly near: Socket;
    readonly far: Socket;
}

const loopbackHost = "127.0.0.1";
/** Time until the opening of a connection fails on links that hang, in milliseconds. */
const openTimeoutMs = 400;

/** The callback as undici calls it; its declared type names a value for none that the linter excludes. */
type OpenCallback = (error: Error | undefined, socket?: Socket) => void;

/** Carries the connections of one node to its servers, through one listener for each server. */
export class ServerLinks {
    private state: LinkState = "open";
    private readonly listeners = new Map<string, Promise<Server>>();
    private readonly pairs = new Set<LinkedSockets>();

    /** Opens a socket to a server; passed to the node. */
    readonly openSocket: buildConnector.connector = ({ hostname, port }, callback) => {
        void this.openLinkedSocket(`${hostname}:${port}`, callback);
    };

    /** @returns The number of connections that are open. */
    countOpen(): number {
        return this.pairs.size;
    }

    /** @param state - How the links fail from now on. */
    setState(state: LinkState): void {
        this.state = state;
        for (const { near, far } of [...this.pairs]) {
            if (state === "reset") {
                near.resetAndDestroy();
                far.resetAndDestroy();
            } else if (state === "hanging") {
                near.pause();
                far.pause();
            } else {
                near.resume();
                far.resume();
            }
        }
    }

    /** Closes all connections and listeners. */
    async close(): Promise<void> {
        this.setState("reset");
        for (const listener of this.listeners.values()) {
            (await listener).close();
        }
    }

    private async openLinkedSocket(target: string, callback: buildConnector.Callback): Promise<void> {
        if (this.state === "hanging") {
            setTimeout(() => finishFailed(callback, "Connect Timeout Error"), openTimeoutMs);
            return;
        }
        if (this.state !== "open") {
            setImmediate(() => finishFailed(callback, "connect ECONNREFUSED"));
            return;
        }
        const listener = await this.ensureListener(target);
        const { port } = listener.address() as AddressInfo;
        const socket = connect({ host: loopbackHost, port, allowHalfOpen: true, noDelay: true });
        let isOpen = false;
        socket.once("connect", () => {
            isOpen = true;
            (callback as unknown as OpenCallback)(undefined, socket);
        });
        // What ends the connection later is no failure to open it.
        socket.on("error", (error) => (isOpen ? undefined : finishFailed(callback, error.message)));
    }

    private ensureListener(target: string): Promise<Server> {
        const known = this.listeners.get(target) ?? this.startListener(target);
        this.listeners.set(target, known);
        return known;
    }

    private async startListener(target: string): Promise<Server> {
        const [host = "", port = "0"] = target.split(":");
        const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
            const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
            const pair = { near, far };
            this.pairs.add(pair);
            forwardBytes(near, far);
            forwardBytes(far, near);
            near.once("close", () => this.pairs.delete(pair));
        });
        await new Promise<void>((resolve) => server.listen(0, loopbackHost, resolve));
        return server;
    }
}

function forwardBytes(from: Socket, to: Socket): void {
    from.on("data", (bytes) => to.write(bytes));
    from.once("end", () => to.end());
    from.once("error", () => to.resetAndDestroy());
    from.once("close", () => to.destroy());
}

function finishFailed(callback: buildConnector.Callback, message: string): void {
    (callback as unknown as OpenCallback)(new Error(message));
}
