/**
 * Conversion between values of the node and messages of the operator interface.
 *
 * @packageDocumentation
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import {
    ApplyOutcome,
    WithdrawOutcome,
    type ApplyConfigurationResponseSchema,
    type ExplainRequestResponseSchema,
    type FileChangeMessage,
    type KeyMessageSchema,
    type NodeStatusMessageSchema,
    type PoolMessageSchema,
    type WithdrawKeyResponseSchema,
} from "@pimentocleat/schema";
import type { ApplyResult, FileChange, WithdrawResult } from "@pimentocleat/state";
import type { RequestTrace } from "../explain/traceBuffer.js";
import type { KeyReport, NodeStatus, PoolReport } from "./operatorBackend.js";

/**
 * Encodes the result of an apply.
 *
 * @param result - The result.
 * @returns The message.
 */
export function encodeApplyResult(
    result: ApplyResult,
): MessageInitShape<typeof ApplyConfigurationResponseSchema> {
    switch (result.type) {
        case "applied":
            return {
                outcome: ApplyOutcome.APPLIED,
                revision: BigInt(result.revision),
                changedFiles: [...result.changedFiles],
            };
        case "unchanged":
            return { outcome: ApplyOutcome.UNCHANGED, revision: BigInt(result.revision) };
        case "conflict":
            return {
                outcome: ApplyOutcome.CONFLICT,
                revision: BigInt(result.revision),
                conflicts: result.conflicts.map(({ name, revision, author }) => ({
                    name,
                    revision: BigInt(revision ?? 0),
                    author: author ?? "",
                })),
            };
        case "invalid":
            return {
                outcome: ApplyOutcome.INVALID,
                problems: result.problems.map((problem) => ({ ...problem })),
            };
        case "unavailable":
            return { outcome: ApplyOutcome.UNAVAILABLE };
        case "unknown":
            return { outcome: ApplyOutcome.UNKNOWN, revision: BigInt(result.revision) };
    }
}

/**
 * Decodes a file change.
 *
 * @param message - The message.
 * @returns The change.
 */
export function decodeFileChange(message: FileChangeMessage): FileChange {
    return {
        name: message.name,
        ...(message.content === undefined ? {} : { content: message.content }),
        ...(message.baseDigest === undefined ? {} : { baseDigest: message.baseDigest }),
    };
}

/**
 * Encodes the result of a withdrawal.
 *
 * @param result - The result.
 * @returns The message.
 */
export function encodeWithdrawResult(
    result: WithdrawResult,
): MessageInitShape<typeof WithdrawKeyResponseSchema> {
    switch (result.type) {
        case "accepted":
            return { outcome: WithdrawOutcome.ACCEPTED, recorded: result.recorded, peers: result.peers };
        case "alreadyWithdrawn":
            return { outcome: WithdrawOutcome.ALREADY_WITHDRAWN };
        case "unknownKey":
            return { outcome: WithdrawOutcome.UNKNOWN_KEY };
        case "localOnly":
            return { outcome: WithdrawOutcome.LOCAL_ONLY };
    }
}

/**
 * Encodes the state of a node.
 *
 * @param status - The state.
 * @returns The message.
 */
export function encodeNodeStatus(status: NodeStatus): MessageInitShape<typeof NodeStatusMessageSchema> {
    return { ...status, revision: BigInt(status.revision) };
}

/**
 * Encodes a key; the message leaves out its digest.
 *
 * @param report - The key.
 * @returns The message.
 */
export function encodeKey(report: KeyReport): MessageInitShape<typeof KeyMessageSchema> {
    return {
        keyId: report.key.id,
        customer: report.key.customer,
        defaultClass: report.key.defaultClass ?? "",
        withdrawn: report.isWithdrawn,
    };
}

/**
 * Encodes a pool.
 *
 * @param report - The pool and its state.
 * @returns The message.
 */
export function encodePool(report: PoolReport): MessageInitShape<typeof PoolMessageSchema> {
    const states = new Map((report.status?.servers ?? []).map((server) => [server.name, server]));
    return {
        name: report.pool.name,
        kind: report.pool.kind,
        waiting: report.status?.waiting ?? 0,
        running: report.status?.running ?? 0,
        servers: report.pool.servers.map((server) => ({
            name: server.name,
            address: server.address,
            dataCentre: server.dataCentre,
            state: states.get(server.name)?.state ?? "unknown",
            running: states.get(server.name)?.running ?? 0,
            slots: states.get(server.name)?.slots ?? server.slots,
        })),
    };
}

/**
 * Encodes a trace.
 *
 * @param trace - The trace, or undefined when the node has none.
 * @returns The message.
 */
export function encodeTrace(
    trace: RequestTrace | undefined,
): MessageInitShape<typeof ExplainRequestResponseSchema> {
    if (trace === undefined) {
        return { found: false };
    }
    return {
        found: true,
        requestId: trace.requestId,
        customer: trace.customer,
        requestClass: trace.requestClass,
        pool: trace.pool,
        arrivedWallMs: BigInt(Math.floor(trace.arrivedWallMs)),
        steps: trace.steps.map((step) => ({ ...step })),
    };
}
