import { describe, expect, it } from "vitest";
import { ReadTurns, type TurnReader } from "../index.js";

/** Work of one turn that a pattern must not exceed by more than one part, in units. */
const unitsOfTurn = 4_096;
const partUnits = 700;

class Reader implements TurnReader {
    recentUnits = 0;
    readUnits = 0;

    constructor(
        private leftParts: number,
        private readonly units: number,
        private readonly onRead: () => void = () => undefined,
    ) {}

    hasWork(): boolean {
        return this.leftParts > 0;
    }

    readPart(): number {
        this.leftParts -= 1;
        this.readUnits += this.units;
        this.onRead();
        return this.units;
    }
}

describe("ReadTurns", () => {
    function buildTurns() {
        const deferred: (() => void)[] = [];
        const turns = new ReadTurns((run) => deferred.push(run));
        const runTurn = (): void => deferred.splice(0).forEach((run) => run());
        return { turns, deferred, runTurn };
    }

    it("reads at once while there is little to read", () => {
        const { turns, deferred } = buildTurns();
        const reader = new Reader(3, 10);
        turns.offer(reader);
        expect(reader.hasWork()).toBe(false);
        expect(deferred).toEqual([]);
    });

    it("bounds the work of a turn however many connections send small pieces", () => {
        const { turns, deferred, runTurn } = buildTurns();
        const readers = Array.from({ length: 300 }, () => new Reader(20, partUnits));
        const sum = (): number => readers.reduce((total, { readUnits }) => total + readUnits, 0);
        readers.forEach((reader) => turns.offer(reader));
        for (let before = 0; deferred.length > 0; before = sum()) {
            expect(sum() - before).toBeLessThan(unitsOfTurn + 2 * partUnits);
            expect(deferred).toHaveLength(1);
            runTurn();
        }
        expect(readers.some((reader) => reader.hasWork())).toBe(false);
    });

    it("lets an ordinary caller go ahead of those that needed much, and these go on all the same", () => {
        const { turns, runTurn } = buildTurns();
        const heavy = Array.from({ length: 300 }, () => new Reader(1_000, partUnits));
        heavy.forEach((reader) => turns.offer(reader));
        for (let turn = 0; turn < 200; turn += 1) {
            runTurn();
        }
        const ordinary = new Reader(1, 64);
        turns.offer(ordinary);
        runTurn();
        expect(ordinary.hasWork()).toBe(false);
        const before = heavy.reduce((total, { readUnits }) => total + readUnits, 0);
        for (let turn = 0; turn < 10; turn += 1) {
            turns.offer(new Reader(1, unitsOfTurn));
            turns.offer(new Reader(1, unitsOfTurn));
            runTurn();
        }
        expect(heavy.reduce((total, { readUnits }) => total + readUnits, 0)).toBeGreaterThan(before);
    });

    it("forgets a reader that has closed", () => {
        const { turns, runTurn } = buildTurns();
        turns.offer(new Reader(1, unitsOfTurn));
        const closed = new Reader(1, 1);
        turns.offer(closed);
        turns.remove(closed);
        runTurn();
        expect(closed.readUnits).toBe(0);
    });
});
