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

/** Peers that a running node asks while the store is out, so that the cost does not grow with the nodes. */
const sampledPeerCount = 3;

/** The parts of a node that peers read and steer. */
export interface PeerBridgeDependencies {
    readonly network: PeerNetwork;
    readonly configuration: ConfigurationFollower;
    readonly registry: ConfiguredKeyRegistry;
    readonly withdrawals: WithdrawalFollower;
    readonly directory: NodeDirectory;
    readonly requestPoll: () => void;
    /** The request path; undefined while the node starts. */
    readonly readNode: () => NodeHandle | undefined;
    readonly storeUsageCopy: (copy: PeerUsageCopy) => void;
    /** Control duties of the node; undefined while the node starts. */
    readonly readDuties: () => NodeDuties | undefined;
}

/** Both sides of the exchange with peers. */
export class PeerBridge implements ConfigurationPeers, WithdrawalPeers, PeerHandlers {
    private parts: PeerBridgeDependencies | undefined;
    private encodedSnapshot:
        { readonly snapshot: ConfigurationSnapshot; readonly content: Uint8Array } | undefined;

    /**
     * Connects the parts; before that, no peer is reached.
     *
     * @param parts - The parts of the node.
     */
    setDependencies(parts: PeerBridgeDependencies): void {
        this.parts = parts;
    }

    async readHighestSnapshot(above: number): Promise<ConfigurationSnapshot | undefined> {
        // A starting node asks all, since it must not start from an old revision.
        const found = await this.parts?.network.calls.readConfiguration(
            above,
            above === 0 ? undefined : sampledPeerCount,
        );
        return found && decodeSnapshot(found.content);
    }

    async spreadWithdrawals(withdrawals: readonly KeyWithdrawal[]): Promise<number> {
        const answer = await this.parts?.network.calls.spreadWithdrawals(withdrawals.map(encodeWithdrawal));
        return answer?.peers ?? 0;
    }

    async readWithdrawals(): Promise<readonly KeyWithdrawal[] | undefined> {
        const answer = await this.parts?.network.calls.spreadWithdrawals([], sampledPeerCount);
        return answer === undefined || answer.peers === 0 ? undefined : decodeWithdrawals(answer.keyIds);
    }

    readConfiguration(): PeerConfiguration | undefined {
        const snapshot = this.parts?.configuration.readSnapshot();
        if (snapshot === undefined) {
            return undefined;
        }
        if (this.encodedSnapshot?.snapshot !== snapshot) {
            this.encodedSnapshot = { snapshot, content: encodeJson(snapshot) };
        }
        return { revision: snapshot.revision, content: this.encodedSnapshot.content };
    }

    handleHigherRevision(): void {
        this.parts?.requestPoll();
    }

    addWithdrawals(texts: readonly string[]): readonly string[] {
        const known = new Set(this.listKnownWithdrawals());
        const received = decodeWithdrawals(texts);
        this.parts?.withdrawals.receiveWithdrawals(received);
        return this.listKnownWithdrawals().filter((text) => !known.has(text));
    }

    listWithdrawals(): readonly string[] {
        if (this.parts?.withdrawals.hasLoaded() !== true) {
            // A peer must not take an incomplete list for news from a node in touch.
            throw new ConnectError("the withdrawals are not known yet", Code.Unavailable);
        }
        return this.listKnownWithdrawals();
    }

    storeUsageCopy(copy: PeerUsageCopy): void {
        this.parts?.storeUsageCopy(copy);
    }

    handleRecord(owner: string, key: string, payload: Uint8Array): void {
        if (key === statusRecordKey) {
            const status = decodeStatus(payload);
            if (status?.name === owner) {
                this.parts?.directory.setStatus(status);
            }
        } else if (key === limitsRecordKey) {
            const summary = decodeLimitSummary(payload);
            if (summary?.node === owner) {
                this.parts?.readNode()?.recordPeerLimits(summary);
            }
        } else if (key.startsWith(poolRecordKeyPrefix)) {
            const summary = decodePoolSummary(payload);
            if (summary?.node === owner) {
                this.parts?.readNode()?.recordPeerSummary(summary);
                this.parts?.readDuties()?.recordSummary(summary);
            }
        }
    }

    handleMemberRemoved(name: string): void {
        this.parts?.directory.removeNode(name);
        this.parts?.readNode()?.removePeer(name);
        this.parts?.readDuties()?.removeNode(name);
    }

    private listKnownWithdrawals(): readonly string[] {
        return (this.parts?.registry.listWithdrawals() ?? []).map(encodeWithdrawal);
    }
}

function decodeWithdrawals(texts: readonly string[]): readonly KeyWithdrawal[] {
    return texts.flatMap((text) => decodeWithdrawal(text) ?? []);
}
