/**
 * Connects the peer network with configuration, keys, pools and the directory of nodes.
 *
 * @packageDocumentation
 */
import { Code, ConnectError } from "@connectrpc/connect";
import type {
    ConfigurationFollower,
    ConfigurationPeers,
    ConfigurationSnapshot,
    ConfiguredKeyRegistry,
    KeyWithdrawal,
    WithdrawalFollower,
    WithdrawalPeers,
} from "@pimentocleat/state";
import type { NodeDuties } from "../duties/nodeDuties.js";
import type { NodeHandle } from "../lifecycle/nodeOptions.js";
import type { PeerConfiguration, PeerHandlers, PeerUsageCopy } from "../peers/peerHandlers.js";
import type { PeerNetwork } from "../peers/peerNetwork.js";
import type { NodeDirectory } from "./nodeDirectory.js";
import {
    decodeSnapshot,
    decodeStatus,
    decodeLimitSummary,
    decodePoolSummary,
    decodeWithdrawal,
    encodeJson,
    encodeWithdrawal,
    limitsRecordKey,
    poolRecordKeyPrefix,
    statusRecordKey,
} from "./peerRecords.js";

/**
 * Number of peers that a running node asks while the store is unavailable. It is fixed, so that the cost does not
 * grow with the number of nodes.
 */
const sampledPeerCount = 3;

/** The components of a node that a {@link PeerBridge} connects with its peers. */
export interface PeerBridgeDependencies {
    readonly network: PeerNetwork;
    readonly configuration: ConfigurationFollower;
    readonly registry: ConfiguredKeyRegistry;
    readonly withdrawals: WithdrawalFollower;
    readonly directory: NodeDirectory;
    readonly requestPoll: () => void;
    /** Returns the request path; undefined while the node starts. */
    readonly readNode: () => NodeHandle | undefined;
    readonly storeUsageCopy: (copy: PeerUsageCopy) => void;
    /** Returns the node's duties; undefined while the node starts. */
    readonly readDuties: () => NodeDuties | undefined;
}

/** Calls peers for the components that follow the store, and handles the calls of peers. */
export class PeerBridge implements ConfigurationPeers, WithdrawalPeers, PeerHandlers {
    private dependencies: PeerBridgeDependencies | undefined;
    private encodedSnapshot:
        { readonly snapshot: ConfigurationSnapshot; readonly content: Uint8Array } | undefined;

    /**
     * Sets the components; until then no peer is called and records from peers are ignored.
     *
     * @param dependencies - The components of the node.
     */
    setDependencies(dependencies: PeerBridgeDependencies): void {
        this.dependencies = dependencies;
    }

    async readHighestSnapshot(above: number): Promise<ConfigurationSnapshot | undefined> {
        // A starting node asks all peers, since it must not start from an old revision.
        const found = await this.dependencies?.network.calls.readConfiguration(
            above,
            above === 0 ? undefined : sampledPeerCount,
        );
        return found && decodeSnapshot(found.content);
    }

    async spreadWithdrawals(withdrawals: readonly KeyWithdrawal[]): Promise<number> {
        const answer = await this.dependencies?.network.calls.spreadWithdrawals(
            withdrawals.map(encodeWithdrawal),
        );
        return answer?.peers ?? 0;
    }

    async readWithdrawals(): Promise<readonly KeyWithdrawal[] | undefined> {
        const answer = await this.dependencies?.network.calls.spreadWithdrawals([], sampledPeerCount);
        return answer === undefined || answer.peers === 0 ? undefined : decodeWithdrawals(answer.keyIds);
    }

    readConfiguration(): PeerConfiguration | undefined {
        const snapshot = this.dependencies?.configuration.readSnapshot();
        if (snapshot === undefined) {
            return undefined;
        }
        if (this.encodedSnapshot?.snapshot !== snapshot) {
            this.encodedSnapshot = { snapshot, content: encodeJson(snapshot) };
        }
        return { revision: snapshot.revision, content: this.encodedSnapshot.content };
    }

    handleHigherRevision(): void {
        this.dependencies?.requestPoll();
    }

    addWithdrawals(texts: readonly string[]): readonly string[] {
        const known = new Set(this.listKnownWithdrawals());
        const received = decodeWithdrawals(texts);
        this.dependencies?.withdrawals.receiveWithdrawals(received);
        return this.listKnownWithdrawals().filter((text) => !known.has(text));
    }

    listWithdrawals(): readonly string[] {
        if (this.dependencies?.withdrawals.hasLoaded() !== true) {
            // A peer must not mistake an incomplete list for the list of a node that is in touch with the store.
            throw new ConnectError("the withdrawals are not known yet", Code.Unavailable);
        }
        return this.listKnownWithdrawals();
    }

    storeUsageCopy(copy: PeerUsageCopy): void {
        this.dependencies?.storeUsageCopy(copy);
    }

    handleRecord(owner: string, key: string, payload: Uint8Array): void {
        if (key === statusRecordKey) {
            const status = decodeStatus(payload);
            if (status?.name === owner) {
                this.dependencies?.directory.setStatus(status);
            }
        } else if (key === limitsRecordKey) {
            const summary = decodeLimitSummary(payload);
            if (summary?.node === owner) {
                this.dependencies?.readNode()?.recordPeerLimits(summary);
            }
        } else if (key.startsWith(poolRecordKeyPrefix)) {
            const summary = decodePoolSummary(payload);
            if (summary?.node === owner) {
                this.dependencies?.readNode()?.recordPeerSummary(summary);
                this.dependencies?.readDuties()?.recordSummary(summary);
            }
        }
    }

    handleMemberRemoved(name: string): void {
        this.dependencies?.directory.removeNode(name);
        this.dependencies?.readNode()?.removePeer(name);
        this.dependencies?.readDuties()?.removeNode(name);
    }

    private listKnownWithdrawals(): readonly string[] {
        return (this.dependencies?.registry.listWithdrawals() ?? []).map(encodeWithdrawal);
    }
}

function decodeWithdrawals(texts: readonly string[]): readonly KeyWithdrawal[] {
    return texts.flatMap((text) => decodeWithdrawal(text) ?? []);
}
