/**
 * The link of one machine to an address, which can be cut for a time as by a partition. Bytes that were sent on a channel
 * into the cut stay with their sender, which sends them again at the times at which TCP does (200 ms after the first time,
 * and each time after twice as long), and they arrive at the first of these times after the cut has healed. They are lost
 * if their sender resets the channel. A channel that is opened during the cut carries nothing.
 */
import { connect, createServer } from "node:net";

const host = "127.0.0.1";
const firstRetryMs = 200;

/** Computes when TCP sends bytes again for the first time after a moment. */
function computeArrivalMs(sentMs, healedMs) {
    let atMs = sentMs;
    for (let pauseMs = firstRetryMs; atMs < healedMs; pauseMs *= 2) {
        atMs += pauseMs;
    }
    return atMs;
}

/** Carries the channels of one machine to one address. */
export class Link {
    /**
     * @param target - The address to which the link leads.
     * @param onBytes - Called with what the machine sends, before it is passed on.
     */
    constructor(target, onBytes = () => undefined) {
        this.target = target;
        this.onBytes = onBytes;
        this.cutUntilMs = Number.NEGATIVE_INFINITY;
        this.server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => this.carry(near));
    }

    async open() {
        await new Promise((resolve) => this.server.listen(0, host, resolve));
        this.address = `${host}:${String(this.server.address().port)}`;
    }

    /** Cuts the link until a time. */
    cut(untilMs) {
        this.cutUntilMs = untilMs;
    }

    close() {
        this.server.close();
    }

    isCut() {
        return performance.now() < this.cutUntilMs;
    }

    carry(near) {
        near.on("error", () => undefined);
        if (this.isCut()) {
            near.resume();
            setTimeout(() => near.resetAndDestroy(), this.cutUntilMs - performance.now());
            return;
        }
        const [targetHost, targetPort] = this.target.split(":");
        const far = connect({
            host: targetHost,
            port: Number(targetPort),
            allowHalfOpen: true,
            noDelay: true,
        });
        far.on("error", () => undefined);
        this.forward(near, far, this.onBytes);
        this.forward(far, near, () => undefined);
    }

    forward(from, to, onBytes) {
        const held = [];
        let isReset = false;
        const deliver = () => {
            held.splice(0).forEach((pass) => pass());
        };
        const send = (pass) => {
            if (held.length === 0 && !this.isCut()) {
                pass();
                return;
            }
            held.push(pass);
            if (held.length === 1) {
                const arrivalMs = computeArrivalMs(performance.now(), this.cutUntilMs);
                setTimeout(deliver, arrivalMs - performance.now());
            }
        };
        from.on("data", (bytes) => {
            onBytes(bytes);
            send(() => to.write(bytes));
        });
        from.once("end", () => send(() => to.end()));
        from.once("error", () => {
            // The sender has reset the channel: what it has sent into the cut is lost.
            isReset = true;
            held.length = 0;
            send(() => to.resetAndDestroy());
        });
        from.once("close", () => {
            if (!isReset) {
                send(() => to.end());
            }
        });
    }
}
