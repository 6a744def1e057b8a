/**
 * A link between a machine and the platform that can be cut, as a proxy. A cut loses all packets of both directions without
 * a word. What was written on a channel that was open before stays with the sender's operating system, also when the
 * program is killed, and is sent again at doubling intervals; it is lost when the sender resets the channel. Channels that
 * are opened during the cut come to nothing.
 */
import { connect, createServer } from "node:net";

/** First interval after which TCP sends again, in milliseconds; each further one is twice as long. */
const firstRetransmissionMs = 200;

export class CutLink {
    isCut = false;
    healedMs = undefined;
    /** What was written during the cut, by channel. */
    held = [];
    channels = new Set();
    server = createServer((near) => this.accept(near));

    /** @param target - IP address and port of the platform. */
    constructor(target) {
        [this.host, this.port] = target.split(":");
    }

    async open() {
        await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        return this.address;
    }

    close() {
        this.server.close();
        this.channels.forEach(({ near, far }) => {
            near.destroy();
            far?.destroy();
        });
    }

    cut() {
        this.isCut = true;
    }

    heal() {
        this.isCut = false;
        this.healedMs = Date.now();
        this.channels.forEach((channel) => channel.retransmit?.());
    }

    accept(near) {
        if (this.isCut) {
            // The platform never hears of it.
            this.channels.add({ near });
            near.on("error", () => undefined).resume();
            return;
        }
        const far = connect({ host: this.host, port: this.port, allowHalfOpen: true });
        const channel = { near, far, waiting: [], sinceMs: undefined };
        this.channels.add(channel);
        const deliver = () => {
            for (const step of channel.waiting.splice(0)) {
                step();
            }
            channel.sinceMs = undefined;
        };
        const pass = (text, step) => {
            if (!this.isCut && channel.waiting.length === 0) {
                step();
                return;
            }
            channel.sinceMs ??= Date.now();
            channel.waiting.push(step);
            this.held.push({ atMs: Date.now(), text, channel });
        };
        channel.retransmit = () => {
            if (channel.waiting.length === 0) {
                return;
            }
            let atMs = channel.sinceMs;
            for (let pauseMs = firstRetransmissionMs; atMs < Date.now(); pauseMs *= 2) {
                atMs += pauseMs;
            }
            setTimeout(deliver, atMs - Date.now());
        };
        near.on("data", (piece) => pass(piece.toString("latin1"), () => far.write(piece)));
        near.on("end", () => pass("", () => far.end()));
        near.on("error", () => {
            channel.isReset = true;
            channel.waiting = [];
            if (!this.isCut) {
                far.resetAndDestroy();
            }
        });
        far.on("data", (piece) => {
            if (!this.isCut) {
                near.write(piece);
            }
        });
        far.on("end", () => near.end()).on("error", () => near.destroy());
    }

    /** Finds a call that was written during the cut and can still arrive. */
    findHeldCall(path) {
        return this.held.find(
            ({ text, channel }) => text.startsWith(`POST ${path} `) && channel.isReset !== true,
        );
    }
}
