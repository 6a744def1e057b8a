#!/usr/bin/env node
import { SystemClock } from "@pimentocleat/types";
import { defaultSituations, measureSpread } from "../lib/spread/measureSpread.js";

const [nodeCount = 9, rounds = 10] = process.argv.slice(2).map(Number);
const clock = new SystemClock();
const figures = await measureSpread({ nodeCount, rounds, clock, situations: defaultSituations });
process.stdout.write(`nodes ${nodeCount}, rounds ${rounds}\n`);
for (const { title, samples, medianMs, worstMs } of figures) {
    process.stdout.write(`${title}: median ${medianMs} ms, worst ${worstMs} ms, ${samples} samples\n`);
}
