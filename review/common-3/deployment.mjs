/**
 * Starts nodes as separate processes, by the command and the settings template of the deploy file.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { createSocket } from "node:dgram";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Range of ports that the operating system does not choose by itself. */
const ports = { first: 12000, count: 18000 };

function tryBind(open) {
    return new Promise((resolve) => {
        open()
            .once("error", () => resolve(false))
            .once("listening", () => resolve(true));
    });
}

async function findPort() {
    for (;;) {
        const port = ports.first + Math.floor(Math.random() * ports.count);
        const server = createServer();
        const socket = createSocket("udp4");
        const isFree =
            (await tryBind(() => server.listen(port, "127.0.0.1"))) &&
            (await tryBind(() => socket.bind(port, "127.0.0.1")));
        socket.close();
        server.close();
        if (isFree) {
            return port;
        }
    }
}

/** Fills the settings template in, as the users' page of the deploy file tells it. */
function fillTemplate(text, fields) {
    const find = (path) => path.split(".").reduce((value, name) => value?.[name], fields);
    return text
        .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (...[, path, inner]) =>
            find(path) === undefined ? "" : inner,
        )
        .replace(/\{\{([\w.]+)\|json\}\}/g, (...[, path]) => JSON.stringify(find(path)) ?? "null");
}

/** The command of the deploy file, without the path of the settings. */
function readCommand() {
    const deploy = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    const [, line] = /^run = "(.*)"$/m.exec(deploy);
    return line.split(" ").slice(0, -1);
}

/** The bounds of the small installations in the users' pages. */
export const bounds = {
    ContactMs: 3000,
    DrainMs: 2000,
    GraceS: 8,
    ConfigApplyMs: 2000,
    RetryBudgetRatio: 0.2,
    BudgetWindowS: 10,
    RetryBudgetSlack: 58,
    LeaseMs: 3000,
    UsageWindowS: 5,
    UsageLateS: 10,
};

export class Node {
    constructor(options) {
        Object.assign(this, options);
        this.exits = [];
    }

    async start(isFirst) {
        const settings = fillTemplate(readFileSync(join(root, "deploy", "settings.json.template"), "utf8"), {
            ...this.fields,
            Bootstrap: isFirst,
        });
        const path = join(this.folder, `${this.fields.NodeName}.json`);
        writeFileSync(path, settings);
        const [program, ...parameters] = readCommand();
        this.process = spawn(program, [...parameters, path], {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.folder, `${this.fields.NodeName}.log`), { flags: "a" });
        this.process.stdout.pipe(log, { end: false });
        this.process.stderr.pipe(log, { end: false });
        const { process: child } = this;
        this.hasEnded = false;
        this.ended = new Promise((resolve) =>
            child.once("exit", (code, signal) => {
                this.exits.push({ code, signal });
                this.hasEnded = true;
                resolve();
            }),
        );
    }

    get port() {
        return Number(this.fields.Listen.Front.split(":")[1]);
    }

    isReady() {
        return new Promise((resolve) => {
            get(`http://${this.fields.Listen.Ready}/-/ready`, { agent: false }, (answer) => {
                answer.resume();
                resolve(answer.statusCode === 200);
            }).once("error", () => resolve(false));
        });
    }

    async waitReady(ms = 15000) {
        const endMs = Date.now() + ms;
        while (Date.now() < endMs) {
            if (await this.isReady()) {
                return true;
            }
            await sleep(100);
        }
        return false;
    }

    kill(signal = "SIGKILL") {
        if (!this.hasEnded) {
            this.process.kill(signal);
        }
    }
}

/** Nodes in zones before one store. */
export class Deployment {
    nodes = [];
    folder = mkdtempSync(join(tmpdir(), "review-3-"));

    /** @param options - Addresses of the platform; `clouds` gives each node one of its own for duties. */
    constructor({ store, cloud, clouds, memoryMb = 200, fds = 4100, cpuShare = 0.675, changed = {} }) {
        Object.assign(this, { store, cloud, clouds, memoryMb, fds, cpuShare, changed });
    }

    async addNode(name, zone) {
        const [front, ready, first, last] = [
            await findPort(),
            await findPort(),
            await findPort(),
            await findPort(),
        ];
        const fields = {
            NodeName: name,
            Zone: zone,
            Ip: "127.0.0.1",
            Listen: { Front: `127.0.0.1:${front}`, Ready: `127.0.0.1:${ready}` },
            InternalPorts: [first, last],
            Platform: { Address: this.store },
            Cloud: { Address: this.clouds?.[this.nodes.length] ?? this.cloud },
            Limits: { MemoryMb: this.memoryMb, MaxFds: this.fds, CpuShare: this.cpuShare },
            Bounds: { ...bounds, ...this.changed },
        };
        const node = new Node({ fields, folder: this.folder });
        this.nodes.push(node);
        return node;
    }

    async stop() {
        this.nodes.forEach((node) => node.process && node.kill("SIGCONT"));
        this.nodes.forEach((node) => node.process && node.kill("SIGKILL"));
        await Promise.all(this.nodes.map((node) => node.ended));
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}
