/**
 * History of the whole system: the actions of callers and operators, and the checks of the final state.
 *
 * @packageDocumentation
 */
import { convergenceBoundMs } from "../../../../state/src/configuration/__tests__/cluster.js";
import { computeContentDigest, type ApplyResult } from "@pimentocleat/state";
import type { SystemMutant } from "./systemMutant.js";
import { baseFiles, keyIds } from "./baseConfiguration.js";
import { SystemSimulation } from "./systemSimulation.js";

const simulationSeed = 20_261_203;
/** Time to recover after the last fault, in milliseconds: leases, usage windows, their grace period and reports. */
const recoveryMs = 45_000;

/** Runs the actions of one history on a simulation and checks its final state. */
export class SystemHistory {
    readonly simulation: SystemSimulation;
    private sent = 0;
    private edits = 0;

    constructor(mutant: SystemMutant) {
        this.simulation = new SystemSimulation(mutant, simulationSeed);
    }

    /** Applies the base configuration and waits until it is active. */
    async start(): Promise<void> {
        const { simulation } = this;
        const request = { author: "o", changes: baseFiles };
        const result = await simulation.finish(simulation.createOperator().applyChanges(request));
        if (result.type !== "applied") {
            throw new Error(`the base configuration was not applied: ${JSON.stringify(result)}`);
        }
        await simulation.advance(convergenceBoundMs, keyIds);
    }

    sendRequests(node: number, key: number, route: string, count: number): void {
        for (let left = count; left > 0; left -= 1) {
            this.sent += 1;
            const requestId = `request-${this.sent}`;
            const path = `${route}/${requestId}`;
            void this.simulation.request(node, {
                requestId,
                keyId: keyIds[key]!,
                path,
                idempotencyKey: undefined,
            });
        }
    }

    /** Sends a non-repeatable request, whose idempotency key may have been used before. */
    sendOrder(node: number, key: number, id: number): void {
        this.sent += 1;
        const keyId = keyIds[key]!;
        const path = `/orders/${keyId}/${id}`;
        const idempotencyKey = `id-${id}`;
        void this.simulation.request(node, {
            requestId: `request-${this.sent}`,
            keyId,
            path,
            idempotencyKey,
        });
    }

    /** Edits configuration files; several edits run concurrently, each by another operator. */
    async edit(files: readonly number[]): Promise<void> {
        const { simulation } = this;
        const results = await simulation.finish(
            Promise.all(files.map((file) => this.applyEdit(file))),
            keyIds,
        );
        results.forEach((result) => result.type === "applied" && simulation.acceptRevision(result.revision));
    }

    async withdraw(node: number, keyId: string): Promise<void> {
        const { simulation } = this;
        const withdrawing = simulation.nodes[node]!;
        if (withdrawing.gate.isClosed) {
            return;
        }
        const result = await simulation.finish(withdrawing.withdrawals.withdrawKey(keyId, "o"), keyIds);
        if (result.type === "accepted" && !simulation.withdrawn.has(keyId)) {
            simulation.withdrawn.set(keyId, simulation.clock.monotonicMs());
        }
    }

    private async applyEdit(file: number): Promise<ApplyResult> {
        this.edits += 1;
        const operator = this.simulation.createOperator();
        const name = `file${file}.yaml`;
        const content = `customers: [{name: c${file}-${this.edits}}]\n`;
        try {
            const { files } = await operator.readSnapshot();
            const before = files.find((stored) => stored.name === name)?.content;
            const base = before === undefined ? {} : { baseDigest: computeContentDigest(before) };
            return await operator.applyChanges({ author: "o", changes: [{ name, content, ...base }] });
        } catch {
            return { type: "unavailable" };
        }
    }

    async checkFinalState(): Promise<void> {
        const { simulation } = this;
        simulation.recoverAll();
        await simulation.advance(recoveryMs, keyIds);
        const head = await simulation.finish(simulation.createOperator().readSnapshot());
        for (const node of simulation.nodes) {
            if ((node.configuration.readCurrent()?.revision ?? 0) !== head.revision) {
                throw new Error(`${node.name} did not apply revision ${head.revision}`);
            }
        }
        if (simulation.receiver.accepted.at(-1)?.count !== simulation.desiredCount) {
            throw new Error(
                `the last accepted order is not for the ${simulation.desiredCount} desired servers`,
            );
        }
        this.checkUsage();
    }

    private checkUsage(): void {
        const missing = this.simulation.recordedRequests - this.simulation.sumReportedRequests();
        if (missing < 0) {
            throw new Error(`${-missing} requests were reported twice`);
        }
        if (missing > 0 && !this.simulation.hasCrashed) {
            throw new Error(`the usage of ${missing} requests was not reported`);
        }
    }
}
