/**
 * The implementation of the operator interface.
 *
 * @packageDocumentation
 */
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { ApplyOutcome, type OperatorService } from "@pimentocleat/schema";
import type { ApplyResult, FileChange } from "@pimentocleat/state";
import type { Logger } from "@pimentocleat/telemetry";
import { ZodError } from "zod";
import { createKey } from "./keyCreation.js";
import type { OperatorBackend } from "./operatorBackend.js";
import {
    decodeFileChange,
    encodeApplyResult,
    encodeKey,
    encodeNodeStatus,
    encodePool,
    encodeTrace,
    encodeWithdrawResult,
} from "./operatorMessages.js";

const fileNamePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.ya?ml$/;

/** Options of {@link buildOperatorService}. */
export interface OperatorServiceOptions {
    readonly backend: OperatorBackend;
    readonly logger: Logger;
}

function checkFileNames(changes: readonly FileChange[]): void {
    for (const change of changes) {
        if (!fileNamePattern.test(change.name)) {
            throw new ConnectError(
                `file name ${JSON.stringify(change.name)} is not allowed; use letters, digits, dots, dashes and underscores, ending in .yaml`,
                Code.InvalidArgument,
            );
        }
    }
}

/**
 * Builds the implementation of the operator interface.
 *
 * @param options - The node to read and control, and the logger.
 * @returns The implementation.
 */
export function buildOperatorService(options: OperatorServiceOptions): ServiceImpl<typeof OperatorService> {
    const { backend, logger } = options;

    async function applyChanges(
        call: string,
        author: string,
        changes: readonly FileChange[],
    ): Promise<ApplyResult> {
        checkFileNames(changes);
        const result = await backend.configurationStore.applyChanges({ author, changes });
        const files = changes.map((change) => change.name).join(" ");
        logger.writeEvent("operatorCall", { call, author, files, result: result.type });
        if (result.type === "applied") {
            await backend.pollStore();
        }
        return result;
    }

    return {
        applyConfiguration: async (request) => {
            const changes = request.changes.map(decodeFileChange);
            return encodeApplyResult(await applyChanges("applyConfiguration", request.author, changes));
        },
        getConfiguration: async () => {
            const snapshot = await readSnapshot(backend);
            return {
                revision: BigInt(snapshot.revision),
                files: snapshot.files.map((file) => ({ ...file })),
            };
        },
        getStatus: () => ({
            node: encodeNodeStatus(backend.readStatus()),
            requestsInFlight: backend.countRequests(),
            unrecordedWithdrawals: backend.countUnrecordedWithdrawals(),
        }),
        createKey: async (request) => {
            if (backend.isWithdrawn(request.keyId)) {
                throw new ConnectError(
                    `the key ${request.keyId} was withdrawn, for ever; use another identifier`,
                    Code.InvalidArgument,
                );
            }
            const created = createValidKey(request);
            const result = await applyChanges("createKey", request.author, [created.change]);
            const encoded = encodeApplyResult(result);
            const isCreated = encoded.outcome === ApplyOutcome.APPLIED;
            return { result: encoded, secret: isCreated ? created.secret : "" };
        },
        listKeys: () => ({ keys: backend.listKeys().map(encodeKey) }),
        withdrawKey: async (request) => {
            const { keyId, author } = request;
            const result = await backend.withdrawKey(keyId, author);
            logger.writeEvent("operatorCall", { call: "withdrawKey", author, keyId, result: result.type });
            return encodeWithdrawResult(result);
        },
        listNodes: () => ({ nodes: backend.listNodes().map(encodeNodeStatus) }),
        listPools: () => ({ pools: backend.listPools().map(encodePool) }),
        explainRequest: (request) => encodeTrace(backend.findTrace(request.requestId)),
    };
}

/** Creates a key; refuses an invalid identifier or name with a `ConnectError` that lists the problems. */
function createValidKey(request: Parameters<typeof createKey>[0]): ReturnType<typeof createKey> {
    try {
        return createKey(request);
    } catch (error) {
        if (error instanceof ZodError) {
            const problems = error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
            throw new ConnectError(problems.join("; "), Code.InvalidArgument);
        }
        throw error;
    }
}

async function readSnapshot(backend: OperatorBackend) {
    try {
        return await backend.configurationStore.readSnapshot();
    } catch (error) {
        throw new ConnectError(`the configuration cannot be read: ${String(error)}`, Code.Unavailable);
    }
}
