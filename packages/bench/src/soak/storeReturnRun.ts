/**
 * Runs many real node processes under steady usage while their store comes back from older copies again and again.
 *
 * @packageDocumentation
 */
import {
    sendUsersCall,
    UsersDeployment,
    type DutyViolation,
    type ReceivedDutyCall,
    type UsersDeploymentOptions,
    type UsersNode,
} from "@pimentocleat/standins";
import { SystemClock } from "@pimentocleat/types";
import type { StoreReturn } from "./storeReturnPlan.js";

/** Everything that a run recorded. */
export interface StoreReturnRecord {
    readonly violations: readonly DutyViolation[];
    readonly reports: readonly ReceivedDutyCall[];
    /** Number of returns of the store before which a report arrived. */
    readonly returnCount: number;
    readonly callCount: number;
    readonly answeredCount: number;
    /** Names of the nodes whose process exited although no fault stopped it. */
    readonly exitedNodes: readonly string[];
}

/** Calls per second to all nodes together, which give each window other counts. */
const callsPerSecond = 80;
/** Time for which a report is awaited before a return of the store, in milliseconds; a takeover ends well before. */
const reportTimeoutMs = 30_000;
/** Time after a return in which the next reporter may report windows again, in milliseconds. */
const settleMs = 9_000;
const pollIntervalMs = 5;
const millisecondsPerSecond = 1_000;

/** Runs one deployment through planned returns of its store. */
export class StoreReturnRun {
    private readonly clock = new SystemClock();
    private readonly deployment: UsersDeployment;
    private readonly calls = new Set<Promise<void>>();
    private readonly restarts: Promise<void>[] = [];
    /** Nodes whose process is killed or frozen at the moment. */
    private readonly downNodes = new Set<UsersNode>();
    private readonly exitedNodes = new Set<string>();
    private callCount = 0;
    private answeredCount = 0;
    private returnCount = 0;
    private isRunning = true;

    /**
     * @param options - The deployment.
     * @param printLine - Called with a line of text for each return.
     */
    constructor(
        options: UsersDeploymentOptions,
        private readonly printLine: (line: string) => void = () => undefined,
    ) {
        this.deployment = new UsersDeployment(options);
    }

    /**
     * Runs the load and the returns.
     *
     * @param planned - The returns.
     * @returns Everything that was recorded.
     */
    async run(planned: readonly StoreReturn[]): Promise<StoreReturnRecord> {
        const { deployment } = this;
        try {
            await deployment.start();
            deployment.nodes.forEach((node) => this.watchNode(node));
            const load = this.sendLoad();
            for (const storeReturn of planned) {
                await this.applyReturn(storeReturn);
            }
            await this.clock.wait(settleMs);
            this.isRunning = false;
            await Promise.all([load, ...this.restarts, ...this.calls]);
            return this.buildRecord();
        } finally {
            this.isRunning = false;
            deployment.nodes.forEach((node) => this.downNodes.add(node));
            await deployment.stop();
        }
    }

    private buildRecord(): StoreReturnRecord {
        const { platform } = this.deployment;
        return {
            violations: platform.listViolations(),
            reports: platform.dutyCalls.filter(({ path }) => path === "/usage"),
            returnCount: this.returnCount,
            callCount: this.callCount,
            answeredCount: this.answeredCount,
            exitedNodes: [...this.exitedNodes],
        };
    }

    private async sendLoad(): Promise<void> {
        for (let index = 0; this.isRunning; index += 1) {
            const nodes = this.deployment.nodes.filter((node) => !this.downNodes.has(node));
            const call = this.sendCall(nodes[index % nodes.length]!);
            this.calls.add(call);
            void call.then(() => this.calls.delete(call));
            await this.clock.wait(millisecondsPerSecond / callsPerSecond);
        }
    }

    private async sendCall(node: UsersNode): Promise<void> {
        this.callCount += 1;
        try {
            const { status } = await sendUsersCall(node.callerAddress, "/safe/look");
            this.answeredCount += status === 200 ? 1 : 0;
        } catch {
            // A call to a node that is killed meanwhile gets no response.
        }
    }

    private async applyReturn(storeReturn: StoreReturn): Promise<void> {
        const { platform } = this.deployment;
        const reporter = await this.waitForReport();
        if (reporter === undefined) {
            this.printLine(`no report within ${String(reportTimeoutMs)} ms`);
        }
        await this.clock.wait(storeReturn.delayMs);
        const before = platform.listViolations().length;
        if (reporter !== undefined) {
            this.returnCount += 1;
            this.applyFault(reporter, storeReturn);
        }
        await platform.recoverOlderStore(storeReturn);
        this.deployment.registerServers();
        await Promise.all([this.clock.wait(settleMs), this.waitForReport()]);
        const found = platform.listViolations().slice(before);
        const { fault, delayMs, ageMs, awayMs, awayMode, downMs } = storeReturn;
        this.printLine(
            `${fault} of ${reporter?.name ?? "none"} (${reporter?.dataCentre ?? "none"}) ${String(delayMs)} ms after its report, copy ${String(ageMs)} ms old, ` +
                `away ${String(awayMs)} ms (${awayMode}), down ${String(downMs)} ms: ${String(found.length)} violations`,
        );
        found.forEach(({ type, text }) => this.printLine(`  ${type}: ${text}`));
    }

    /** Waits for the next report; returns its node, or undefined when none arrives in time. */
    private async waitForReport(): Promise<UsersNode | undefined> {
        const { platform, nodes } = this.deployment;
        const seen = platform.dutyCalls.length;
        const endMs = this.clock.monotonicMs() + reportTimeoutMs;
        while (this.clock.monotonicMs() < endMs) {
            const report = platform.dutyCalls.slice(seen).findLast(({ path }) => path === "/usage");
            if (report !== undefined) {
                return nodes.find(({ name }) => name === report.holder);
            }
            await this.clock.wait(pollIntervalMs);
        }
        return undefined;
    }

    private applyFault(reporter: UsersNode, { fault, downMs }: StoreReturn): void {
        switch (fault) {
            case "kill":
                this.restarts.push(this.applyKill(reporter, downMs));
                return;
            case "freeze":
                this.restarts.push(this.applySuspension(reporter, downMs));
                return;
            case "killDataCentre":
                this.deployment.nodes
                    .filter(({ dataCentre }) => dataCentre === reporter.dataCentre)
                    .forEach((node) => this.restarts.push(this.applyKill(node, downMs)));
        }
    }

    private async applyKill(node: UsersNode, downMs: number): Promise<void> {
        if (this.downNodes.has(node)) {
            return;
        }
        this.downNodes.add(node);
        node.program.sendSignal("SIGKILL");
        await this.clock.wait(downMs);
        await node.program.exited;
        await this.deployment.startNode(node);
        this.downNodes.delete(node);
        this.watchNode(node);
    }

    private async applySuspension(node: UsersNode, downMs: number): Promise<void> {
        if (this.downNodes.has(node)) {
            return;
        }
        this.downNodes.add(node);
        node.program.sendSignal("SIGSTOP");
        await this.clock.wait(downMs);
        this.deployment.platform.recordThaw(node.name);
        node.program.sendSignal("SIGCONT");
        this.downNodes.delete(node);
    }

    private watchNode(node: UsersNode): void {
        const { program } = node;
        void program.exited.then(() => {
            if (node.program === program && !this.downNodes.has(node)) {
                this.exitedNodes.add(node.name);
            }
        });
    }
}
