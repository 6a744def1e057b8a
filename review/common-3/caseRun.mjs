/**
 * What the scripts of several cases share: a small deployment before stand-ins, and the record of a run.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Caller } from "./callers.mjs";
import { Deployment, sleep } from "./deployment.mjs";
import { Duties, Store } from "./store.mjs";
import { Worker } from "./workers.mjs";

export const key = "n2ctnfzs989anu6wsjnb";
export const host = "ficu95.example";
export const tenant = "hule930";
export const isTroubled = process.env.TROUBLE !== "0";

/** Exit codes of a script. */
export const codes = { held: 0, broken: 1, notRun: 2 };

/** Routes in the figures of the sheet of the small installation ptnc-oath. */
export const routes = {
    stream: {
        Name: "r-stream",
        Host: host,
        PathPrefix: "/seat/",
        Kind: "stream",
        TimeoutMs: 4000,
        TargetLatencyMs: 800,
        GapAimMs: 1000,
        Priority: 1,
        Service: "oath-llm",
        MaxAttempts: 2,
        Public: false,
        Sticky: true,
        Resumable: true,
    },
    safe: {
        Name: "r-safe",
        Host: host,
        PathPrefix: "/look/",
        Kind: "safe",
        TimeoutMs: 1200,
        TargetLatencyMs: 193,
        Priority: 2,
        Service: "booking-app",
        MaxAttempts: 2,
        Public: false,
    },
    unsafe: {
        Name: "r-unsafe",
        Host: host,
        PathPrefix: "/hold/",
        Kind: "unsafe",
        TimeoutMs: 1200,
        TargetLatencyMs: 193,
        Priority: 2,
        Service: "booking-app",
        MaxAttempts: 1,
        Public: false,
    },
};

/** Builds a configuration as the operator writes it. */
export function buildConfiguration(routeList, others = {}) {
    return {
        Version: 3,
        Routes: routeList,
        Services: [
            {
                Name: "oath-llm",
                HealthPath: "/health",
                MaxConnections: 370,
                Protocol: "h1",
                Tls: false,
                Engine: { Slots: 64, KvCapacity: 355201, Models: [{ Name: "m" }] },
            },
            {
                Name: "booking-app",
                HealthPath: "/health",
                MaxConnections: 110,
                Protocol: "h1",
                Tls: false,
            },
        ],
        Limits: {
            MaxHeaderBytes: 16384,
            MaxBodyBytes: 4194304,
            HeaderTimeoutMs: 3000,
            IdleTimeoutMs: 15000,
        },
        Tenants: [{ Name: tenant, ApiKeys: [key], Priority: 1 }],
        ...others,
    };
}

/** Time after which a run gives up, in milliseconds. */
const mostMs = 105000;

/** A run of a case: its deployment, and the lines of its record. */
export class CaseRun {
    lines = [];
    store = new Store();
    duties = new Duties();
    workers = [];
    callers = [];
    startMs = Date.now();

    /** @param folder - The folder of the case, in which the record is written. */
    constructor(folder) {
        this.folder = folder;
    }

    write(text) {
        const line = `${((Date.now() - this.startMs) / 1000).toFixed(3)} s  ${text}`;
        this.lines.push(line);
        process.stdout.write(`${line}\n`);
    }

    async addWorker(options) {
        const worker = new Worker(this.store, options);
        this.workers.push(worker);
        await worker.open();
        return worker;
    }

    /** Starts one node in each zone and waits until all are ready and have been in touch for ContactMs. */
    async startNodes(zones, configuration, options = {}) {
        this.store.put("op", "config", configuration);
        this.deployment = new Deployment({
            store: this.store.address,
            cloud: this.duties.address,
            ...options,
        });
        for (const [index, zone] of zones.entries()) {
            await this.deployment.addNode(`front-${zone}-${index + 1}`, zone);
        }
        const { nodes } = this.deployment;
        await Promise.all(nodes.map((node) => node.start(true)));
        const ready = await Promise.all(nodes.map((node) => node.waitReady()));
        if (ready.includes(false)) {
            throw new Error("a node did not become ready");
        }
        await sleep(3500);
        this.write(`${nodes.length} nodes are ready`);
        return nodes;
    }

    addCaller(node) {
        const caller = new Caller(node.port, { key, host });
        this.callers.push(caller);
        return caller;
    }

    async stop() {
        this.callers.forEach((caller) => caller.close());
        await this.deployment?.stop();
        this.workers.forEach((worker) => worker.close());
        this.store.close();
        this.duties.close();
    }

    /** Runs a case to its end, writes the record and exits. `body` returns whether the rule was broken. */
    static async run(folder, body) {
        const run = new CaseRun(folder);
        let code = codes.notRun;
        const ended = new Promise((...[, reject]) => {
            const giveUp = () => reject(new Error("the run was ended before its time"));
            process.once("SIGTERM", giveUp).once("SIGINT", giveUp);
            setTimeout(giveUp, mostMs).unref();
            process.once("uncaughtException", reject);
        });
        try {
            await run.store.open();
            await run.duties.open();
            run.write(isTroubled ? "with the disruption" : "without the disruption");
            code = (await Promise.race([body(run), ended])) ? codes.broken : codes.held;
        } catch (error) {
            run.write(`the case could not run: ${error.stack}`);
        }
        await run.stop();
        const verdicts = { 0: "the rule held", 1: "the rule was broken", 2: "the case could not run" };
        run.write(verdicts[code]);
        writeFileSync(join(folder, "record.txt"), `${run.lines.join("\n")}\n`);
        process.exit(code);
    }
}
