/**
 * A small deployment for the cases: the project's stand-in of the platform, workers of the case, and nodes that are
 * started as separate processes with the command of the deploy file.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePort, UsersPlatformStandIn } from "../../packages/standins/lib/index.js";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
/** Log event with which a node says that it has started. */
const startedPattern = /"event":1000,/;
const startTimeoutMs = 20_000;
const maximumStarts = 3;

/** API key of the only tenant. */
export const apiKey = "key-of-tenant";

export const wait = (durationMs) => new Promise((done) => setTimeout(done, durationMs));

/** Waits until a condition holds; returns whether it did in time. */
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

/** The record of a run: what was sent, answered and run. */
export class RunRecord {
    constructor(path) {
        this.path = path;
        this.startMs = performance.now();
        writeFileSync(path, "");
    }

    write(text) {
        const atS = ((performance.now() - this.startMs) / 1_000).toFixed(3);
        appendFileSync(this.path, `${atS.padStart(8)} s  ${text}\n`);
    }
}

/** Starts and stops everything of a run. */
export class Deployment {
    constructor(record) {
        this.record = record;
        this.platform = new UsersPlatformStandIn({ leaseMs: 3_000 });
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.nodes = [];
    }

    async open() {
        this.addresses = await this.platform.open();
    }

    /** Registers a worker as the worker itself would; returns a function that writes its next check-in. */
    registerWorker(id, service, address, zone, changes = {}) {
        const born = Date.now();
        let sequence = 0;
        const put = (state = "ready") => {
            sequence += 1;
            this.platform.rows.putJson("servers", id, {
                Service: service,
                Address: address,
                Zone: zone,
                Version: "v1",
                Slots: 8,
                State: state,
                ColdRemainingMs: 0,
                Sequence: sequence,
                born,
                ...changes,
            });
        };
        put();
        return put;
    }

    putConfiguration(configuration) {
        this.platform.rows.putJson("op", "config", configuration);
    }

    /** Starts a node and waits until it says that it has started; again with other ports if one was taken meanwhile. */
    async startNode(name, zone, isFirstStart = true) {
        for (let tries = 1; ; tries += 1) {
            const [front, ready, peer] = [await findFreePort(), await findFreePort(), await findFreePort()];
            const node = { name, zone, front, ready, peer };
            node.settingsPath = join(this.folder, `${name}.json`);
            this.nodes.push(node);
            this.writeSettings(node, isFirstStart);
            try {
                await this.launch(node);
                return node;
            } catch (error) {
                if (tries === maximumStarts || node.isRunning) {
                    throw error;
                }
            }
        }
    }

    /** Starts a node again whose process has ended, with the settings that the platform writes then. */
    async restartNode(node) {
        this.writeSettings(node, false);
        await this.launch(node);
    }

    writeSettings({ name, zone, front, ready, peer, settingsPath }, isFirstStart) {
        writeFileSync(
            settingsPath,
            JSON.stringify({
                name,
                dataCentre: zone,
                callerAddress: `127.0.0.1:${front}`,
                readinessAddress: `127.0.0.1:${ready}`,
                peerHost: "127.0.0.1",
                peerPorts: [peer, peer],
                storeAddress: this.addresses.store,
                dutiesAddress: this.addresses.cloud,
                isFirstStart,
                memoryMegabytes: 350,
                processorShare: 0.675,
                stopGraceSeconds: 8,
                leaseMs: 3_000,
                configurationApplyMs: 2_000,
                leavingNoticeMs: 2_000,
                usageWindowSeconds: 5,
                usageDueSeconds: 10,
                retryWindowSeconds: 10,
                retryShare: 0.2,
                retrySlack: 56,
            }),
        );
    }

    async launch(node) {
        const program = spawn(
            process.execPath,
            ["--max-old-space-size=96", "target/pimentocleatd.cjs", node.settingsPath],
            { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME } },
        );
        node.program = program;
        node.isRunning = true;
        node.ended = new Promise((done) => {
            program.once("exit", (code, signal) => {
                node.isRunning = false;
                this.record.write(`process of ${node.name} has ended: code ${code}, signal ${signal}`);
                done();
            });
        });
        let log = "";
        const logPath = join(this.folder, `${node.name}.log`);
        node.logPath = logPath;
        program.stdout.on("data", (bytes) => {
            log = `${log}${bytes}`.slice(-200_000);
            appendFileSync(logPath, bytes);
        });
        program.stderr.on("data", (bytes) => appendFileSync(logPath, bytes));
        await waitUntil(() => startedPattern.test(log) || !node.isRunning, startTimeoutMs);
        if (!startedPattern.test(log)) {
            throw new Error(`${node.name} has not started`);
        }
        this.record.write(`process of ${node.name} has started`);
    }

    /** Asks as the platform does once a second. */
    async isReady({ ready }) {
        try {
            const answer = await fetch(`http://127.0.0.1:${ready}/-/ready`);
            await answer.arrayBuffer();
            return answer.status === 200;
        } catch {
            return false;
        }
    }

    /** Ends all processes that were started, and removes the settings. */
    async close() {
        for (const node of this.nodes) {
            if (node.isRunning) {
                node.program.kill("SIGKILL");
                await node.ended;
            }
        }
        this.platform.close();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        } else {
            process.stdout.write(`${this.folder}\n`);
        }
    }
}

/** Runs a case and ends the process with 0 (rule held), 1 (rule broken) or 2 (could not run). */
export async function runCase(recordPath, run) {
    const record = new RunRecord(recordPath);
    const deployment = new Deployment(record);
    let code = 2;
    try {
        await deployment.open();
        const broken = await run(deployment, record, process.env.TROUBLE !== "0");
        code = broken ? 1 : 0;
        record.write(broken ? `rule broken: ${broken}` : "rule held");
    } catch (error) {
        record.write(`could not run: ${error.stack}`);
    }
    await deployment.close();
    process.exit(code);
}
