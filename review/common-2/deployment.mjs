// Starts nodes by the command of the deploy file, on loopback addresses, with the settings of a small deployment.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const host = "127.0.0.1";

/** The command of the deploy file without the path of the settings. */
function readCommand() {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [, command] = /^run = "(.*)"$/m.exec(text);
    return command.split(" ").slice(0, -1);
}

export async function findPort() {
    const server = createServer();
    await new Promise((done) => server.listen(0, host, done));
    const { port } = server.address();
    await new Promise((done) => server.close(done));
    return port;
}

export class Node {
    output = "";
    exited = false;

    constructor(folder, platform, name, settings = {}) {
        this.folder = folder;
        this.platform = platform;
        this.name = name;
        this.overrides = settings;
    }

    async prepare() {
        const [caller, ready, peer] = [await findPort(), await findPort(), await findPort()];
        this.callerPort = caller;
        this.readyPort = ready;
        this.settings = {
            name: this.name,
            dataCentre: "a",
            callerAddress: `${host}:${caller}`,
            readinessAddress: `${host}:${ready}`,
            peerHost: host,
            peerPorts: [peer, peer],
            storeAddress: this.platform.storeAddress,
            dutiesAddress: this.platform.cloudAddress,
            isFirstStart: true,
            memoryMegabytes: 350,
            processorShare: 0.675,
            stopGraceSeconds: 8,
            leaseMs: 3000,
            configurationApplyMs: 2000,
            leavingNoticeMs: 2000,
            usageWindowSeconds: 5,
            usageDueSeconds: 10,
            retryWindowSeconds: 10,
            retryShare: 0.2,
            retrySlack: 56,
            ...this.overrides,
        };
        this.path = join(this.folder, `${this.name}.json`);
    }

    /** Starts the process and waits until the readiness check answers 200. */
    async start() {
        if (this.path === undefined) {
            await this.prepare();
        }
        writeFileSync(this.path, JSON.stringify(this.settings));
        this.settings = { ...this.settings, isFirstStart: false };
        const [program, ...parameters] = readCommand();
        this.exited = false;
        const child = spawn(program, [...parameters, this.path], {
            cwd: root,
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        this.ended = new Promise((done) =>
            child.once("exit", (code, signal) => {
                this.exited = true;
                done({ code, signal });
            }),
        );
        child.stdout.on("data", (data) => (this.output += String(data)));
        child.stderr.on("data", (data) => (this.output += String(data)));
        await this.waitReady();
    }

    async waitReady() {
        for (let tries = 0; tries < 200; tries += 1) {
            try {
                const answer = await fetch(`http://${host}:${this.readyPort}/-/ready`);
                if (answer.status === 200) {
                    return;
                }
            } catch {
                // Not listening yet.
            }
            await wait(50);
        }
        throw new Error(`${this.name} is not ready: ${this.output.slice(-2000)}`);
    }

    signal(name) {
        if (!this.exited) {
            this.child.kill(name);
        }
    }
}

export class Deployment {
    nodes = [];

    constructor(platform) {
        this.platform = platform;
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        process.once("exit", () => this.stop());
    }

    async addNode(name, settings) {
        const node = new Node(this.folder, this.platform, name, settings);
        this.nodes.push(node);
        await node.start();
        return node;
    }

    stop() {
        for (const node of this.nodes) {
            node.signal("SIGKILL");
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

export function wait(ms) {
    return new Promise((done) => setTimeout(done, ms));
}

export const routeHost = "h.example";
export const apiKey = "key-of-customer";

/** A configuration with a route of each kind. */
export function buildConfiguration(version, changes = {}) {
    const common = { Host: routeHost, TimeoutMs: 3000, TargetLatencyMs: 200, Priority: 1, Public: false };
    const plain = { ...common, Service: "plain", MaxAttempts: 2 };
    const engine = {
        ...common,
        Kind: "stream",
        Service: "engines",
        MaxAttempts: 2,
        GapAimMs: 500,
        Sticky: true,
    };
    return {
        Version: version,
        Routes: [
            { ...plain, Name: "safe", PathPrefix: "/safe/", Kind: "safe" },
            { ...plain, Name: "unsafe", PathPrefix: "/unsafe/", Kind: "unsafe" },
            { ...engine, Name: "stream", PathPrefix: "/stream/" },
            { ...engine, Name: "resumable", PathPrefix: "/resumable/", Resumable: true },
        ],
        Services: [
            { Name: "plain", HealthPath: "/health", MaxConnections: 110 },
            { Name: "engines", HealthPath: "/health", MaxConnections: 370, Engine: { KvCapacity: 355201 } },
        ],
        Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
        Tenants: [{ Name: "customer", ApiKeys: [apiKey], Priority: 1 }],
        ...changes,
    };
}

export function buildEntry(service, address, changes = {}) {
    return {
        Service: service,
        Address: address,
        Zone: "a",
        Version: "v1",
        Slots: 64,
        State: "ready",
        ColdRemainingMs: 0,
        Sequence: 1,
        born: Date.now(),
        ...changes,
    };
}
