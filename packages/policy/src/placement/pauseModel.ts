/**
 * Learns the longest pause that prefill causes in running streams. An engine prefills in chunks, one between two
 * decoding steps, so a long backlog delays each event by a few chunks and not by its whole duration.
 *
 * @packageDocumentation
 */

/** Share of the difference by which the estimate follows a longer pause; together with the other a high quantile. */
const longerGain = 0.4;
/** Share of the difference by which the estimate follows a shorter pause. */
const shorterGain = 0.04;
/** Number of saturated pauses after which the estimate is used. */
const minimumSamples = 3;

/** Estimates the limit of the pauses of one service's engines. */
export class PauseModel {
    private limitMs = 0;
    private samples = 0;

    /**
     * Records a pause of a stream.
     *
     * @param pauseMs - The time between two events, in milliseconds.
     * @param backlogMs - Duration of the prefill that the server still has to do after the pause, in milliseconds. Only
     * a pause after which more prefill is left than it took was limited by the chunks.
     */
    recordPause(pauseMs: number, backlogMs: number): void {
        if (backlogMs < pauseMs) {
            return;
        }
        this.samples += 1;
        const gain = pauseMs > this.limitMs ? longerGain : shorterGain;
        this.limitMs = this.samples === 1 ? pauseMs : this.limitMs + gain * (pauseMs - this.limitMs);
    }

    /**
     * Predicts the pause of a server's running streams.
     *
     * @param backlogMs - Duration of all prefill that the server has to do, in milliseconds.
     * @returns The longest pause, in milliseconds.
     */
    predictPauseMs(backlogMs: number): number {
        return this.samples < minimumSamples ? backlogMs : Math.min(backlogMs, this.limitMs);
    }
}
