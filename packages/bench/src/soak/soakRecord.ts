/**
 * Record of a soak and the guarantees that it checks.
 *
 * @packageDocumentation
 */
import {
    usersStreamEventCount,
    type DutyCall,
    type ReceivedAnswer,
    type ServerBehaviour,
} from "@pimentocleat/standins";

/** Request of a caller and its response. */
export interface SoakCall {
    readonly kind: "safe" | "unsafe" | "stream";
    /** Undefined when the node was unreachable or the connection failed before the response. */
    readonly answer: ReceivedAnswer | undefined;
}

/** Request that a backend server received, and how the server was set to behave. */
export interface SoakBackendRequest {
    readonly requestId: string;
    readonly behaviour: ServerBehaviour["type"];
}

/** Everything that a soak recorded. */
export interface SoakRecord {
    readonly calls: readonly SoakCall[];
    readonly backendRequests: readonly SoakBackendRequest[];
    readonly duties: readonly DutyCall[];
    /** Names of the nodes whose process exited although no fault stopped it. */
    readonly exitedNodes: readonly string[];
    /** Names of the nodes that did not serve requests again after the last fault. */
    readonly unavailableNodes: readonly string[];
}

/** Statuses of a node's own responses that guarantee that no backend server ran the request. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const notExecutedBehaviours: ReadonlySet<string> = new Set(["notRun", "otherServer"]);

/**
 * Finds violated guarantees.
 *
 * @param record - Record of the soak.
 * @returns One line for each violation; empty when every guarantee held.
 */
export function findGuaranteeViolations(record: SoakRecord): readonly string[] {
    const executions = countExecutions(record.backendRequests);
    return [
        ...record.calls.flatMap((call) => findAnswerViolations(call, executions)),
        ...findUsageViolations(record.duties),
        ...record.exitedNodes.map((node) => `${node} exited unexpectedly`),
        ...record.unavailableNodes.map((node) => `${node} did not serve requests after the last fault`),
    ];
}

function countExecutions(requests: readonly SoakBackendRequest[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { requestId, behaviour } of requests) {
        if (!notExecutedBehaviours.has(behaviour)) {
            counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
        }
    }
    return counts;
}

function findAnswerViolations(
    { kind, answer }: SoakCall,
    executions: ReadonlyMap<string, number>,
): readonly string[] {
    if (answer === undefined) {
        return [];
    }
    const { requestId, status, isBroken, isOwn, isSigned, body } = answer;
    const count = executions.get(requestId) ?? 0;
    const violations: string[] = [];
    if (kind === "unsafe" && count > 1) {
        violations.push(`${requestId} must run at most once, but ran ${String(count)} times`);
    }
    if (!isSigned && notExecutedStatuses.has(status) && count > 0) {
        violations.push(
            `${requestId} ran, but its caller received status ${String(status)}, which states that it did not`,
        );
    }
    if (status === 200 && !isBroken && (!isOwn || !isSigned || !isComplete(kind, body))) {
        violations.push(
            `${requestId} received a seemingly complete response that is truncated, unsigned or not its own: ${JSON.stringify(body)}`,
        );
    }
    return violations;
}

function isComplete(kind: SoakCall["kind"], body: string): boolean {
    const events = body.split("\n\n").filter((event) => event !== "").length;
    return kind === "stream" ? events === usersStreamEventCount : body.startsWith("whole answer of ");
}

function findUsageViolations(duties: readonly DutyCall[]): readonly string[] {
    const violations: string[] = [];
    const countsByWindow = new Map<unknown, string>();
    const holders = new Map<number, string>();
    let highestFencingNumber = 0;
    for (const { path, holder, fence, body } of duties.filter((call) => call.path === "/usage")) {
        const counts = JSON.stringify(body);
        const window = body["Window"];
        if ((countsByWindow.get(window) ?? counts) !== counts) {
            violations.push(`usage window ${String(window)} was reported twice with different counts`);
        }
        countsByWindow.set(window, counts);
        if ((holders.get(fence) ?? holder) !== holder) {
            violations.push(`${path}: fencing number ${String(fence)} was used by two nodes`);
        }
        holders.set(fence, holder);
        if (fence < highestFencingNumber) {
            violations.push(
                `${path}: fencing number ${String(fence)} arrived after ${String(highestFencingNumber)}`,
            );
        }
        highestFencingNumber = Math.max(highestFencingNumber, fence);
    }
    return violations;
}
