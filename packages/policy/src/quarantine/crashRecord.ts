/**
 * What is known of a possible cause of lost servers: a part of prompts, or a request, that had just begun on a server
 * when that server was lost.
 *
 * @packageDocumentation
 */

/** A loss of a server. */
export interface Crash {
    /** The server and its start. */
    readonly server: string;
    /** Monotonic time of the first report, in milliseconds. */
    readonly atMs: number;
    /** Monotonic time at which the request was sent to the server, in milliseconds; undefined when not known. */
    readonly sentMs?: number | undefined;
}

/** The evidence about one possible cause; times are monotonic, in milliseconds. */
export interface CrashRecord {
    /** Identifier of the part, or of the request by {@link buildRequestCause}. */
    readonly cause: string;
    /** Largest number of parts that preceded this one in a prompt; parts at the front are shared by more prompts. */
    depth: number;
    /** The last losses, in any order. */
    crashes: readonly Crash[];
    /** Time of the last complete answer to a request with this cause; minus infinity without one. */
    goodMs: number;
    /** Time of the last request that was sent to test the cause; minus infinity without one. */
    probeMs: number;
}

/** A {@link CrashRecord} as nodes tell it to each other: ages in place of times, since their clocks differ. */
export interface CrashReport {
    /** The cause; earlier releases know parts only, and have no prompts with the identifier of a request. */
    readonly part: string;
    readonly depth: number;
    /** Server and start, and age in milliseconds, of each loss. */
    readonly crashes: readonly (readonly [string, number])[];
    /** Time since the lost request was sent, in milliseconds, by server and start; absent in messages of earlier releases. */
    readonly sentAgesMs?: Readonly<Record<string, number>> | undefined;
    readonly goodAgeMs?: number | undefined;
    readonly probeAgeMs?: number | undefined;
}

/** Maximum number of losses kept for a cause; the last ones are kept. */
const maximumCrashes = 8;
/** Nodes notice one loss of a server at times that differ by less than this, in milliseconds. */
const sameCrashMs = 1_500;
/**
 * Losses of several servers within this time count as one, in milliseconds: they may have a common cause. The loss of the
 * same request that was sent again after the first one counts apart.
 */
const sameMomentMs = 60;

/** Begins the identifiers of requests; the identifiers of parts hold no such character. */
const requestPrefix = "#";

/**
 * Builds the identifier of a request as a cause.
 *
 * @param digest - Digest of the request.
 * @returns The identifier.
 */
export function buildRequestCause(digest: string): string {
    return `${requestPrefix}${digest}`;
}

/**
 * Checks whether a cause is a request, rather than a part of prompts.
 *
 * @param cause - Identifier of the cause.
 * @returns Whether it is a request.
 */
export function isRequestCause(cause: string): boolean {
    return cause.startsWith(requestPrefix);
}

/**
 * Creates an empty record.
 *
 * @param cause - Identifier of the cause.
 * @returns The record.
 */
export function createCrashRecord(cause: string): CrashRecord {
    return {
        cause,
        depth: 0,
        crashes: [],
        goodMs: Number.NEGATIVE_INFINITY,
        probeMs: Number.NEGATIVE_INFINITY,
    };
}

/**
 * Adds a loss to a record. Of two reports of one loss the earlier one holds.
 *
 * @param record - The record.
 * @param crash - The loss.
 * @returns Whether the record did not know the loss.
 */
export function addCrash(record: CrashRecord, crash: Crash): boolean {
    const known = record.crashes.find((other) => isSameCrash(other, crash));
    if (known !== undefined && known.atMs <= crash.atMs) {
        return false;
    }
    record.crashes = [...record.crashes.filter((other) => other !== known), crash]
        .sort((left, right) => left.atMs - right.atMs)
        .slice(-maximumCrashes);
    return known === undefined;
}

/**
 * Compares two reports of losses.
 *
 * @param left - A report.
 * @param right - Another report.
 * @returns Whether they are of the same loss.
 */
export function isSameCrash(left: Crash, right: Crash): boolean {
    return left.server === right.server && Math.abs(left.atMs - right.atMs) < sameCrashMs;
}

/**
 * Lists the losses since the last complete answer.
 *
 * @param record - The record.
 * @returns The losses.
 */
export function listOpenCrashes(record: CrashRecord): readonly Crash[] {
    return record.crashes.filter(({ atMs }) => atMs > record.goodMs);
}

/**
 * Counts the separate moments of losses.
 *
 * @param crashes - The losses, in any order.
 * @param isRequest - Whether they are of one request, so that one which was sent after another counts apart.
 * @returns The number of moments.
 */
export function countMoments(crashes: readonly Crash[], isRequest: boolean): number {
    let count = 0;
    let lastMs = Number.NEGATIVE_INFINITY;
    for (const { atMs, sentMs } of [...crashes].sort((left, right) => left.atMs - right.atMs)) {
        const isRepeated = isRequest && sentMs !== undefined && sentMs > lastMs;
        if (atMs - lastMs > sameMomentMs || isRepeated) {
            count += 1;
            lastMs = atMs;
        }
    }
    return count;
}

/**
 * Converts a record to the form in which nodes tell it to each other.
 *
 * @param record - The record.
 * @param nowMs - The monotonic time, in milliseconds.
 * @returns The report.
 */
export function buildCrashReport(record: CrashRecord, nowMs: number): CrashReport {
    const computeAgeMs = (atMs: number): number | undefined =>
        Number.isFinite(atMs) ? Math.round(nowMs - atMs) : undefined;
    return {
        part: record.cause,
        depth: record.depth,
        crashes: record.crashes.map(({ server, atMs }) => [server, Math.round(nowMs - atMs)] as const),
        sentAgesMs: Object.fromEntries(
            record.crashes.flatMap(({ server, sentMs }) =>
                sentMs === undefined ? [] : [[server, Math.round(nowMs - sentMs)]],
            ),
        ),
        goodAgeMs: computeAgeMs(record.goodMs),
        probeAgeMs: computeAgeMs(record.probeMs),
    };
}

/**
 * Merges what another node knows into a record.
 *
 * @param record - The record.
 * @param report - The other node's knowledge.
 * @param nowMs - The monotonic time, in milliseconds.
 */
export function mergeCrashReport(record: CrashRecord, report: CrashReport, nowMs: number): void {
    record.depth = Math.max(record.depth, report.depth);
    record.goodMs = Math.max(record.goodMs, nowMs - (report.goodAgeMs ?? Number.POSITIVE_INFINITY));
    record.probeMs = Math.max(record.probeMs, nowMs - (report.probeAgeMs ?? Number.POSITIVE_INFINITY));
    report.crashes.forEach(([server, ageMs]) => {
        const sentAgeMs = report.sentAgesMs?.[server];
        const sentMs = sentAgeMs === undefined ? undefined : nowMs - sentAgeMs;
        addCrash(record, { server, atMs: nowMs - ageMs, sentMs });
    });
}
