/**
 * Judges what holders of the reporter's lease did, as the users' platform does.
 *
 * @packageDocumentation
 */
import type { UsageReport } from "@pimentocleat/services";
import { computeWindowStartMs } from "@pimentocleat/policy";
import { defaultDurations } from "./usageDurations.js";

/** A report as the platform received it. */
export interface ArrivedReport extends UsageReport {
    /** When it arrived, in monotonic milliseconds of the simulation; only the order counts when absent. */
    readonly arrivedMs?: number;
}

/** A moment at which a holder sent something or was entitled to. */
export interface HolderAct {
    readonly sender: string;
    readonly fencingNumber: number;
    /** Monotonic milliseconds of the simulation. */
    readonly atMs: number;
}

/** Durations by which holders are judged, in milliseconds. */
export interface HolderBounds {
    /** Time during which a duty must not return to an earlier machine. */
    readonly leaseMs: number;
    /** Maximum time between an act and its arrival. */
    readonly wireBoundMs: number;
}

interface HolderSpan {
    readonly fencingNumber: number;
    readonly senders: Set<string>;
    readonly firstMs: number;
    lastMs: number;
}

/**
 * Checks that lease holders act one after the other, each under a fencing number of its own, and that none returns
 * within the lease time after another. Returns the first violation, or undefined if there is none.
 */
export function findHolderViolation(acts: readonly HolderAct[], bounds: HolderBounds): string | undefined {
    const spans = listSpans(acts);
    if (spans.some(({ senders }) => senders.size > 1)) {
        return "one fencing number from two nodes";
    }
    for (const [index, span] of spans.entries()) {
        const earlier = spans.slice(0, index);
        if (earlier.some(({ lastMs }) => span.firstMs < lastMs + bounds.wireBoundMs)) {
            return "holders interleaved";
        }
        if (hasReturned(span, earlier, bounds.leaseMs)) {
            return "holder returned within the lease time";
        }
    }
    return undefined;
}

function listSpans(acts: readonly HolderAct[]): readonly HolderSpan[] {
    const spans = new Map<number, HolderSpan>();
    for (const { sender, fencingNumber, atMs } of acts) {
        const span = spans.get(fencingNumber) ?? {
            fencingNumber,
            senders: new Set(),
            firstMs: atMs,
            lastMs: atMs,
        };
        span.senders.add(sender);
        span.lastMs = Math.max(span.lastMs, atMs);
        spans.set(fencingNumber, span);
    }
    return [...spans.values()].sort((left, right) => left.fencingNumber - right.fencingNumber);
}

function hasReturned(span: HolderSpan, earlier: readonly HolderSpan[], leaseMs: number): boolean {
    const machine = readMachine(span);
    const last = earlier.findLastIndex((other) => readMachine(other) === machine);
    return last >= 0 && last < earlier.length - 1 && span.firstMs < earlier[last]!.lastMs + leaseMs;
}

/** Reads the machine of a holder; the name of a node is that of its machine and the number of its incarnation. */
function readMachine({ senders }: HolderSpan): string {
    const [sender = ""] = senders;
    return sender.slice(0, sender.lastIndexOf("-"));
}

/**
 * Checks that lease holders report one after the other and each window with one figure and a valid start. Returns the
 * first violation, or undefined if there is none.
 */
export function findReportViolation(
    reports: readonly ArrivedReport[],
    windowMs = defaultDurations.windowMs,
    leaseMs = 0,
): string | undefined {
    const figures = new Map<number, string>();
    let maximumFencingNumber = 0;
    for (const report of reports) {
        const text = JSON.stringify(report.customers);
        if (report.fencingNumber < maximumFencingNumber) {
            return "holders interleaved";
        }
        if ((figures.get(report.windowStartMs) ?? text) !== text) {
            return "two figures";
        }
        if (computeWindowStartMs(report.windowStartMs, windowMs) !== report.windowStartMs) {
            return "no window";
        }
        maximumFencingNumber = report.fencingNumber;
        figures.set(report.windowStartMs, text);
    }
    const acts = reports.map(({ arrivedMs, ...report }, index) => ({ ...report, atMs: arrivedMs ?? index }));
    return findHolderViolation(acts, { leaseMs, wireBoundMs: 0 });
}
