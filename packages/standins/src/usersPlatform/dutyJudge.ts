/**
 * Judges the calls of duty holders by the users' rule that a duty has one holder at a time.
 *
 * @packageDocumentation
 */

/** A call that a node made as holder of a duty. */
export interface DutyCall {
    readonly path: string;
    /** Node that holds the duty. */
    readonly holder: string;
    /** Fencing number of the call. */
    readonly fence: number;
    readonly body: Record<string, unknown>;
}

/** A call as the platform got it. */
export interface ReceivedDutyCall extends DutyCall {
    /** Monotonic time at which it arrived, in milliseconds. */
    readonly atMs: number;
    /** Era of the store at that time. */
    readonly era: number;
    /** Whether the platform performed it; a refused call only shows that its holder acted. */
    readonly isAccepted: boolean;
}

/** A breach of the rule, with the calls that show it in the order of arrival. */
export type DutyViolation = { readonly text: string; readonly subject: string } & (
    | {
          /** Two accepted reports of one window with other counts. */
          readonly type: "differentCounts";
          readonly window: number;
          readonly calls: readonly [ReceivedDutyCall, ReceivedDutyCall];
      }
    | {
          /** The same fencing number of two holders. */
          readonly type: "sharedFence";
          readonly fence: number;
          readonly calls: readonly [ReceivedDutyCall, ReceivedDutyCall];
      }
    | {
          /** A fencing number below the highest one before. */
          readonly type: "lowerFence";
          readonly calls: readonly [ReceivedDutyCall, ReceivedDutyCall];
      }
    | {
          /** A holder that acts again after another one, too soon after its own earlier call. */
          readonly type: "returnedHolder";
          /** Time from the first call to the last, in milliseconds. */
          readonly spanMs: number;
          readonly calls: readonly [ReceivedDutyCall, ReceivedDutyCall, ReceivedDutyCall];
      }
);

/** Durations of the rule, in milliseconds. */
export interface DutyJudgeOptions {
    /** Time within which a duty must not return to an earlier holder (`LeaseMs`). */
    readonly leaseMs: number;
    /** Time after a thaw in which the calls of its node are excused (`ThawSlackMs`). */
    readonly thawSlackMs: number;
}

/** A time in which calls are excused, in monotonic milliseconds; both ends are part of it. */
export interface DutyExcuse {
    /** The excused holder; all of them when absent, as while the platform itself is in disturbance. */
    readonly holder?: string;
    readonly fromMs: number;
    readonly untilMs: number;
}

/** What is remembered of a subject. */
interface SubjectRecord {
    /** First call of each holder, by fencing number. */
    readonly fences: Map<number, Map<string, ReceivedDutyCall>>;
    highest: ReceivedDutyCall | undefined;
    /** Calls that count for the order of holders and lie within {@link DutyJudgeOptions.leaseMs}. */
    recent: ReceivedDutyCall[];
}

/**
 * Judges calls as they arrive, over all nodes and all eras of the store. Holders are told apart by their names, so the
 * nodes of a test need different ones.
 */
export class DutyJudge {
    private readonly violations: DutyViolation[] = [];
    private readonly excuses: DutyExcuse[] = [];
    private readonly subjects = new Map<string, SubjectRecord>();
    /** First accepted report of each window. */
    private readonly reports = new Map<number, ReceivedDutyCall>();

    /** @param options - Durations of the rule. */
    constructor(private readonly options: DutyJudgeOptions) {}

    /**
     * Excuses calls that arrive in a time: they may bear a lower fencing number and don't count for the order of
     * holders. Other counts for a window, and a fencing number of two holders, are never excused.
     *
     * @param excuse - The holder and the time; calls that were recorded before are not judged again.
     */
    addExcuse(excuse: DutyExcuse): void {
        this.excuses.push(excuse);
    }

    /**
     * Excuses a node that has just been thawed, or whose link has healed, for {@link DutyJudgeOptions.thawSlackMs}.
     *
     * @param holder - Name of the node.
     * @param atMs - Monotonic time of the thaw, in milliseconds.
     */
    recordThaw(holder: string, atMs: number): void {
        this.addExcuse({ holder, fromMs: atMs, untilMs: atMs + this.options.thawSlackMs });
    }

    /**
     * Judges a call.
     *
     * @param call - The call; calls are recorded in the order of arrival.
     */
    recordCall(call: ReceivedDutyCall): void {
        const subject = formatSubject(call);
        const record = this.subjects.get(subject) ?? { fences: new Map(), highest: undefined, recent: [] };
        this.subjects.set(subject, record);
        this.checkCounts(call, subject);
        this.checkFenceHolder(call, subject, record);
        const isExcused = this.isExcused(call);
        if (!isExcused) {
            this.checkFenceOrder(call, subject, record);
            this.checkHolderOrder(call, subject, record);
        }
        if (record.highest === undefined || call.fence > record.highest.fence) {
            record.highest = call;
        }
    }

    /** @returns All violations so far, in the order in which they were found. */
    listViolations(): readonly DutyViolation[] {
        return this.violations;
    }

    private isExcused({ holder, atMs }: ReceivedDutyCall): boolean {
        return this.excuses.some(
            (excuse) =>
                (excuse.holder === undefined || excuse.holder === holder) &&
                atMs >= excuse.fromMs &&
                atMs <= excuse.untilMs,
        );
    }

    private checkCounts(call: ReceivedDutyCall, subject: string): void {
        if (call.path !== reportPath || !call.isAccepted) {
            return;
        }
        const window = Number(call.body["Window"]);
        const first = this.reports.get(window);
        if (first === undefined) {
            this.reports.set(window, call);
        } else if (formatCounts(first) !== formatCounts(call)) {
            const calls = [first, call] as const;
            const text = `window ${String(window)} was reported with other counts: ${formatCalls(calls)}`;
            this.violations.push({ type: "differentCounts", subject, window, calls, text });
        }
    }

    private checkFenceHolder(call: ReceivedDutyCall, subject: string, { fences }: SubjectRecord): void {
        const { fence, holder } = call;
        const holders = fences.get(fence) ?? new Map<string, ReceivedDutyCall>();
        fences.set(fence, holders);
        if (holders.has(holder)) {
            return;
        }
        const [first] = holders.values();
        holders.set(holder, call);
        if (first !== undefined) {
            const calls = [first, call] as const;
            const text = `${subject}: fence ${String(fence)} of two holders: ${formatCalls(calls)}`;
            this.violations.push({ type: "sharedFence", subject, fence, calls, text });
        }
    }

    private checkFenceOrder(call: ReceivedDutyCall, subject: string, { highest }: SubjectRecord): void {
        if (highest !== undefined && call.fence < highest.fence) {
            const calls = [highest, call] as const;
            const text = `${subject}: a lower fence after a higher one: ${formatCalls(calls)}`;
            this.violations.push({ type: "lowerFence", subject, calls, text });
        }
    }

    private checkHolderOrder(call: ReceivedDutyCall, subject: string, record: SubjectRecord): void {
        record.recent = record.recent.filter(({ atMs }) => call.atMs - atMs <= this.options.leaseMs);
        const otherIndex = record.recent.findLastIndex(({ holder }) => holder !== call.holder);
        const other = record.recent[otherIndex];
        const first = record.recent
            .slice(0, Math.max(0, otherIndex))
            .findLast(({ holder }) => holder === call.holder);
        record.recent.push(call);
        // One violation for each return: the next calls of the same holder show nothing new.
        const isReturn = record.recent.at(-2) === other;
        if (first !== undefined && other !== undefined && isReturn) {
            const calls = [first, other, call] as const;
            const spanMs = call.atMs - first.atMs;
            const text = `${subject}: a holder came back after ${spanMs.toFixed(0)} ms: ${formatCalls(calls)}`;
            this.violations.push({ type: "returnedHolder", subject, spanMs, calls, text });
        }
    }
}

/** Path of usage reports. */
export const reportPath = "/usage";

/** All windows form one subject of reports; a service and a zone form one of orders. */
function formatSubject({ path, body }: DutyCall): string {
    return path === reportPath ? path : `${path} ${String(body["Service"])}/${String(body["Zone"])}`;
}

function formatCounts({ body }: DutyCall): string {
    const counts = Object.entries((body["Counts"] ?? {}) as Record<string, unknown>);
    return JSON.stringify(counts.sort(([left], [right]) => (left < right ? -1 : 1)));
}

function formatCalls(calls: readonly ReceivedDutyCall[]): string {
    return calls
        .map(({ holder, fence, era, atMs, body }) => {
            const origin = `${holder}, fence ${String(fence)}, era ${String(era)}`;
            return `${origin}, at ${atMs.toFixed(0)} ms: ${JSON.stringify(body)}`;
        })
        .join("; ");
}
