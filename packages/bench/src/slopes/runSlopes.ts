/**
 * Command-line program behind `npm run slopes`.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { exchangedSummaries, PeerSlope, pushedSummaries } from "./peerSlope.js";
import { ParseSlope } from "../parsing/parseSlope.js";
import { RolloutSlope } from "../rollout/rolloutSlope.js";
import { StateSlope } from "./stateSlope.js";
import { formatSlope, type Slope } from "./slope.js";

const slopes: readonly Slope[] = [
    new PeerSlope(exchangedSummaries),
    new PeerSlope(pushedSummaries),
    new StateSlope(),
    new ParseSlope(),
    new RolloutSlope(),
];
const defaultDurationMs = 10_000;

/**
 * Runs the slopes named on the command line, or all of them.
 *
 * @param parameters - Command-line arguments of the process.
 * @returns Exit code: 0 on success, 2 for an unknown slope.
 */
export async function runSlopes(parameters: readonly string[]): Promise<number> {
    const program = cac("slopes");
    program.option("--seed <number>", "seed of the random source", { default: 1 });
    program.option("--duration <ms>", "duration of the measurement at each size, in milliseconds", {
        default: defaultDurationMs,
    });
    program.option("--json", "print JSON");
    program.help();
    const { args, options } = program.parse([...parameters]);
    const unknown = args.filter((name) => !slopes.some((slope) => slope.name === name));
    if (unknown.length > 0) {
        const known = slopes.map((slope) => slope.name).join(", ");
        process.stderr.write(`no slope named ${unknown.join(", ")}; choose from: ${known}\n`);
        return 2;
    }
    const chosen = slopes.filter((slope) => args.length === 0 || args.includes(slope.name));
    for (const slope of chosen) {
        const result = await slope.measureSlope({
            seed: Number(options.seed),
            durationMs: Number(options.duration),
        });
        process.stdout.write(`${options.json ? JSON.stringify(result) : formatSlope(result)}\n`);
    }
    return 0;
}
