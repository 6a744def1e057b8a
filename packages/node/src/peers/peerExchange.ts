/**
 * The messages of an exchange, in which two nodes swap membership statements, records and the revision of their
 * configuration. Probes are exchanges.
 *
 * @packageDocumentation
 */
import type { MemberIdentity, MemberTable, RecordTable } from "@pimentocleat/policy";
import type { ExchangeRequest, ExchangeResponse, SoftRecord } from "@pimentocleat/schema";
import type { Clock } from "@pimentocleat/types";
import type { PeerHandlers } from "./peerHandlers.js";
import {
    decodeIdentity,
    decodeRecords,
    decodeStatements,
    encodeIdentity,
    encodeRecords,
    encodeStatements,
} from "./peerMessages.js";

/** Fields that the request and the response of an exchange share. */
export type ExchangeFields = Omit<ExchangeResponse, "$typeName" | "$unknown">;

/** Options of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
    readonly members: MemberTable;
    readonly records: RecordTable;
    readonly handlers: PeerHandlers;
    readonly clock: Clock;
}

/** Builds and merges the messages of exchanges. */
export class PeerExchange {
    private exchangeCount = 0;
    private lastContactMs: number | undefined;

    /** @param options - Membership, records, handlers and clock. */
    constructor(private readonly options: PeerExchangeOptions) {}

    /** @returns Exchanges merged so far. */
    countExchanges(): number {
        return this.exchangeCount;
    }

    /** @returns Monotonic time of the last merged exchange, in milliseconds. */
    readLastContactMs(): number | undefined {
        return this.lastContactMs;
    }

    /**
     * Builds the message to a peer.
     *
     * @param receiver - Name of the peer, if known.
     * @returns The message's fields.
     */
    buildExchangeFields(receiver: string | undefined): ExchangeFields {
        const { members, records, handlers } = this.options;
        const statements = members.takeUpdates(receiver);
        return {
            sender: encodeIdentity(members.readSelf()),
            configurationRevision: BigInt(handlers.readConfiguration()?.revision ?? 0),
            members: encodeStatements(statements),
            records: encodeRecords(records.takeRecords(members.listPresent().length + 1)),
        };
    }

    /**
     * Merges records that a peer sent in a datagram.
     *
     * @param records - The records.
     */
    mergeRecords(records: readonly SoftRecord[]): void {
        this.options.records.mergeRecords(decodeRecords(records));
    }

    /**
     * Merges the message of a peer.
     *
     * @param message - The message.
     * @returns The sender, or undefined when the message names none.
     */
    mergeMessage(message: ExchangeRequest | ExchangeResponse): MemberIdentity | undefined {
        const sender = decodeIdentity(message.sender);
        if (sender === undefined) {
            return undefined;
        }
        const { members, records, handlers, clock } = this.options;
        this.exchangeCount += 1;
        this.lastContactMs = clock.monotonicMs();
        members.recordContact(sender);
        members.mergeStatements(decodeStatements(message.members));
        records.mergeRecords(decodeRecords(message.records));
        const revision = Number(message.configurationRevision);
        if (revision > (handlers.readConfiguration()?.revision ?? 0)) {
            handlers.handleHigherRevision(revision);
        }
        return sender;
    }
}
