import { describe, expect, it } from "vitest";
import { BoundedLineWriter } from "../boundedLineWriter.js";

function createWriter(maximumBufferedBytes: number, maximumLinesPerSecond = 1_000) {
    const written: string[] = [];
    const pending: (() => void)[] = [];
    const clock = { nowMs: 0 };
    const writer = new BoundedLineWriter({
        writeText: (text, onDone) => {
            written.push(text);
            pending.push(onDone);
        },
        formatDropped: (count) => `dropped ${String(count)}`,
        maximumBufferedBytes,
        maximumLinesPerSecond,
        readNowMs: () => clock.nowMs,
    });
    return { writer, written, pending, clock };
}

describe("BoundedLineWriter", () => {
    it("drops lines while the reader has stopped and reports their number when it resumes", () => {
        const { writer, written, pending } = createWriter(30);
        for (let index = 0; index < 10; index += 1) {
            writer.writeLine("123456789");
        }
        expect(written).toEqual(["123456789\n"]);
        pending.shift()!();
        writer.writeLine("next");
        pending.shift()!();
        expect(written.join("")).toContain("dropped 7\nnext\n");
    });

    it("buffers lines that arrive during a write and writes them together", () => {
        const { writer, written, pending } = createWriter(1_000);
        ["a", "b", "c"].forEach((line) => writer.writeLine(line));
        pending.shift()!();
        expect(written).toEqual(["a\n", "b\nc\n"]);
    });

    it("limits the lines per second", () => {
        const { writer, clock, written, pending } = createWriter(10_000, 5);
        for (let index = 0; index < 20; index += 1) {
            writer.writeLine(`line ${String(index)}`);
        }
        clock.nowMs = 1_000;
        writer.writeLine("later");
        pending.shift()!();
        expect(written.join("").split("\n")).toEqual([
            "line 0",
            "line 1",
            "line 2",
            "line 3",
            "line 4",
            "dropped 15",
            "later",
            "",
        ]);
    });

    it("returns the unwritten lines at the end of the process", () => {
        const { writer } = createWriter(1_000);
        ["a", "b"].forEach((line) => writer.writeLine(line));
        expect(writer.takeBufferedText()).toBe("b\n");
    });
});
