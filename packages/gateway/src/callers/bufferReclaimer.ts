/**
 * Frees the buffers of bytes that were received or sent. The engine counts them apart from its heap, and frees them only
 * when they have taken more than a small machine has.
 *
 * @packageDocumentation
 */
import { memoryUsage } from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Number of bytes after which the buffers are measured, in bytes. */
const measuringIntervalBytes = 4 * 1_024 * 1_024;

/** Measures the buffers of the process from time to time, and collects garbage when they are too large. */
export class BufferReclaimer {
    private collectGarbage: (() => void) | undefined;
    private passedBytes = 0;

    /** @param maximumBytes - Size of all buffers together from which on garbage is collected, in bytes. */
    constructor(private readonly maximumBytes: number) {}

    /** @param bytes - Number of bytes that were received, or written. */
    recordPassed(bytes: number): void {
        this.passedBytes += bytes;
        if (this.passedBytes > measuringIntervalBytes) {
            this.passedBytes = 0;
            if (memoryUsage().arrayBuffers > this.maximumBytes) {
                this.collectGarbage ??= loadCollector();
                this.collectGarbage();
            }
        }
    }
}

/** Loaded at the first need: most processes never have one. */
function loadCollector(): () => void {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
}
