/**
 * The steps of the demo, each with its expected result.
 *
 * @packageDocumentation
 */
import { request } from "undici";
import type { WaitingClock } from "@pimentocleat/types";
import { runCommandLine } from "../deployment/commandLine.js";
import { sendCallerRequest, type CallerHttpResponse } from "../deployment/callerClient.js";
import type { ProcessDeployment, LaunchedNode } from "../deployment/processDeployment.js";

const model = "copywriter";
const orderId = "leaflet-42";
const draftTokens = 40;
/** Long enough for a node to receive its stop signal while the stream runs. */
const longDraftTokens = 150;
/** Interval between checks of a condition, in milliseconds. */
const pollIntervalMs = 50;

/** The result of a step. */
export interface StepResult {
    readonly step: string;
    /** Names of the called nodes, `all`, or a dash when the step calls no node. */
    readonly node: string;
    readonly expected: string;
    readonly seen: string;
    readonly passed: boolean;
}

/** The deployment, clock and limits that the steps use. */
export interface StepContext {
    readonly deployment: ProcessDeployment;
    readonly folderPath: string;
    readonly clock: WaitingClock;
    /** Maximum time until every node refuses a withdrawn key, in milliseconds. */
    readonly withdrawalTimeoutMs: number;
}

/** Runs all steps in order. */
export class DemoSteps {
    private secret = "";

    /** @param context - The deployment, the configuration folder, the clock and the timeout. */
    constructor(private readonly context: StepContext) {}

    /**
     * Runs the steps.
     *
     * @returns One result per step.
     */
    async *run(): AsyncGenerator<StepResult> {
        yield await this.applyConfiguration();
        yield await this.createKey();
        yield await this.checkDraftStream();
        yield await this.checkCompletion("proof check", "proof-checks", this.getNode(1));
        yield await this.checkCompletion("caption", "captions", this.getNode(2));
        yield await this.checkOrder(this.getNode(0), false);
        yield await this.checkOrder(this.getNode(1), true);
        yield await this.checkOrderRuns();
        yield await this.checkJob();
        yield await this.stopNodeDuringStream();
        yield await this.withdrawKey();
    }

    private async applyConfiguration(): Promise<StepResult> {
        const result = await this.runOperator(["config", "apply", this.context.folderPath, "--wait"]);
        return buildStepResult(
            "apply examples/volantino",
            "entry-1",
            "in force on every node",
            formatFields(result),
            true,
        );
    }

    private async createKey(): Promise<StepResult> {
        const parameters = [
            "key",
            "create",
            "demo",
            "--customer",
            "supermarket-chain",
            "--class",
            "captions",
        ];
        const { secret, revision } = await this.runOperator(parameters);
        this.secret = String(secret);
        await this.waitForRevision(Number(revision));
        return buildStepResult(
            "create a key",
            "entry-1",
            "a secret",
            `revision ${String(revision)}`,
            this.secret !== "",
        );
    }

    private async checkDraftStream(): Promise<StepResult> {
        const answer = await this.sendChat(this.getNode(0), "copy-drafts", draftTokens, true);
        const tokens = countStreamTokens(answer.text);
        const passed = answer.status === 200 && answer.streamComplete && tokens === draftTokens;
        return buildStepResult(
            "stream a copy draft",
            "entry-1",
            `${draftTokens} tokens, whole`,
            formatStream(answer),
            passed,
        );
    }

    private async checkCompletion(
        step: string,
        requestClass: string,
        node: LaunchedNode,
    ): Promise<StepResult> {
        const answer = await this.sendChat(node, requestClass, draftTokens, false);
        const isComplete = answer.status === 200 && answer.text.includes('"finish_reason"');
        return buildStepResult(
            step,
            node.name,
            "200, whole",
            `${answer.status}, ${answer.text.length} bytes`,
            isComplete,
        );
    }

    private async checkOrder(node: LaunchedNode, expectReplay: boolean): Promise<StepResult> {
        const answer = await sendCallerRequest({
            address: node.callerAddress,
            secret: this.secret,
            path: "/orders",
            requestClass: "order-confirmations",
            body: { orderId, copies: 9_000 },
            idempotencyKey: `confirm-${orderId}`,
        });
        const expected = expectReplay ? "the stored answer" : "a first answer";
        const seen = `${answer.status}, ${answer.replayed ? "stored answer" : "first answer"}`;
        const passed = answer.status < 300 && answer.replayed === expectReplay;
        return buildStepResult("confirm an order", node.name, expected, seen, passed);
    }

    private async checkOrderRuns(): Promise<StepResult> {
        const { configuration, serverAddresses } = this.context.deployment;
        const pool = configuration.pools.find((candidate) => candidate.name === "orders");
        const counts = await Promise.all(
            (pool?.servers ?? []).map((server) =>
                readRunCount(String(serverAddresses.get(server.name)), orderId),
            ),
        );
        const total = counts.reduce((sum, count) => sum + count, 0);
        return buildStepResult("count the order's runs", "-", "1", String(total), total === 1);
    }

    private async checkJob(): Promise<StepResult> {
        const node = this.getNode(2);
        const answer = await sendCallerRequest({
            address: node.callerAddress,
            secret: this.secret,
            path: `/jobs/${orderId}`,
            requestClass: "job-status",
        });
        return buildStepResult(
            "look a job up",
            node.name,
            "200",
            String(answer.status),
            answer.status === 200,
        );
    }

    private async stopNodeDuringStream(): Promise<StepResult> {
        const node = this.getNode(2);
        let isStopping = false;
        const answer = await this.sendChat(node, "copy-drafts", longDraftTokens, true, () => {
            if (!isStopping) {
                isStopping = true;
                node.program.sendSignal("SIGTERM");
            }
        });
        const exit = await node.program.exited;
        const isComplete = answer.streamComplete && countStreamTokens(answer.text) === longDraftTokens;
        const seen = `${formatStream(answer)}; exit ${String(exit.code)}`;
        const expected = `${longDraftTokens} tokens, whole; exit 0`;
        return buildStepResult(
            "stop a node in mid-stream",
            node.name,
            expected,
            seen,
            isComplete && exit.code === 0,
        );
    }

    private async withdrawKey(): Promise<StepResult> {
        const { clock, withdrawalTimeoutMs } = this.context;
        const startMs = clock.monotonicMs();
        await this.runOperator(["key", "withdraw", "demo"]);
        let refused = false;
        while (!refused && clock.monotonicMs() - startMs < withdrawalTimeoutMs) {
            const answers = await Promise.all([0, 1].map((index) => this.sendJobCall(this.getNode(index))));
            refused = answers.every(
                (answer) => answer.status === 401 && answer.text.includes("key_withdrawn"),
            );
            await clock.wait(pollIntervalMs);
        }
        const seen = refused
            ? `refused after ${Math.round(clock.monotonicMs() - startMs)} ms`
            : "still accepted";
        const expected = `refused on both nodes within ${withdrawalTimeoutMs} ms`;
        return buildStepResult("withdraw the key", "entry-1, entry-2", expected, seen, refused);
    }

    private sendJobCall(node: LaunchedNode): Promise<CallerHttpResponse> {
        const path = `/jobs/${orderId}`;
        return sendCallerRequest({
            address: node.callerAddress,
            secret: this.secret,
            path,
            requestClass: "job-status",
        });
    }

    private sendChat(
        node: LaunchedNode,
        requestClass: string,
        tokens: number,
        stream: boolean,
        onPart?: () => void,
    ): Promise<CallerHttpResponse> {
        const messages = [{ role: "user", content: "Write the copy for this week's leaflet." }];
        return sendCallerRequest({
            address: node.callerAddress,
            secret: this.secret,
            path: "/v1/chat/completions",
            requestClass,
            body: { model, messages, stream, max_tokens: tokens, ignore_eos: true },
            ...(onPart === undefined ? {} : { onPart }),
        });
    }

    private async waitForRevision(revision: number): Promise<void> {
        for (const node of this.context.deployment.nodes) {
            while ((await this.readRevision(node)) < revision) {
                await this.context.clock.wait(pollIntervalMs);
            }
        }
    }

    private async readRevision(node: LaunchedNode): Promise<number> {
        const target = this.buildTarget(node);
        const { nodes } = (await runCommandLine(target, ["config", "status"])) as {
            nodes: readonly { name: string; revision: number }[];
        };
        return Number(nodes.find((entry) => entry.name === node.name)?.revision ?? 0);
    }

    private runOperator(parameters: readonly string[]): Promise<Record<string, unknown>> {
        return runCommandLine(this.buildTarget(this.getNode(0)), parameters);
    }

    private buildTarget(node: LaunchedNode): { operatorAddress: string; credential: string } {
        const credential = this.context.deployment.operatorCredential;
        return { operatorAddress: node.operatorAddress, credential };
    }

    private getNode(index: number): LaunchedNode {
        return this.context.deployment.nodes[index] as LaunchedNode;
    }
}

/**
 * Builds the result of a step.
 *
 * @param step - Description of the step.
 * @param node - Names of the called nodes, `all`, or a dash when the step calls no node.
 * @param expected - The expected outcome.
 * @param seen - The observed outcome.
 * @param passed - Whether the observed outcome is the expected one.
 * @returns The result.
 */
export function buildStepResult(
    step: string,
    node: string,
    expected: string,
    seen: string,
    passed: boolean,
): StepResult {
    return { step, node, expected, seen, passed };
}

function formatFields(result: Record<string, unknown>): string {
    return Object.entries(result)
        .filter(([, value]) => typeof value === "number" || typeof value === "string")
        .map(([name, value]) => `${name} ${String(value)}`)
        .join(", ");
}

function formatStream(answer: CallerHttpResponse): string {
    const end = answer.streamComplete ? "whole" : "cut";
    return `${countStreamTokens(answer.text)} tokens, ${end}`;
}

function countStreamTokens(text: string): number {
    const contents = text
        .split("\n")
        .filter((line) => line.startsWith("data: {"))
        .map(
            (line) =>
                JSON.parse(line.slice("data: ".length)) as { choices?: { delta?: { content?: string } }[] },
        )
        .map((event) => event.choices?.[0]?.delta?.content ?? "");
    return contents
        .join("")
        .split(/\s+/)
        .filter((word) => word !== "").length;
}

async function readRunCount(address: string, orderId: string): Promise<number> {
    const answer = await request(`http://${address}/counts`);
    const { orders } = (await answer.body.json()) as { orders: Record<string, number> };
    return orders[orderId] ?? 0;
}
