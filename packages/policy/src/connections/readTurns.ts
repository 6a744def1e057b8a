/**
 * Bounds the work that one turn of the event loop spends on what callers send, and divides it among their connections.
 *
 * @packageDocumentation
 */

/** Work that is done in one turn; a small piece of a body is one unit, and takes some microseconds. */
const unitsOfTurn = 4_096;
/** Recent work from which on a reader waits behind those that needed less. */
const heavyUnits = 1_024;
/** Factor by which recent work counts less whenever the reader has work again. */
const recentWorkDecay = 0.5;

/** Reads what a caller sends. */
export interface TurnReader {
    /** Recent work of this reader, in units; kept here by {@link ReadTurns}. */
    recentUnits: number;
    /** @returns Whether anything waits that can be read now. */
    hasWork(): boolean;
    /** @returns The work that was needed to read a part of what waits, in units. */
    readPart(): number;
}

/** The readers of a node. They read at once until the work of a turn is done; from then on they wait in queues. */
export class ReadTurns {
    private readonly light = new Set<TurnReader>();
    private readonly heavy = new Set<TurnReader>();
    private leftUnits = unitsOfTurn;
    private isDeferred = false;

    /** @param defer - Calls a function in the next turn of the event loop, after what has arrived meanwhile. */
    constructor(private readonly defer: (run: () => void) => void) {}

    /**
     * Lets a reader read, at once or in a later turn.
     *
     * @param reader - A reader, which may have work.
     */
    offer(reader: TurnReader): void {
        if (this.light.has(reader) || this.heavy.has(reader) || !reader.hasWork()) {
            return;
        }
        reader.recentUnits *= recentWorkDecay;
        while (this.leftUnits > 0 && this.light.size === 0 && reader.hasWork()) {
            this.readPart(reader);
        }
        this.addWaiting(reader);
    }

    /**
     * Lets a reader read in a later turn, behind all others.
     *
     * @param reader - A reader that has work.
     */
    offerLater(reader: TurnReader): void {
        reader.recentUnits = heavyUnits;
        this.addWaiting(reader);
    }

    /** @param reader - A reader that has no work any more. */
    remove(reader: TurnReader): void {
        this.light.delete(reader);
        this.heavy.delete(reader);
    }

    private addWaiting(reader: TurnReader): void {
        if (reader.hasWork()) {
            (reader.recentUnits >= heavyUnits ? this.heavy : this.light).add(reader);
            this.planTurn();
        }
    }

    private planTurn(): void {
        if (!this.isDeferred) {
            this.isDeferred = true;
            this.defer(() => this.runTurn());
        }
    }

    private runTurn(): void {
        this.isDeferred = false;
        this.leftUnits = unitsOfTurn;
        // One of the heavy readers goes on in each turn, however many light ones there are.
        this.readNext(this.heavy);
        while (this.leftUnits > 0 && (this.readNext(this.light) || this.readNext(this.heavy))) {
            // Each step reads one part.
        }
        if (this.light.size + this.heavy.size > 0) {
            this.planTurn();
        }
    }

    /** Lets the first reader of a queue read a part, and returns whether there was one. */
    private readNext(queue: Set<TurnReader>): boolean {
        const [reader] = queue;
        if (reader === undefined) {
            return false;
        }
        queue.delete(reader);
        if (reader.hasWork()) {
            this.readPart(reader);
        }
        this.addWaiting(reader);
        return true;
    }

    private readPart(reader: TurnReader): void {
        const units = reader.readPart();
        this.leftUnits -= units;
        reader.recentUnits += units;
    }
}
