import fc from "fast-check";
import { describe, expect, inject, it } from "vitest";
import type { CallerStream } from "../callerStream.js";
import { StreamRelay } from "../streamRelay.js";

const seed = 20261203;

/** A caller that keeps what it gets. */
class CollectingCaller {
    text = "";
    finished = false;

    writeEvents(events: string | Buffer): boolean {
        this.text += String(events);
        return true;
    }

    finish(): void {
        this.finished = true;
    }
}

function buildEvent(text: string, space: string): string {
    const choice = `{"index":${space}0,"delta":${space}{"content":${space}${JSON.stringify(text)}},"finish_reason":${space}null}`;
    return `data: {"choices":${space}[${choice}]}\n\n`;
}

const lastEvents = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`;

describe("StreamRelay", () => {
    const texts = fc.array(
        fc.oneof(
            fc.string({ unit: "binary" }),
            fc.constantFrom("é", '"', "\\", '"content":"', '\\"', "\n\n", "data: ", "[DONE]", "}]}"),
        ),
        { minLength: 1, maxLength: 12 },
    );

    it("relays the same text and knows it, however the bytes are cut", () => {
        const property = fc.property(
            texts,
            fc.constantFrom("", " "),
            fc.array(fc.nat()),
            (pieces, space, cuts) => {
                const bytes = Buffer.from(
                    pieces.map((piece) => buildEvent(piece, space)).join("") + lastEvents,
                );
                const caller = new CollectingCaller();
                let tokens = 0;
                const relay = new StreamRelay({
                    caller: caller as unknown as CallerStream,
                    resumable: true,
                    progress: { onTokens: (count) => (tokens += count) },
                });
                relay.startAttempt();
                const positions = [...new Set(cuts.map((cut) => cut % bytes.length)), bytes.length];
                positions.sort((left, right) => left - right);
                let from = 0;
                for (const to of positions) {
                    relay.addChunk(bytes.subarray(from, to));
                    from = to;
                }
                expect(relay.findFault()).toBeUndefined();
                expect(relay.finishAttempt()).toBeUndefined();
                expect(caller.finished).toBe(true);
                expect(caller.text).toBe(bytes.toString());
                expect(relay.getResumePoint().text).toBe(pieces.join(""));
                expect(tokens).toBe(pieces.filter((piece) => piece !== "").length);
            },
        );
        fc.assert(property, { seed, numRuns: 2_000, ...inject("fuzz") });
    });
});
