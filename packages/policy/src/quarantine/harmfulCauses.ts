/**
 * Finds the causes that explain the loss of servers: as few as possible, those first whose requests were never answered
 * and that most losses have in common. A loss that one of them explains says nothing about the others.
 *
 * @packageDocumentation
 */
import {
    countMoments,
    isRequestCause,
    isSameCrash,
    listOpenCrashes,
    type Crash,
    type CrashRecord,
} from "./crashRecord.js";

/** What is taken for the cause of losses. */
export interface HarmfulCause {
    /** Number of losses beyond those that were needed as evidence. */
    readonly furtherCrashes: number;
    /** Time of the last loss, in milliseconds. */
    readonly lastCrashMs: number;
    /** Whether it is a request, and no other request explains the same losses as well. */
    readonly isCertainRequest: boolean;
}

interface Candidate {
    readonly record: CrashRecord;
    readonly crashes: readonly Crash[];
    readonly moments: number;
    readonly isRequest: boolean;
}

/** Losses after which a cause is taken for harmful whose requests were never answered. */
const crashesOfUnknownCause = 2;
/** The same for a cause whose requests were answered before: sound requests share it. */
const crashesOfKnownCause = 4;
/** Time since the last answer after which a cause that was answered before may be taken for harmful, in milliseconds. */
const unansweredMs = 2_500;

/**
 * Selects the harmful causes.
 *
 * @param records - The evidence.
 * @param nowMs - The monotonic time, in milliseconds.
 * @returns The harmful causes by their identifiers.
 */
export function selectHarmfulCauses(
    records: readonly CrashRecord[],
    nowMs: number,
): ReadonlyMap<string, HarmfulCause> {
    const candidates = records.flatMap(buildCandidate).sort(compareCandidates);
    const explaining: Candidate[] = [];
    const found: {
        readonly candidate: Candidate;
        readonly open: readonly Crash[];
        readonly further: number;
    }[] = [];
    for (const candidate of candidates) {
        const { record, crashes } = candidate;
        const others = explaining.filter((other) => isStronger(other, candidate));
        const open = crashes.filter(
            (crash) => !others.some((other) => other.crashes.some((known) => isSameCrash(known, crash))),
        );
        const needed = isAnswered(record) ? crashesOfKnownCause : crashesOfUnknownCause;
        const further = countMoments(open, candidate.isRequest) - needed;
        if (further >= 0 && nowMs - record.goodMs >= unansweredMs) {
            found.push({ candidate, open, further });
            explaining.push(candidate);
        }
    }
    return new Map(
        found.map(({ candidate, open, further }) => [
            candidate.record.cause,
            {
                furtherCrashes: further,
                lastCrashMs: Math.max(...open.map(({ atMs }) => atMs)),
                isCertainRequest: candidate.isRequest && !isAmbiguous(candidate, explaining),
            },
        ]),
    );
}

function isAmbiguous(candidate: Candidate, harmful: readonly Candidate[]): boolean {
    return harmful.some(
        (other) =>
            other !== candidate &&
            other.isRequest &&
            other.crashes.some((crash) => candidate.crashes.some((own) => isSameCrash(own, crash))),
    );
}

function buildCandidate(record: CrashRecord): readonly Candidate[] {
    if (record.crashes.length < crashesOfUnknownCause) {
        return [];
    }
    const crashes = listOpenCrashes(record);
    const isRequest = isRequestCause(record.cause);
    return [{ record, crashes, moments: countMoments(crashes, isRequest), isRequest }];
}

/** Orders the candidates; among equal ones a part explains more than a request, and parts far back in prompts come first. */
function compareCandidates(left: Candidate, right: Candidate): number {
    return (
        Number(isAnswered(left.record)) - Number(isAnswered(right.record)) ||
        right.moments - left.moments ||
        Number(left.isRequest) - Number(right.isRequest) ||
        right.record.depth - left.record.depth ||
        left.record.cause.localeCompare(right.record.cause)
    );
}

/** Two requests with as many losses are both held back: either may be the cause, and neither is a part of the other. */
function isStronger(chosen: Candidate, other: Candidate): boolean {
    return !(chosen.isRequest && other.isRequest) || chosen.moments > other.moments;
}

function isAnswered(record: CrashRecord): boolean {
    return record.goodMs > Number.NEGATIVE_INFINITY;
}
