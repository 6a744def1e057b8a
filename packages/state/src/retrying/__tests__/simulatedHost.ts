/**
 * A simulated host: its waits and its calls block while it is frozen, as under SIGSTOP.
 *
 * @packageDocumentation
 */
import {
    noEras,
    noStoreClock,
    PlatformError,
    PlatformErrorKind,
    type CommitResult,
    type EraSource,
    type StoreClock,
    type Row,
    type ScanOptions,
    type TableService,
    type Transaction,
} from "@pimentocleat/services";
import type { ManualClock, WaitingClock } from "@pimentocleat/types";

/** Runs the microtasks and immediates that are due. */
export async function flushTasks(rounds = 4): Promise<void> {
    for (let round = 0; round < rounds; round += 1) {
        await new Promise((resolve) => setImmediate(resolve));
    }
}

/** Advances the clock in small steps, so that tasks that wait again after they were resumed are also resumed. */
export async function advanceTime(clock: ManualClock, durationMs: number, stepMs = 50): Promise<void> {
    for (let movedMs = 0; movedMs < durationMs; movedMs += stepMs) {
        clock.advance(Math.min(stepMs, durationMs - movedMs));
        await flushTasks(1);
    }
    await flushTasks();
}

/** A host that can be frozen and thawed. A host that is never thawed has crashed. */
export class SimulatedHost implements WaitingClock {
    private frozen = false;
    private thawListeners: (() => void)[] = [];

    constructor(
        private readonly clock: ManualClock,
        /** Rate of the host's monotonic clock. */
        private readonly rate = 1,
        /** Difference of the host's wall clock from true time, in milliseconds. */
        private readonly wallOffsetMs = 0,
    ) {}

    freeze(): void {
        this.frozen = true;
    }

    thaw(): void {
        this.frozen = false;
        const listeners = this.thawListeners;
        this.thawListeners = [];
        listeners.forEach((listener) => listener());
    }

    get isFrozen(): boolean {
        return this.frozen;
    }

    /** Waits while the host is frozen. */
    async waitUntilThawed(): Promise<void> {
        while (this.frozen) {
            await new Promise<void>((resolve) => this.thawListeners.push(resolve));
        }
    }

    monotonicMs(): number {
        return this.clock.monotonicMs() * this.rate;
    }

    wallMs(): number {
        return this.clock.wallMs() + this.wallOffsetMs;
    }

    async wait(durationMs: number, signal?: AbortSignal): Promise<void> {
        await this.clock.wait(durationMs / this.rate, signal);
        await this.waitUntilThawed();
    }
}

/** The table service of one host, with a pause before and after each call at which the host may be frozen. */
export class HostTableService implements TableService, EraSource, StoreClock {
    private era = 0;
    private latestSteadyMs: number | undefined;
    /** Runs at each pause; a test can freeze the host here. */
    onPause: (point: "beforeCall" | "afterCall", call: "read" | "scan" | "commit") => void = () => {};

    constructor(
        private readonly tableService: TableService,
        private readonly host: SimulatedHost,
        private readonly storeEras: EraSource = noEras,
        private readonly storeClock: StoreClock = noStoreClock,
    ) {}

    readSteadyMs(): number | undefined {
        return this.latestSteadyMs;
    }

    getEra(): number {
        return this.era;
    }

    readRow(table: string, key: string): Promise<Row | undefined> {
        return this.runPaused("read", () => this.tableService.readRow(table, key));
    }

    scanRows(table: string, options?: ScanOptions): Promise<readonly Row[]> {
        return this.runPaused("scan", () => this.tableService.scanRows(table, options));
    }

    commitTransaction(transaction: Transaction): Promise<CommitResult> {
        return this.runPaused("commit", () => this.tableService.commitTransaction(transaction));
    }

    private async runPaused<Result>(
        name: "read" | "scan" | "commit",
        call: () => Promise<Result>,
    ): Promise<Result> {
        this.onPause("beforeCall", name);
        await this.host.waitUntilThawed();
        let era = this.era;
        let steadyMs = this.latestSteadyMs;
        try {
            const result = await call();
            era = this.storeEras.getEra();
            steadyMs = this.storeClock.readSteadyMs();
            return result;
        } finally {
            this.onPause("afterCall", name);
            await this.host.waitUntilThawed();
            this.recordEra(era);
            this.latestSteadyMs = steadyMs;
        }
    }

    private recordEra(era: number): void {
        if (era < this.era) {
            throw new PlatformError(PlatformErrorKind.Ambiguous, `answer of era ${era}, which has ended`);
        }
        this.era = era;
    }
}
