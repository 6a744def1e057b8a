/**
 * Starts nodes as the deploy file does, with the settings that its template yields for a small deployment.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const host = "127.0.0.1";
const startedPattern = /"event":1000,/;
const startTimeoutMs = 20_000;

/** Finds a free TCP port. */
export async function findFreePort() {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise((resolve) => server.close(resolve));
    return port;
}

/** Waits for a time. */
export function wait(timeMs) {
    return new Promise((resolve) => setTimeout(resolve, timeMs));
}

/** Waits until a condition holds, and returns whether it did in time. */
export async function waitUntil(condition, timeoutMs) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
        if (await condition()) {
            return true;
        }
        await wait(20);
    }
    return false;
}

/** The nodes of one run. */
export class Nodes {
    constructor() {
        this.folder = mkdtempSync(join(tmpdir(), "pimentocleat-review-"));
        this.all = [];
        process.once("exit", () => this.all.forEach((node) => node.process.kill("SIGKILL")));
    }

    /**
     * Starts a node.
     *
     * @param options - Its name and zone, and the addresses of the store and of the duties' endpoint.
     */
    async start({ name, zone, storeAddress, cloudAddress }) {
        const [front, ready, peer] = await Promise.all([findFreePort(), findFreePort(), findFreePort()]);
        const settings = {
            name,
            dataCentre: zone,
            callerAddress: `${host}:${String(front)}`,
            readinessAddress: `${host}:${String(ready)}`,
            peerHost: host,
            peerPorts: [peer, peer],
            storeAddress,
            ...(cloudAddress === undefined ? {} : { dutiesAddress: cloudAddress }),
            isFirstStart: true,
            memoryMegabytes: 200,
            processorShare: 0.675,
            stopGraceSeconds: 8,
            leaseMs: 3_000,
            configurationApplyMs: 2_000,
            leavingNoticeMs: 2_000,
            usageWindowSeconds: 5,
            usageDueSeconds: 10,
            retryWindowSeconds: 10,
            retryShare: 0.2,
            retrySlack: 58,
        };
        const path = join(this.folder, `${name}.json`);
        writeFileSync(path, JSON.stringify(settings));
        const parameters = ["--max-old-space-size=96", "target/pimentocleatd.cjs", path];
        const child = spawn("node", parameters, { stdio: ["ignore", "pipe", "inherit"] });
        const node = {
            name,
            frontPort: front,
            readyPort: ready,
            process: child,
            log: "",
            exitCode: undefined,
        };
        this.all.push(node);
        node.exited = new Promise((resolve) => {
            child.once("exit", (code, signal) => {
                node.exitCode = code ?? signal;
                resolve();
            });
        });
        child.stdout.on("data", (bytes) => {
            node.log += String(bytes);
        });
        const isStarted = () => startedPattern.test(node.log) || node.exitCode !== undefined;
        if (!(await waitUntil(isStarted, startTimeoutMs)) || node.exitCode !== undefined) {
            throw new Error(`${name} did not start`);
        }
        return node;
    }

    /** Waits until a node says that it is ready. */
    waitUntilReady(node, timeoutMs = 15_000) {
        return waitUntil(async () => {
            try {
                const answer = await fetch(`http://${host}:${String(node.readyPort)}/-/ready`);
                await answer.text();
                return answer.status === 200;
            } catch {
                return false;
            }
        }, timeoutMs);
    }

    /** Ends all nodes that still run. */
    async stop() {
        for (const node of this.all) {
            if (node.exitCode === undefined) {
                node.process.kill("SIGKILL");
                await node.exited;
            }
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}
