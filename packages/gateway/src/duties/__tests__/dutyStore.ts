/**
 * A table service that comes back from copies of itself, and its clients with faults of their own.
 *
 * @packageDocumentation
 */
import {
    MemoryTableService,
    PlatformError,
    PlatformErrorKind,
    type CommitResult,
    type EraSource,
    type Row,
    type ScanOptions,
    type TableCopy,
    type TableService,
    type Transaction,
} from "@pimentocleat/services";
import { createRandom } from "@pimentocleat/policy";
import type { ManualClock } from "@pimentocleat/types";
import {
    HostTableService,
    type SimulatedHost,
} from "../../../../state/src/retrying/__tests__/simulatedHost.js";
import { SimulatedNetwork } from "../../../../state/src/retrying/__tests__/simulatedNetwork.js";
import { WireTableService } from "../../../../state/src/retrying/__tests__/wireTableService.js";

/** Interval at which the store is copied, in milliseconds. */
const copyIntervalMs = 500;
const oldestCopyMs = 30_000;
const ordinaryLateShare = 0.03;
const ordinaryLateMs = 1_500;

/** A step of the reporter, as its calls show it. */
export type ReportStep = "seal" | "sum";

export class DutyStore {
    readonly memory = new MemoryTableService();
    /** Indexes of the nodes that cannot reach the store. */
    readonly cutOff = new Set<number>();
    /** Indexes of the nodes that the store refuses to serve for want of room. */
    readonly busyFor = new Set<number>();
    /** Share of the answers that are lost. */
    lostAnswerShare = 0;
    /** Called when a node has sealed a window or scanned its rows, before the node learns so. */
    onStep: (step: ReportStep, index: number) => void = () => undefined;
    private readonly traits;
    private readonly network: SimulatedNetwork;
    private readonly random: () => number;
    private copies: { readonly atMs: number; readonly copy: TableCopy }[] = [];
    private absences = 0;
    private era = 0;
    private clockStartMs = 0;

    constructor(
        private readonly clock: ManualClock,
        seed: number,
    ) {
        this.traits = {
            seed,
            lossShare: 0,
            maximumDelayMs: 0,
            lateShare: ordinaryLateShare,
            maximumLateMs: ordinaryLateMs,
        };
        this.network = new SimulatedNetwork(clock, this.traits);
        this.random = createRandom(seed + 1);
        this.startEra();
    }

    /** Lets a share of the requests and answers be late by up to a time; the ordinary ones when absent. */
    setLateness(lateShare = ordinaryLateShare, maximumLateMs = ordinaryLateMs): void {
        Object.assign(this.traits, { lateShare, maximumLateMs });
    }

    createClient(index: number, host: SimulatedHost): HostTableService {
        const isReachable = (): boolean => this.absences === 0 && !this.cutOff.has(index);
        const wire = new WireTableService(
            this.memory,
            this.network,
            () => this.era,
            isReachable,
            () => this.clock.monotonicMs() - this.clockStartMs,
        );
        const client = new FaultyClient(wire, {
            checkRequest: () => this.checkRequest(index),
            checkAnswer: (step) => {
                if (step !== undefined) {
                    this.onStep(step, index);
                }
                this.checkAnswer();
            },
        });
        return new HostTableService(client, host, client, wire);
    }

    /**
     * Lets the store go away now and come back from a copy.
     *
     * @param ageMs - Age of the copy when the store goes away, in milliseconds.
     * @param awayMs - Time for which the store is away, in milliseconds.
     * @param restartsClock - Whether the steady clock of the store starts anew.
     */
    returnFromCopy(ageMs: number, awayMs: number, restartsClock: boolean): void {
        const copyMs = this.clock.monotonicMs() - ageMs;
        this.absences += 1;
        void this.clock.wait(awayMs).then(() => {
            this.absences -= 1;
            this.copies = this.copies.filter(({ atMs }) => atMs <= copyMs);
            this.startEra(this.copies.at(-1)?.copy ?? { tables: new Map(), lastCounter: 0 });
            this.clockStartMs = restartsClock ? this.clock.monotonicMs() : this.clockStartMs;
        });
    }

    keepCopy(): void {
        const atMs = this.clock.monotonicMs();
        if (this.absences === 0 && atMs % copyIntervalMs === 0) {
            this.copies = this.copies.filter((kept) => kept.atMs > atMs - oldestCopyMs);
            this.copies.push({ atMs, copy: this.memory.copyTables() });
        }
    }

    private startEra(copy?: TableCopy): void {
        this.era += 1;
        this.memory.startEra(copy);
    }

    private checkRequest(index: number): void {
        if (this.busyFor.has(index)) {
            throw new PlatformError(PlatformErrorKind.RateLimited, "table service: busy");
        }
    }

    private checkAnswer(): void {
        if (this.random() < this.lostAnswerShare) {
            throw new PlatformError(PlatformErrorKind.Ambiguous, "table service: answer lost");
        }
    }
}

interface ClientChecks {
    /** Throws if the store refuses the request. */
    readonly checkRequest: () => void;
    /** Throws if the answer is lost. */
    readonly checkAnswer: (step?: ReportStep) => void;
}

class FaultyClient implements TableService, EraSource {
    constructor(
        private readonly wire: WireTableService,
        private readonly checks: ClientChecks,
    ) {}

    getEra(): number {
        return this.wire.getEra();
    }

    readRow(table: string, key: string): Promise<Row | undefined> {
        return this.runCall(() => this.wire.readRow(table, key));
    }

    scanRows(table: string, options?: ScanOptions): Promise<readonly Row[]> {
        const isSum = table === "usage" && options?.prefix !== undefined;
        return this.runCall(() => this.wire.scanRows(table, options), isSum ? "sum" : undefined);
    }

    commitTransaction(transaction: Transaction): Promise<CommitResult> {
        const isSeal = transaction.writes.some(
            ({ table, value }) => table === "usageSeals" && value !== undefined,
        );
        return this.runCall(() => this.wire.commitTransaction(transaction), isSeal ? "seal" : undefined);
    }

    private async runCall<Result>(call: () => Promise<Result>, step?: ReportStep): Promise<Result> {
        this.checks.checkRequest();
        const result = await call();
        this.checks.checkAnswer(step);
        return result;
    }
}
