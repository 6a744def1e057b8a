/**
 * The implementation of peers' calls.
 *
 * @packageDocumentation
 */
import { create } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import type { MemberIdentity } from "@pimentocleat/policy";
import {
    CopyUsageResponseSchema,
    ExchangeResponseSchema,
    PeerService,
    ProbeNodeResponseSchema,
    ReadConfigurationResponseSchema,
    SpreadWithdrawalsResponseSchema,
    type ExchangeRequest,
} from "@pimentocleat/schema";
import type { ExchangeFields } from "./peerExchange.js";
import type { PeerHandlers } from "./peerHandlers.js";

/** Options of {@link buildPeerService}. */
export interface PeerServiceOptions {
    readonly handlers: PeerHandlers;
    readonly mergeMessage: (message: ExchangeRequest) => MemberIdentity | undefined;
    readonly buildExchangeFields: (receiver: string | undefined) => ExchangeFields;
    /** Probes an address on behalf of another node. */
    readonly probeAddress: (address: string) => Promise<boolean>;
    /** Forwards new withdrawals without waiting. */
    readonly forwardWithdrawals: (withdrawals: readonly string[]) => void;
}

/**
 * Builds the implementation of the peers' calls.
 *
 * @param options - The handlers, and the functions that build and merge messages.
 * @returns The implementation.
 */
export function buildPeerService(options: PeerServiceOptions): ServiceImpl<typeof PeerService> {
    const { handlers } = options;
    return {
        exchange: (request) => {
            const sender = options.mergeMessage(request);
            return create(ExchangeResponseSchema, options.buildExchangeFields(sender?.name));
        },
        probeNode: async (request) => {
            const reached = await options.probeAddress(request.peerAddress);
            return create(ProbeNodeResponseSchema, { reached });
        },
        readConfiguration: (request) => {
            const current = handlers.readConfiguration();
            const isHigher = current !== undefined && current.revision > Number(request.aboveRevision);
            return create(ReadConfigurationResponseSchema, {
                revision: BigInt(current?.revision ?? 0),
                configuration: isHigher ? current.content : new Uint8Array(),
            });
        },
        spreadWithdrawals: (request) => {
            const added = handlers.addWithdrawals(request.keyIds);
            if (request.forward && added.length > 0) {
                options.forwardWithdrawals(added);
            }
            return create(SpreadWithdrawalsResponseSchema, { keyIds: [...handlers.listWithdrawals()] });
        },
        copyUsage: (request) => {
            handlers.storeUsageCopy({
                owner: request.owner,
                incarnation: Number(request.incarnation),
                windowStartMs: Number(request.windowStartMs),
                counters: request.counters,
            });
            return create(CopyUsageResponseSchema, {});
        },
    };
}
