/**
 * Runs real node processes under load and planned faults.
 *
 * @packageDocumentation
 */
import { fileURLToPath } from "node:url";
import {
    buildServerEntry,
    buildUsersConfiguration,
    sendUsersCall,
    UsersDeployment,
    type ReceivedAnswer,
    type UsersNode,
} from "@pimentocleat/standins";
import { SystemClock } from "@pimentocleat/types";
import { nodeCount, planFaults, type PlannedFault, type SoakFault } from "./soakPlan.js";
import type { SoakCall, SoakRecord } from "./soakRecord.js";

const programPath = fileURLToPath(new URL("../../../../platform/lib/main.js", import.meta.url));
/** Length of a usage window, in seconds; short, so that a run reports many of them. */
const usageWindowSeconds = 2;
/** Interval between calls, in milliseconds; each node receives about 20 calls per second. */
const callIntervalMs = 15;
/** Time within which all nodes must serve requests after the last fault, in milliseconds. */
const recoveryTimeoutMs = 12_000;
/** Time for the last usage windows to be reported, in milliseconds. */
const reportingDelayMs = 6_000;
/** Delay between the exit of a process and its restart, in milliseconds; typical of a process supervisor. */
const restartDelayMs = 300;
/** Interval of checking whether nodes serve requests, in milliseconds. */
const pollIntervalMs = 100;
const paths = { safe: "/safe/look", unsafe: "/unsafe/hold", stream: "/stream/ask" } as const;
const kinds = ["safe", "unsafe", "stream"] as const;

/** Runs one soak with a deployment of its own. */
export class SoakRun {
    private readonly clock = new SystemClock();
    private readonly deployment = new UsersDeployment({ programPath, nodeCount, usageWindowSeconds });
    private readonly calls: SoakCall[] = [];
    private readonly exitedNodes = new Set<string>();
    /** Nodes whose process is being stopped, suspended or restarted; an exit is not recorded meanwhile. */
    private readonly changingNodes = new Set<UsersNode>();
    private readonly tasks: Promise<unknown>[] = [];
    private configurationVersion = 1;

    /**
     * Runs the load and the faults, then waits for the nodes to recover.
     *
     * @param seed - Seed of the faults.
     * @param durationMs - Duration of the load, in milliseconds.
     * @returns Everything that the soak recorded.
     */
    async run(seed: number, durationMs: number): Promise<SoakRecord> {
        const { deployment, clock } = this;
        try {
            await deployment.start();
            deployment.nodes.forEach((node) => this.watchNode(node));
            await this.waitUntilServing();
            const faults = this.runFaults(planFaults(seed, durationMs));
            await this.sendLoad(durationMs);
            await faults;
            await Promise.all(this.tasks);
            this.clearFaults();
            const unavailableNodes = await this.waitUntilServing();
            await clock.wait(reportingDelayMs);
            const servers = [...deployment.plain, ...deployment.engines];
            return {
                calls: this.calls,
                backendRequests: servers.flatMap(({ received }) => received),
                duties: deployment.platform.dutyCalls,
                exitedNodes: [...this.exitedNodes],
                unavailableNodes,
            };
        } finally {
            deployment.nodes.forEach((node) => this.changingNodes.add(node));
            await deployment.stop();
        }
    }

    private async sendLoad(durationMs: number): Promise<void> {
        const endMs = this.clock.monotonicMs() + durationMs;
        for (let index = 0; this.clock.monotonicMs() < endMs; index += 1) {
            const node = this.deployment.nodes[index % nodeCount]!;
            const kind = kinds[index % kinds.length]!;
            this.tasks.push(sendCall(node, kind).then((answer) => this.calls.push({ kind, answer })));
            await this.clock.wait(callIntervalMs);
        }
    }

    private async runFaults(planned: readonly PlannedFault[]): Promise<void> {
        const startMs = this.clock.monotonicMs();
        for (const { startMs: faultStartMs, fault } of planned) {
            await this.clock.wait(Math.max(0, startMs + faultStartMs - this.clock.monotonicMs()));
            this.tasks.push(this.applyFault(fault));
        }
    }

    private async applyFault(fault: SoakFault): Promise<void> {
        const { platform, plain, engines, nodes } = this.deployment;
        switch (fault.type) {
            case "kill":
            case "stop":
                return this.applyRestart(nodes[fault.node]!, fault.type);
            case "stopTwice":
                return this.applyRestart(nodes[fault.node]!, "stop", fault.intervalMs);
            case "reload":
                nodes[fault.node]!.program.sendSignal("SIGHUP");
                return;
            case "silence":
                (fault.service === "plain" ? plain : engines).forEach((server) =>
                    server.setSilence(fault.durationMs),
                );
                return;
            case "freeze":
                return this.applySuspension(nodes[fault.node]!, fault.durationMs);
            case "store":
                platform.setStoreMode(fault.mode);
                await this.clock.wait(fault.durationMs);
                platform.setStoreMode("usual");
                return;
            case "writes":
                platform.setWriteFaults(fault.faults);
                await this.clock.wait(fault.delayMs);
                platform.applyLateWrites();
                return;
            case "servers": {
                const shared = [...fault.behaviours];
                (fault.service === "plain" ? plain : engines).forEach((server) =>
                    server.setSharedBehaviours(shared),
                );
                return;
            }
            case "leaving":
                return this.applyLeaving(fault.server, fault.durationMs);
            case "configuration":
                this.configurationVersion += 1;
                platform.rows.putJson("op", "config", buildUsersConfiguration(this.configurationVersion));
        }
    }

    private async applyRestart(node: UsersNode, how: "kill" | "stop", repeatAfterMs?: number): Promise<void> {
        if (this.changingNodes.has(node)) {
            return;
        }
        this.changingNodes.add(node);
        if (how === "kill") {
            node.program.sendSignal("SIGKILL");
            await node.program.exited;
        } else {
            await this.stopNode(node, repeatAfterMs);
        }
        await this.clock.wait(restartDelayMs);
        await this.deployment.startNode(node);
        this.changingNodes.delete(node);
        this.watchNode(node);
    }

    /** Stops a node; one that ends otherwise than by itself in good order counts as exited. */
    private async stopNode(node: UsersNode, repeatAfterMs: number | undefined): Promise<void> {
        const stopped = node.program.stop();
        if (repeatAfterMs !== undefined) {
            await this.clock.wait(repeatAfterMs);
            node.program.sendSignal("SIGTERM");
        }
        const { code } = await stopped;
        if (code !== 0) {
            this.exitedNodes.add(node.name);
        }
    }

    private async applySuspension(node: UsersNode, durationMs: number): Promise<void> {
        if (this.changingNodes.has(node)) {
            return;
        }
        this.changingNodes.add(node);
        node.program.sendSignal("SIGSTOP");
        await this.clock.wait(durationMs);
        node.program.sendSignal("SIGCONT");
        this.changingNodes.delete(node);
    }

    private async applyLeaving(index: number, durationMs: number): Promise<void> {
        const server = this.deployment.plain[index]!;
        const { rows } = this.deployment.platform;
        const address = server.getAddress();
        rows.putJson("servers", server.id, buildServerEntry("plain", address, { State: "draining" }));
        await this.clock.wait(durationMs);
        rows.putJson("servers", server.id, buildServerEntry("plain", address));
    }

    private clearFaults(): void {
        const { platform, plain, engines } = this.deployment;
        platform.setStoreMode("usual");
        platform.setWriteFaults([]);
        platform.applyLateWrites();
        [...plain, ...engines].forEach((server) => server.setBehaviours());
    }

    /** Waits until all nodes serve requests; returns the names of those that do not within the timeout. */
    private async waitUntilServing(): Promise<readonly string[]> {
        const endMs = this.clock.monotonicMs() + recoveryTimeoutMs;
        let unavailable = [...this.deployment.nodes];
        while (unavailable.length > 0 && this.clock.monotonicMs() < endMs) {
            await this.clock.wait(pollIntervalMs);
            const results = await Promise.all(
                unavailable.map(async (node) => ({ node, answer: await sendCall(node, "safe") })),
            );
            unavailable = results.filter(({ answer }) => answer?.status !== 200).map(({ node }) => node);
        }
        return unavailable.map(({ name }) => name);
    }

    private watchNode(node: UsersNode): void {
        const { program } = node;
        void program.exited.then(() => {
            if (node.program === program && !this.changingNodes.has(node)) {
                this.exitedNodes.add(node.name);
            }
        });
    }
}

async function sendCall(node: UsersNode, kind: SoakCall["kind"]): Promise<ReceivedAnswer | undefined> {
    try {
        return await sendUsersCall(node.callerAddress, paths[kind], { method: "POST", body: "{}" });
    } catch {
        return undefined;
    }
}
