/**
 * Finds the parts that explain the loss of servers: as few parts as possible, those first that were never answered and
 * that most losses have in common. A loss that one of them explains says nothing about the other parts of the prompt.
 *
 * @packageDocumentation
 */
import { countMoments, isSameCrash, listOpenCrashes, type Crash, type CrashRecord } from "./crashRecord.js";

/** A part that is taken for the cause of losses. */
export interface HarmfulPart {
    /** Number of losses beyond those that were needed as evidence. */
    readonly furtherCrashes: number;
    /** Time of the last loss, in milliseconds. */
    readonly lastCrashMs: number;
}

/** Losses after which a part is taken for harmful to which no prompt was ever answered. */
const crashesOfUnknownPart = 2;
/** The same for a part to which prompts were answered before: it is shared by sound prompts. */
const crashesOfKnownPart = 4;
/** Time since the last answer after which a part that was answered before may be taken for harmful, in milliseconds. */
const unansweredMs = 2_500;

/**
 * Selects the harmful parts.
 *
 * @param records - The evidence.
 * @param nowMs - The monotonic time, in milliseconds.
 * @returns The harmful parts by their identifiers.
 */
export function selectHarmfulParts(
    records: readonly CrashRecord[],
    nowMs: number,
): ReadonlyMap<string, HarmfulPart> {
    const candidates = records
        .map((record) => {
            const crashes = listOpenCrashes(record);
            return { record, crashes, moments: countMoments(crashes) };
        })
        .sort(
            (left, right) =>
                Number(isAnswered(left.record)) - Number(isAnswered(right.record)) ||
                right.moments - left.moments ||
                right.record.depth - left.record.depth ||
                left.record.part.localeCompare(right.record.part),
        );
    const explained: Crash[] = [];
    const harmful = new Map<string, HarmfulPart>();
    for (const { record, crashes } of candidates) {
        const open = crashes.filter((crash) => !explained.some((other) => isSameCrash(other, crash)));
        const needed = isAnswered(record) ? crashesOfKnownPart : crashesOfUnknownPart;
        const further = countMoments(open) - needed;
        if (further >= 0 && nowMs - record.goodMs >= unansweredMs) {
            const lastCrashMs = Math.max(...open.map(({ atMs }) => atMs));
            harmful.set(record.part, { furtherCrashes: further, lastCrashMs });
            explained.push(...crashes);
        }
    }
    return harmful;
}

function isAnswered(record: CrashRecord): boolean {
    return record.goodMs > Number.NEGATIVE_INFINITY;
}
