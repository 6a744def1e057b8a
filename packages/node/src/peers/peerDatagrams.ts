/**
 * Transport of soft state over UDP, which is cheap enough to reach every node of a deployment several times a
 * second. The next datagram or an exchange replaces a lost datagram.
 *
 * @packageDocumentation
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { RecordsDatagramSchema, type SoftRecord } from "@pimentocleat/schema";
import type { Clock } from "@pimentocleat/types";
import { createHmac, timingSafeEqual } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import { maximumCallAgeMs } from "./peerAuthentication.js";

const digestBytes = 32;
/** Maximum size of a datagram; a larger one would be split into many fragments, each of which can be lost. */
const maximumDatagramBytes = 8_192;

/** Options of {@link PeerDatagrams}. */
export interface PeerDatagramsOptions {
    readonly secret: string;
    readonly clock: Clock;
    /** Called with the records of each authentic datagram. */
    readonly onRecords: (records: readonly SoftRecord[]) => void;
}

/** Sends and receives soft state on the UDP socket of the peer interface. */
export class PeerDatagrams {
    private socket: Socket | undefined;
    private transferredBytes = 0;

    /** @param options - Secret, clock and the receiver. */
    constructor(private readonly options: PeerDatagramsOptions) {}

    /**
     * Binds the socket.
     *
     * @param address - IP address and port of the peer interface.
     */
    open(address: string): Promise<void> {
        const [host = "", port = "0"] = address.split(":");
        const socket = createSocket("udp4");
        socket.on("message", (datagram) => this.handleDatagram(datagram));
        return new Promise((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(Number(port), host, () => {
                socket.off("error", reject);
                // A datagram to an unreachable peer may cause an error later. It is ignored, since soft state is
                // sent without acknowledgement.
                socket.on("error", () => {});
                this.socket = socket;
                resolve();
            });
        });
    }

    /** @returns Bytes sent and received so far, without the headers of UDP and IP. */
    countBytes(): number {
        return this.transferredBytes;
    }

    /** Closes the socket. */
    close(): Promise<void> {
        const { socket } = this;
        this.socket = undefined;
        return new Promise((resolve) => (socket === undefined ? resolve() : socket.close(() => resolve())));
    }

    /**
     * Sends records to peers without waiting or retransmission.
     *
     * @param records - The records; if they do not fit into one datagram, none is sent and the exchanges carry them.
     * @param addresses - Peer addresses, as IP address and port.
     */
    sendRecords(records: SoftRecord[], addresses: readonly string[]): void {
        const sentAtMs = BigInt(Math.floor(this.options.clock.wallMs()));
        const content = toBinary(RecordsDatagramSchema, create(RecordsDatagramSchema, { sentAtMs, records }));
        const datagram = Buffer.concat([this.computeDigest(content), content]);
        if (datagram.length > maximumDatagramBytes) {
            return;
        }
        for (const address of addresses) {
            const [host = "", port = "0"] = address.split(":");
            this.transferredBytes += datagram.length;
            this.socket?.send(datagram, Number(port), host, () => {});
        }
    }

    private handleDatagram(datagram: Buffer): void {
        this.transferredBytes += datagram.length;
        if (datagram.length < digestBytes) {
            return;
        }
        const content = datagram.subarray(digestBytes);
        if (!timingSafeEqual(datagram.subarray(0, digestBytes), this.computeDigest(content))) {
            return;
        }
        const message = fromBinary(RecordsDatagramSchema, content);
        const ageMs = Math.abs(this.options.clock.wallMs() - Number(message.sentAtMs));
        if (ageMs <= maximumCallAgeMs) {
            this.options.onRecords(message.records);
        }
    }

    private computeDigest(content: Uint8Array): Buffer {
        return createHmac("sha256", this.options.secret).update("datagram\n").update(content).digest();
    }
}
