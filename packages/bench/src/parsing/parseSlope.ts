/**
 * The time to parse a changed configuration, by the number of backend servers.
 *
 * @packageDocumentation
 */
import { SystemClock } from "@pimentocleat/types";
import type { Slope, SlopeOptions, SlopePoint, SlopeResult } from "../slopes/slope.js";
import { measureParse } from "./measureParse.js";

const serverCounts = [237, 1_980, 7_900];
const rounds = 11;

/** Measures parsing of the complete configuration, and parsing after a change of one file. */
export class ParseSlope implements Slope {
    readonly name = "parse";
    readonly description = "parsing of the complete configuration, and after one change";

    measureSlope(options: SlopeOptions): Promise<SlopeResult> {
        const clock = new SystemClock();
        const points = serverCounts.map((servers): SlopePoint => {
            const { wholeMs, poolFileMs, customerFileMs, files, characters } = measureParse({
                clock,
                servers,
                rounds,
            });
            return { size: servers, figures: { files, characters, wholeMs, poolFileMs, customerFileMs } };
        });
        return Promise.resolve({ name: this.name, sizeName: "servers", seed: options.seed, points });
    }
}
