/**
 * Conversion between the membership values of the policy package and the messages of the peer interface.
 *
 * @packageDocumentation
 */
import { create } from "@bufbuild/protobuf";
import {
    MembershipState,
    type MemberIdentity,
    type MemberStatement,
    type NodeRecord,
} from "@pimentocleat/policy";
import {
    MemberState,
    MemberUpdateSchema,
    NodeIdentitySchema,
    SoftRecordSchema,
    type MemberUpdate,
    type NodeIdentity,
    type SoftRecord,
} from "@pimentocleat/schema";

const statesByMessage: Readonly<Record<MemberState, MembershipState | undefined>> = {
    [MemberState.UNSPECIFIED]: undefined,
    [MemberState.ALIVE]: MembershipState.Alive,
    [MemberState.SUSPECT]: MembershipState.Suspect,
    [MemberState.LEAVING]: MembershipState.Leaving,
    [MemberState.GONE]: MembershipState.Gone,
};

const messagesByState: Readonly<Record<MembershipState, MemberState>> = {
    [MembershipState.Alive]: MemberState.ALIVE,
    [MembershipState.Suspect]: MemberState.SUSPECT,
    [MembershipState.Leaving]: MemberState.LEAVING,
    [MembershipState.Gone]: MemberState.GONE,
};

/**
 * Encodes an identity.
 *
 * @param identity - The identity.
 * @returns The message.
 */
export function encodeIdentity(identity: MemberIdentity): NodeIdentity {
    return create(NodeIdentitySchema, {
        name: identity.name,
        incarnation: BigInt(identity.incarnation),
        dataCentre: identity.dataCentre,
        peerAddress: identity.peerAddress,
    });
}

/**
 * Decodes an identity.
 *
 * @param message - The message.
 * @returns The identity, or undefined when it is incomplete.
 */
export function decodeIdentity(message: NodeIdentity | undefined): MemberIdentity | undefined {
    if (message === undefined || message.name === "" || message.peerAddress === "") {
        return undefined;
    }
    return {
        name: message.name,
        incarnation: Number(message.incarnation),
        dataCentre: message.dataCentre,
        peerAddress: message.peerAddress,
    };
}

/**
 * Encodes statements about members.
 *
 * @param statements - The statements.
 * @returns The messages.
 */
export function encodeStatements(statements: readonly MemberStatement[]): MemberUpdate[] {
    return statements.map((statement) =>
        create(MemberUpdateSchema, {
            node: encodeIdentity(statement),
            refutation: statement.refutation,
            state: messagesByState[statement.state],
        }),
    );
}

/**
 * Decodes statements about members; drops incomplete ones.
 *
 * @param messages - The messages.
 * @returns The statements.
 */
export function decodeStatements(messages: readonly MemberUpdate[]): MemberStatement[] {
    return messages.flatMap((message) => {
        const identity = decodeIdentity(message.node);
        const state = statesByMessage[message.state];
        return identity === undefined || state === undefined
            ? []
            : [{ ...identity, refutation: message.refutation, state }];
    });
}

/**
 * Encodes records.
 *
 * @param records - The records.
 * @returns The messages.
 */
export function encodeRecords(records: readonly NodeRecord[]): SoftRecord[] {
    return records.map((record) =>
        create(SoftRecordSchema, {
            ...record,
            incarnation: BigInt(record.incarnation),
            version: BigInt(record.version),
        }),
    );
}

/**
 * Decodes records.
 *
 * @param messages - The messages.
 * @returns The records.
 */
export function decodeRecords(messages: readonly SoftRecord[]): NodeRecord[] {
    return messages.map((message) => ({
        owner: message.owner,
        incarnation: Number(message.incarnation),
        key: message.key,
        version: Number(message.version),
        payload: message.payload,
    }));
}
