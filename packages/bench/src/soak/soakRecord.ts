/**
 * What a soak saw, and the promises that it checks.
 *
 * @packageDocumentation
 */
import {
    usersStreamEventCount,
    type DutyCall,
    type ReceivedAnswer,
    type ServerBehaviour,
} from "@pimentocleat/standins";

/** One call of a caller. */
export interface SoakCall {
    readonly kind: "safe" | "unsafe" | "stream";
    /** Undefined when the node could not be reached or the connection broke before an answer. */
    readonly answer: ReceivedAnswer | undefined;
}

/** A request as a backend server got it. */
export interface SoakBackendRequest {
    readonly requestId: string;
    readonly behaviour: ServerBehaviour["type"];
}

/** What a soak saw. */
export interface SoakRecord {
    readonly calls: readonly SoakCall[];
    readonly backendRequests: readonly SoakBackendRequest[];
    readonly duties: readonly DutyCall[];
    /** Nodes that ended by themselves. */
    readonly exitedNodes: readonly string[];
    /** Nodes that did not serve after the last fault. */
    readonly unavailableNodes: readonly string[];
}

/** Statuses of a node's own answers that promise that nothing ran. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const notExecutedBehaviours: ReadonlySet<string> = new Set(["notRun", "otherServer"]);

/**
 * Finds broken promises.
 *
 * @param record - What was seen.
 * @returns One line for each; empty when all held.
 */
export function findGuaranteeViolations(record: SoakRecord): readonly string[] {
    const runs = countRuns(record.backendRequests);
    return [
        ...record.calls.flatMap((call) => findAnswerViolations(call, runs)),
        ...findUsageViolations(record.duties),
        ...record.exitedNodes.map((node) => `${node} ended by itself`),
        ...record.unavailableNodes.map((node) => `${node} did not serve after the last fault`),
    ];
}

function countRuns(runs: readonly SoakBackendRequest[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { requestId, behaviour } of runs) {
        if (!notExecutedBehaviours.has(behaviour)) {
            counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
        }
    }
    return counts;
}

function findAnswerViolations(
    { kind, answer }: SoakCall,
    runs: ReadonlyMap<string, number>,
): readonly string[] {
    if (answer === undefined) {
        return [];
    }
    const { requestId, status, isBroken, isOwn, isSigned, body } = answer;
    const count = runs.get(requestId) ?? 0;
    const broken: string[] = [];
    if (kind === "unsafe" && count > 1) {
        broken.push(`${requestId} may run once and ran ${String(count)} times`);
    }
    if (!isSigned && notExecutedStatuses.has(status) && count > 0) {
        broken.push(`${requestId} ran, and its caller got ${String(status)}, which says that it did not`);
    }
    if (status === 200 && !isBroken && (!isOwn || !isSigned || !isComplete(kind, body))) {
        broken.push(
            `${requestId} got an answer that looks whole and is not its own: ${JSON.stringify(body)}`,
        );
    }
    return broken;
}

function isComplete(kind: SoakCall["kind"], body: string): boolean {
    const events = body.split("\n\n").filter((event) => event !== "").length;
    return kind === "stream" ? events === usersStreamEventCount : body.startsWith("whole answer of ");
}

function findUsageViolations(duties: readonly DutyCall[]): readonly string[] {
    const broken: string[] = [];
    const figures = new Map<unknown, string>();
    const holders = new Map<number, string>();
    let highestFence = 0;
    for (const { path, holder, fence, body } of duties.filter((call) => call.path === "/usage")) {
        const figure = JSON.stringify(body);
        const window = body["Window"];
        if ((figures.get(window) ?? figure) !== figure) {
            broken.push(`window ${String(window)} was reported with two figures`);
        }
        figures.set(window, figure);
        if ((holders.get(fence) ?? holder) !== holder) {
            broken.push(`${path}: fence ${String(fence)} was used by two nodes`);
        }
        holders.set(fence, holder);
        if (fence < highestFence) {
            broken.push(`${path}: fence ${String(fence)} came after ${String(highestFence)}`);
        }
        highestFence = Math.max(highestFence, fence);
    }
    return broken;
}
