/**
 * Deployment of node processes, controlled through the operator interface, for measuring how long changes take
 * to become active.
 *
 * @packageDocumentation
 */
import {
    createOperatorClient,
    ExampleFolder,
    ProcessDeployment,
    type OperatorClient,
} from "@pimentocleat/cli";
import { ApplyOutcome } from "@pimentocleat/schema";
import { SystemClock } from "@pimentocleat/types";
import { createHash } from "node:crypto";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { request } from "undici";

/** Interval of polling a node, in milliseconds. */
const pollMs = 5;
/** Timeout for a change to become active on one node, in milliseconds. */
const changeTimeoutMs = 30_000;
const rolloutFileName = "90-rollout.yaml";

/** Fault to inject into the platform stand-in. */
export interface PlatformFault {
    readonly kind: string;
    readonly service?: string;
    readonly call?: string;
    readonly delayMs?: number;
}

/** Number of calls that the platform received, by service and call. */
export type PlatformCallCounts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Runs a deployment of processes with an operator client for each node. */
export class RolloutDeployment {
    private readonly clock = new SystemClock();
    private readonly clients: OperatorClient[] = [];
    /** Content of the rollout file that was applied last. */
    private appliedContent: string | undefined;
    private changeCount = 0;

    private constructor(
        readonly processes: ProcessDeployment,
        private readonly folder: ExampleFolder,
    ) {}

    /**
     * Starts a deployment and waits until the example's configuration is active on every node.
     *
     * @param examplePath - Folder of the example configuration.
     * @param nodeCount - Number of nodes.
     * @returns The running deployment; the caller must stop it.
     */
    static async start(examplePath: string, nodeCount: number): Promise<RolloutDeployment> {
        const folder = await ExampleFolder.copyExample(examplePath);
        const processes = new ProcessDeployment({ configuration: folder.configuration, nodeCount });
        const deployment = new RolloutDeployment(processes, folder);
        await processes.start();
        await folder.writeFiles(processes.serverAddresses);
        await deployment.applyFolder();
        return deployment;
    }

    /** Stops all processes and removes the copied folder. */
    async stop(): Promise<void> {
        await this.processes.stop();
        await this.folder.remove();
    }

    /**
     * Applies one change of the configuration: a file whose only customer has a new name.
     *
     * @returns Revision of the change.
     * @throws Error when the change is not applied.
     */
    async applyChange(): Promise<number> {
        this.changeCount += 1;
        const content = `customers:\n    - name: rollout-${this.changeCount}\n`;
        const baseDigest = this.appliedContent === undefined ? undefined : computeDigest(this.appliedContent);
        const change = {
            name: rolloutFileName,
            content,
            ...(baseDigest === undefined ? {} : { baseDigest }),
        };
        const answer = await this.getClient(0).applyConfiguration({ author: "rollout", changes: [change] });
        if (answer.outcome !== ApplyOutcome.APPLIED) {
            throw new Error(
                `the change of ${rolloutFileName} was not applied: ${ApplyOutcome[answer.outcome]}`,
            );
        }
        this.appliedContent = content;
        return Number(answer.revision);
    }

    /**
     * Waits until a revision, or a later one, is active on a node.
     *
     * @param node - Index of the node.
     * @param revision - Revision to wait for.
     * @param startMs - Monotonic time of the change, in milliseconds.
     * @returns Time since `startMs`, in milliseconds.
     */
    async waitForRevision(node: number, revision: number, startMs: number): Promise<number> {
        return this.waitFor(startMs, async () => (await this.readRevision(node)) >= revision);
    }

    /**
     * Waits until a node rejects a key as withdrawn.
     *
     * @param node - Index of the node.
     * @param secret - Secret of the key.
     * @param startMs - Monotonic time of the withdrawal, in milliseconds.
     * @returns Time since `startMs`, in milliseconds.
     */
    async waitForRefusal(node: number, secret: string, startMs: number): Promise<number> {
        const address = this.processes.nodes[node]?.callerAddress;
        return this.waitFor(startMs, async () => {
            const answer = await request(`http://${address}/v1/models`, {
                headers: { authorization: `Bearer ${secret}` },
            });
            return answer.statusCode === 401 && (await answer.body.text()).includes("key_withdrawn");
        });
    }

    /**
     * Creates a key and waits until its revision is active on every node.
     *
     * @param keyId - Identifier of the key.
     * @returns Secret of the key.
     */
    async createKey(keyId: string): Promise<string> {
        const customer = this.processes.configuration.customers[0]?.name ?? "";
        const answer = await this.getClient(0).createKey({ author: "rollout", keyId, customer });
        const revision = Number(answer.result?.revision);
        const startMs = this.clock.monotonicMs();
        await Promise.all(this.listNodes().map((node) => this.waitForRevision(node, revision, startMs)));
        return answer.secret;
    }

    /**
     * Withdraws a key through the first node.
     *
     * @param keyId - Identifier of the key.
     */
    async withdrawKey(keyId: string): Promise<void> {
        await this.getClient(0).withdrawKey({ author: "rollout", keyId });
    }

    /**
     * Replaces the faults of the platform stand-in.
     *
     * @param faults - The new faults; an empty list clears them.
     */
    async setPlatformFaults(faults: readonly PlatformFault[]): Promise<void> {
        const answer = await request(`http://${this.processes.platformAddress}/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ faults }),
        });
        await answer.body.dump();
    }

    /** @returns Number of calls that the platform has received since its start. */
    async readPlatformCallCounts(): Promise<PlatformCallCounts> {
        const answer = await request(`http://${this.processes.platformAddress}/record`);
        const { callCounts } = (await answer.body.json()) as { callCounts: PlatformCallCounts };
        return callCounts;
    }

    /** @returns Indexes of all nodes. */
    listNodes(): readonly number[] {
        return [...this.processes.nodes.keys()];
    }

    private async applyFolder(): Promise<void> {
        const names = await readdir(this.folder.path);
        const changes = await Promise.all(
            names.map(async (name) => ({
                name,
                content: await readFile(join(this.folder.path, name), "utf8"),
            })),
        );
        const answer = await this.getClient(0).applyConfiguration({ author: "rollout", changes });
        const startMs = this.clock.monotonicMs();
        await Promise.all(
            this.listNodes().map((node) => this.waitForRevision(node, Number(answer.revision), startMs)),
        );
    }

    private getClient(node: number): OperatorClient {
        const address = this.processes.nodes[node]?.operatorAddress ?? "";
        this.clients[node] ??= createOperatorClient({
            address,
            credential: this.processes.operatorCredential,
        });
        return this.clients[node];
    }

    private async readRevision(node: number): Promise<number> {
        const answer = await this.getClient(node).getStatus({});
        return Number(answer.node?.revision ?? 0);
    }

    private async waitFor(startMs: number, isDone: () => Promise<boolean>): Promise<number> {
        while (!(await isDone())) {
            if (this.clock.monotonicMs() - startMs > changeTimeoutMs) {
                throw new Error(`a change did not become active on a node within ${changeTimeoutMs} ms`);
            }
            await this.clock.wait(pollMs);
        }
        return this.clock.monotonicMs() - startMs;
    }
}

function computeDigest(content: string): string {
    return createHash("sha256").update(content).digest("hex");
}
