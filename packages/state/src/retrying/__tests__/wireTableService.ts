/**
 * The client of one host to a table service in another process.
 *
 * @packageDocumentation
 */
import {
    buildVersion,
    PlatformError,
    PlatformErrorKind,
    readCounter,
    readEra,
    type CommitResult,
    type EraSource,
    type Row,
    type ScanOptions,
    type StoreClock,
    type TableService,
    type Transaction,
} from "@pimentocleat/services";
import type { SimulatedNetwork } from "./simulatedNetwork.js";

/**
 * Calls a table service as the client of the users' platform does: conditions travel without the era of their versions,
 * so that a request that is performed in a later era may find a version that was given out again.
 */
export class WireTableService implements TableService, EraSource, StoreClock {
    /** Highest era that an answer named. */
    private era = 0;
    private latestSteadyMs: number | undefined;

    constructor(
        private readonly tableService: TableService,
        private readonly network: SimulatedNetwork,
        private readonly readServiceEra: () => number,
        private readonly isReachable: () => boolean,
        private readonly readServiceMs: () => number,
    ) {}

    readSteadyMs(): number | undefined {
        return this.latestSteadyMs;
    }

    getEra(): number {
        return this.era;
    }

    readRow(table: string, key: string): Promise<Row | undefined> {
        return this.runCall(() => this.tableService.readRow(table, key));
    }

    scanRows(table: string, options?: ScanOptions): Promise<readonly Row[]> {
        return this.runCall(() => this.tableService.scanRows(table, options));
    }

    async commitTransaction({ conditions, writes }: Transaction): Promise<CommitResult> {
        const sentEra = this.era;
        const outdated = conditions.filter(({ version }) => version !== 0 && readEra(version) !== sentEra);
        if (outdated.length > 0) {
            return { outcome: "conflict", failed: outdated };
        }
        const result = await this.runCall(() => {
            const performedEra = this.readServiceEra();
            const performed = conditions.map((condition) => ({
                ...condition,
                version: buildVersion(performedEra, readCounter(condition.version)),
            }));
            return this.tableService.commitTransaction({ conditions: performed, writes });
        });
        if (result.outcome === "conflict") {
            const failed = new Set(result.failed.map(({ table, key }) => `${table} ${key}`));
            return {
                outcome: "conflict",
                failed: conditions.filter(({ table, key }) => failed.has(`${table} ${key}`)),
            };
        }
        if (this.era !== sentEra && conditions.some(({ version }) => version !== 0)) {
            throw buildUnknownOutcome("conditions were checked in another era");
        }
        return result;
    }

    private async runCall<Result>(call: () => Promise<Result>): Promise<Result> {
        await this.network.waitInTransit();
        this.checkReachable(PlatformErrorKind.Unavailable);
        const result = await call();
        const answerEra = this.readServiceEra();
        const answerMs = this.readServiceMs();
        await this.network.waitInTransit();
        this.checkReachable(PlatformErrorKind.Ambiguous);
        if (answerEra < this.era) {
            throw buildUnknownOutcome("answer of an earlier era");
        }
        this.latestSteadyMs = answerEra > this.era ? answerMs : Math.max(this.latestSteadyMs ?? 0, answerMs);
        this.era = answerEra;
        return result;
    }

    private checkReachable(kind: PlatformErrorKind): void {
        if (!this.isReachable()) {
            throw new PlatformError(kind, "table service: not reachable");
        }
    }
}

function buildUnknownOutcome(message: string): PlatformError {
    return new PlatformError(PlatformErrorKind.Ambiguous, `table service: ${message}`);
}
