/**
 * Nodes of the users' platform with steady usage, whose store is copied all the time and comes back from such a copy.
 *
 * @packageDocumentation
 */
import type { TableCopy, TableService } from "@pimentocleat/services";
import { computeWindowStartMs, createRandom } from "@pimentocleat/policy";
import { findHolderViolation, findReportViolation, type HolderAct } from "./reportOracle.js";
import { usageSealTable } from "../usageTables.js";
import {
    usersDurations,
    usersLeaseMs,
    usersLeaseTiming,
    usersPreferenceDelayMs,
    usersRetainedWindows,
    usersStartDelayMs,
    usersWatchIntervalMs,
} from "./usageDurations.js";
import { usageLease, UsageSimulation } from "./usageSimulation.js";

/** Number of nodes. */
export const scenarioNodes = 4;
const stepMs = 100;
/** Interval at which the store is copied, in milliseconds. */
const copyIntervalMs = 500;
/** Largest difference of an ordinary wall clock from true time, in milliseconds. */
const clockErrorMs = 100;
/** Time in which the first node takes the lease before the others reach the store, in milliseconds. */
const firstLeaseMs = 2_000;
const maximumTokens = 99;
/** Time in which nodes reach the store again, in milliseconds. */
const contactMs = 4_000;
const defaultLateShare = 0.05;
/** Chance that a node records usage in one step. */
const recordShare = 0.5;
const receiver = { checksFencing: false, wireBoundMs: usersDurations.wireBoundMs };

export interface ScenarioOptions {
    readonly seed: number;
    /**
     * Difference of the wall clock of the first node from true time, in milliseconds; that node is the first reporter.
     */
    readonly firstClockOffsetMs?: number;
    /** Share of the calls to the store that are late. */
    readonly lateShare?: number;
}

interface KeptCopy {
    readonly atMs: number;
    readonly copy: TableCopy;
}

export class StoreCopyScenario {
    readonly simulation: UsageSimulation;
    /** Called when a window was sealed, before the reporter learns so. */
    onSeal: () => void = () => undefined;
    private readonly random: () => number;
    private readonly acts: HolderAct[] = [];
    private readonly windowsWithUsage = new Set<number>();
    private copies: KeptCopy[] = [];
    private isAway = false;
    private returns = 0;
    private returnedWallMs = 0;

    constructor({ seed, firstClockOffsetMs, lateShare = defaultLateShare }: ScenarioOptions) {
        this.random = createRandom(seed);
        const ordinaryOffsets = [...Array(scenarioNodes).keys()].map(
            () => (2 * this.random() - 1) * clockErrorMs,
        );
        this.simulation = new UsageSimulation({
            nodeCount: scenarioNodes,
            hasEras: true,
            durations: usersDurations,
            timing: usersLeaseTiming,
            wireBoundMs: usersDurations.wireBoundMs,
            startDelayMs: usersStartDelayMs,
            watchIntervalMs: usersWatchIntervalMs,
            preferenceDelayMs: usersPreferenceDelayMs,
            hasNoPreference: true,
            retentionMs: usersRetainedWindows * usersDurations.windowMs,
            wallOffsetsMs: [firstClockOffsetMs ?? ordinaryOffsets[0]!, ...ordinaryOffsets.slice(1)],
            network: {
                seed,
                lossShare: 0.8,
                maximumDelayMs: 1_000,
                lateShare,
                maximumLateMs: 1_500,
            },
            wrapTable: (service) => this.watchSeals(service),
        });
        if (firstClockOffsetMs !== undefined) {
            this.cutOffFromStore([...Array(scenarioNodes).keys()].slice(1), firstLeaseMs);
        }
    }

    /** Lets time pass, in which nodes record usage and the store is copied. */
    async advance(durationMs: number, check: () => void = () => undefined): Promise<void> {
        const { leases } = this.simulation;
        for (let movedMs = 0; movedMs < durationMs; movedMs += stepMs) {
            leases.nodes.forEach(({ host }, index) => this.recordUsage(host.isFrozen, index));
            await leases.advance(stepMs);
            this.recordActs();
            this.keepCopy();
            check();
        }
    }

    /** Lets time pass until the next report has arrived, and calls back before its sender learns so. */
    async advanceToReport(onReport: (reporter: number) => void): Promise<void> {
        const { simulation } = this;
        let isReported = false;
        simulation.onReport = ({ name }): void => {
            simulation.onReport = (): void => undefined;
            isReported = true;
            onReport(simulation.leases.nodes.findIndex((node) => node.name === name));
        };
        await this.advanceUntil(() => isReported);
    }

    /** Lets time pass until the next window is sealed, and calls back before the reporter learns so. */
    async advanceToSeal(onSeal: () => void): Promise<void> {
        let isSealed = false;
        this.onSeal = (): void => {
            this.onSeal = (): void => undefined;
            isSealed = true;
            onSeal();
        };
        await this.advanceUntil(() => isSealed);
    }

    /**
     * Lets the store go away now and come back from a copy.
     *
     * @param ageMs - Age of the copy when the store goes away, in milliseconds.
     * @param awayMs - Time for which the store is away, in milliseconds.
     */
    returnStore(ageMs: number, awayMs: number): void {
        const { leases } = this.simulation;
        const copyMs = leases.clock.monotonicMs() - ageMs;
        if (awayMs === 0) {
            this.startEra(copyMs);
            return;
        }
        this.isAway = true;
        leases.memory.setFaultPlan(() => "unavailable");
        void leases.clock.wait(awayMs).then(() => {
            leases.memory.setFaultPlan(() => "none");
            this.isAway = false;
            this.startEra(copyMs);
        });
    }

    /** Kills the nodes at the given indexes at one moment and starts new ones. */
    killNodes(indexes: readonly number[]): void {
        indexes.forEach((index) => this.simulation.leases.killNode(index));
    }

    /** @returns The index of the node that holds the reporter's lease; -1 when none does. */
    findReporter(): number {
        return this.simulation.leases.nodes.findIndex(
            ({ manager }) => manager.findHeldLease(usageLease)?.isValid() === true,
        );
    }

    /** @returns What is wrong with the reports; undefined when nothing is. */
    findReportViolation(): string | undefined {
        return findReportViolation(this.simulation.reports, usersDurations.windowMs, usersLeaseMs);
    }

    /** @returns What is wrong with the moments at which nodes were entitled to act; undefined when nothing is. */
    findHolderViolation(): string | undefined {
        const { wireBoundMs } = usersDurations;
        return findHolderViolation(this.acts, { leaseMs: usersLeaseMs, wireBoundMs });
    }

    /**
     * @param sinceMs - Wall time from which on windows are counted, in milliseconds.
     * @returns The number of windows with usage whose report is due and has not arrived.
     */
    countMissingWindows(sinceMs = 0): number {
        const { windowMs, users } = usersDurations;
        const dueStartMs = this.simulation.leases.clock.wallMs() - windowMs - users!.dueMs;
        const reported = new Set(this.simulation.reports.map(({ windowStartMs }) => windowStartMs));
        return [...this.windowsWithUsage].filter(
            (startMs) => startMs >= sinceMs && startMs <= dueStartMs && !reported.has(startMs),
        ).length;
    }

    /** @returns The number of missing windows that begin later than a window and a contact after the last return. */
    countMissingAfterReturn(): number {
        return this.countMissingWindows(this.returnedWallMs + usersDurations.windowMs + contactMs);
    }

    /** @returns How often the store has come back. */
    countReturns(): number {
        return this.returns;
    }

    private cutOffFromStore(indexes: readonly number[], durationMs: number): void {
        const { cutOff, clock } = this.simulation.leases;
        indexes.forEach((index) => cutOff.add(index));
        void clock.wait(durationMs).then(() => indexes.forEach((index) => cutOff.delete(index)));
    }

    private async advanceUntil(isDone: () => boolean): Promise<void> {
        while (!isDone()) {
            await this.advance(stepMs);
        }
    }

    private recordUsage(isFrozen: boolean, index: number): void {
        if (!isFrozen && this.random() < recordShare) {
            const { simulation } = this;
            simulation.record(index, 1 + Math.floor(this.random() * maximumTokens));
            const wallMs = simulation.leases.clock.wallMs();
            this.windowsWithUsage.add(computeWindowStartMs(wallMs, usersDurations.windowMs));
        }
    }

    /** A node that is entitled to send an order in this step may do so. */
    private recordActs(): void {
        const { allNodes, clock } = this.simulation.leases;
        for (const { name: sender, host, manager } of allNodes) {
            const lease = host.isFrozen ? undefined : manager.findHeldLease(usageLease);
            if (lease?.isReadyFor(receiver) === true) {
                this.acts.push({ sender, fencingNumber: lease.fencingNumber, atMs: clock.monotonicMs() });
            }
        }
    }

    private keepCopy(): void {
        const { clock, memory } = this.simulation.leases;
        const atMs = clock.monotonicMs();
        if (!this.isAway && atMs % copyIntervalMs === 0) {
            this.copies.push({ atMs, copy: memory.copyTables() });
        }
    }

    /** What was written after the copy is gone, with the copies of it. */
    private startEra(copyMs: number): void {
        this.copies = this.copies.filter(({ atMs }) => atMs <= copyMs);
        this.simulation.leases.startEra(this.copies.at(-1)?.copy ?? { tables: new Map(), lastCounter: 0 });
        this.returns += 1;
        this.returnedWallMs = this.simulation.leases.clock.wallMs();
    }

    private watchSeals(service: TableService): TableService {
        return {
            readRow: (table, key) => service.readRow(table, key),
            scanRows: (table, options) => service.scanRows(table, options),
            commitTransaction: async (transaction) => {
                const result = await service.commitTransaction(transaction);
                const isSeal = transaction.writes.some(({ table }) => table === usageSealTable);
                if (isSeal && result.outcome === "committed") {
                    this.onSeal();
                }
                return result;
            },
        };
    }
}
