/**
 * The steps of the demo on the stand-in of the users' platform, each with its expected result.
 *
 * @packageDocumentation
 */
import {
    buildUsersConfiguration,
    sendUsersCall,
    usersStreamEventCount,
    type ReceivedAnswer,
    type UsersDeployment,
    type UsersNode,
} from "@pimentocleat/standins";
import type { WaitingClock } from "@pimentocleat/types";
import { buildStepResult, type StepResult } from "./demoSteps.js";

/** Pause before each event of the stream that runs while a node stops, in milliseconds. */
const slowEventPauseMs = 200;
/** Interval between checks of the condition that a step waits for, in milliseconds. */
const pollIntervalMs = 25;
/** Maximum wait for the condition of a step, in milliseconds. */
const maximumWaitMs = 15_000;
/** Minimum number of usage reports after the holder of the duties was killed. */
const minimumReportsAfterKill = 2;

/** Runs all steps in order. */
export class PlatformDemoSteps {
    /**
     * @param deployment - The nodes, the platform stand-in and the backend servers.
     * @param clock - Measures durations and waits.
     */
    constructor(
        private readonly deployment: UsersDeployment,
        private readonly clock: WaitingClock,
    ) {}

    /**
     * Runs the steps.
     *
     * @returns One result per step.
     */
    async *run(): AsyncGenerator<StepResult> {
        yield await this.checkReadiness();
        yield await this.checkAnswer("repeatable request", 0, "/safe/look", 200);
        yield await this.checkAnswer("request that runs once", 1, "/unsafe/hold", 200);
        yield await this.checkStream("stream", this.getNode(2));
        this.planLostAnswer();
        yield await this.checkAnswer("a server loses the answer: sent again", 0, "/safe/look", 200);
        this.planLostAnswer();
        yield await this.checkAnswer("a server loses the answer: outcome unknown", 1, "/unsafe/hold", 502);
        yield await this.stopDuringStream();
        yield await this.checkReporterFailover();
        yield await this.withdrawKey();
    }

    private async checkReadiness(): Promise<StepResult> {
        const { nodes } = this.deployment;
        const readReady = async (): Promise<number> => {
            const statuses = await Promise.all(nodes.map((node) => this.deployment.probeReadiness(node)));
            return statuses.filter((status) => status === 200).length;
        };
        await this.waitUntil(async () => (await readReady()) === nodes.length);
        const ready = await readReady();
        const expected = `${String(nodes.length)} nodes are ready`;
        return buildStepResult(
            "configuration from the store",
            "all",
            expected,
            `${String(ready)} are`,
            ready === nodes.length,
        );
    }

    private async checkAnswer(
        step: string,
        index: number,
        path: string,
        status: number,
    ): Promise<StepResult> {
        const node = this.getNode(index);
        const answer = await sendUsersCall(node.callerAddress, path, { method: "POST", body: "{}" });
        const passed = answer.status === status && !answer.isBroken;
        return buildStepResult(step, node.name, String(status), formatAnswer(answer), passed);
    }

    private async checkStream(step: string, node: UsersNode): Promise<StepResult> {
        const answer = await sendUsersCall(node.callerAddress, "/stream/ask", { method: "POST", body: "{}" });
        return buildStreamResult(step, node, answer);
    }

    private async stopDuringStream(): Promise<StepResult> {
        const node = this.getNode(2);
        const slow = [{ type: "slowStream" as const, pauseMs: slowEventPauseMs }];
        this.deployment.engines.forEach((server) => server.setSharedBehaviours(slow));
        const streaming = sendUsersCall(node.callerAddress, "/stream/ask", { method: "POST", body: "{}" });
        await this.clock.wait(slowEventPauseMs);
        const stopping = node.program.stop();
        const answer = await streaming;
        await stopping;
        await this.deployment.startNode(node);
        return buildStreamResult("a graceful stop during a stream", node, answer);
    }

    /** Checks that all reports of a window are equal and that another node takes over the duty with a higher fence. */
    private async checkReporterFailover(): Promise<StepResult> {
        const listReports = () => this.deployment.platform.dutyCalls.filter(({ path }) => path === "/usage");
        await this.waitUntil(async () => {
            await sendUsersCall(this.getNode(0).callerAddress, "/safe/look");
            return listReports().length > 0;
        });
        const firstReport = listReports().at(-1);
        const holder = this.deployment.nodes.find(({ name }) => name === firstReport?.holder);
        if (firstReport === undefined || holder === undefined) {
            return buildStepResult("the reporter is killed", "-", "a report of usage", "none", false);
        }
        holder.program.sendSignal("SIGKILL");
        await holder.program.exited;
        const others = this.deployment.nodes.filter((node) => node !== holder);
        await this.waitUntil(async () => {
            await sendUsersCall(others[0]!.callerAddress, "/safe/look");
            return (
                listReports().filter(({ fence }) => fence > firstReport.fence).length >=
                minimumReportsAfterKill
            );
        });
        await this.deployment.startNode(holder);
        const reports = listReports();
        const bodiesByWindow = new Map<unknown, Set<string>>();
        for (const { body } of reports) {
            const known = bodiesByWindow.get(body["Window"]) ?? new Set();
            bodiesByWindow.set(body["Window"], known.add(JSON.stringify(body)));
        }
        const isConsistent = [...bodiesByWindow.values()].every((known) => known.size === 1);
        const later = reports.filter(({ fence }) => fence > firstReport.fence).length;
        const seen = `${String(bodiesByWindow.size)} windows, ${String(later)} reports under a later fence`;
        const passed = isConsistent && later >= minimumReportsAfterKill;
        return buildStepResult(
            "the reporter is killed",
            holder.name,
            "one report content per window, another node takes over",
            seen,
            passed,
        );
    }

    private async withdrawKey(): Promise<StepResult> {
        const startMs = this.clock.monotonicMs();
        this.deployment.platform.rows.putJson("op", "config", buildUsersConfiguration(2, { Tenants: [] }));
        const isRefused = async (): Promise<boolean> => {
            const answers = await Promise.all(
                this.deployment.nodes.map((node) => sendUsersCall(node.callerAddress, "/safe/look")),
            );
            return answers.every(({ status }) => status === 401);
        };
        const passed = await this.waitUntil(isRefused);
        const seen = `${passed ? "" : "not "}after ${String(Math.round(this.clock.monotonicMs() - startMs))} ms`;
        return buildStepResult("a key is withdrawn", "all", "401 on every node", seen, passed);
    }

    /** Makes the first plain server that receives a request lose its response; the servers share this behaviour. */
    private planLostAnswer(): void {
        const behaviours = [{ type: "lost" as const }];
        this.deployment.plain.forEach((server) => server.setSharedBehaviours(behaviours));
    }

    private async waitUntil(isDone: () => Promise<boolean>): Promise<boolean> {
        const endMs = this.clock.monotonicMs() + maximumWaitMs;
        while (this.clock.monotonicMs() < endMs) {
            if (await isDone()) {
                return true;
            }
            await this.clock.wait(pollIntervalMs);
        }
        return false;
    }

    private getNode(index: number): UsersNode {
        return this.deployment.nodes[index]!;
    }
}

function buildStreamResult(step: string, node: UsersNode, answer: ReceivedAnswer): StepResult {
    const events = answer.body.split("\n\n").filter((event) => event !== "").length;
    const passed = answer.status === 200 && !answer.isBroken && events === usersStreamEventCount;
    const seen = `${formatAnswer(answer)}, ${String(events)} events`;
    return buildStepResult(step, node.name, `${String(usersStreamEventCount)} events, whole`, seen, passed);
}

function formatAnswer({ status, isBroken }: ReceivedAnswer): string {
    return `${String(status)}${isBroken ? ", broken off" : ""}`;
}
