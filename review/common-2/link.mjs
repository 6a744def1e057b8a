// The link of one machine to an address, which can be cut for a time as by a partition. What was sent into the cut on a
// channel that was open before stays with its sender, which sends it again at the times at which TCP does: 200 ms after the
// first time, and then after twice as long each time. It arrives at the first of these times after the cut has healed, and
// is lost if its sender resets the channel. A channel that is opened during the cut carries nothing.
import { connect, createServer } from "node:net";

const firstRetryMs = 200;

/** Computes when TCP sends something again for the first time after a moment. */
function computeArrivalMs(sentMs, healedMs) {
    let atMs = sentMs;
    for (let pauseMs = firstRetryMs; atMs < healedMs; pauseMs *= 2) {
        atMs += pauseMs;
    }
    return atMs;
}

export class Link {
    healedMs = Number.NEGATIVE_INFINITY;

    /**
     * @param target - Address to which the link leads.
     * @param onBytes - Called with what the machine sends, before it is passed on.
     */
    constructor(target, onBytes = () => undefined) {
        this.target = target;
        this.onBytes = onBytes;
    }

    async open() {
        this.server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => this.carry(near));
        await new Promise((done) => this.server.listen(0, "127.0.0.1", done));
        this.address = `127.0.0.1:${this.server.address().port}`;
        return this;
    }

    /** Cuts the link until a time. */
    cut(healedMs) {
        this.healedMs = healedMs;
    }

    get isCut() {
        return performance.now() < this.healedMs;
    }

    carry(near) {
        near.on("error", () => undefined);
        if (this.isCut) {
            near.resume();
            setTimeout(() => near.resetAndDestroy(), this.healedMs - performance.now());
            return;
        }
        const [host, port] = this.target.split(":");
        const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
        far.on("error", () => undefined);
        this.forward(near, far, this.onBytes);
        this.forward(far, near, () => undefined);
    }

    forward(from, to, onBytes) {
        let held = [];
        const send = (pass) => {
            if (held.length === 0 && !this.isCut) {
                pass();
                return;
            }
            held.push(pass);
            if (held.length === 1) {
                const arrivalMs = computeArrivalMs(performance.now(), this.healedMs);
                setTimeout(() => {
                    const passes = held;
                    held = [];
                    passes.forEach((next) => next());
                }, arrivalMs - performance.now());
            }
        };
        from.on("data", (bytes) => {
            onBytes(bytes);
            send(() => to.write(bytes));
        });
        from.once("end", () => send(() => to.end()));
        from.once("error", () => {
            // A reset: what was sent into the cut is lost.
            held = held.slice(0, 1).map(() => () => to.resetAndDestroy());
            send(() => to.resetAndDestroy());
        });
        from.once("close", () => send(() => to.end()));
    }
}
