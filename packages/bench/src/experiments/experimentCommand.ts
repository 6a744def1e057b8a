/**
 * The command line of the experiments, `npm run experiment`.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { formatReport } from "../report/formatReport.js";
import { measureDecisionCost } from "./decisionCost.js";
import { listExperiments, runExperiment } from "./runExperiment.js";

interface CommandOptions {
    readonly seed: number;
    readonly deployment: string;
    readonly json?: boolean;
}

const decisionCost = "decision-cost";

/**
 * Runs `experiment NAME [--seed N] [--deployment NAME] [--json]` and prints the report.
 *
 * @param argv - Arguments of the process, including the program's names.
 */
export async function runExperimentCommand(argv: string[]): Promise<void> {
    const command = cac("experiment");
    command
        .command("<name>", `one of ${[...listExperiments(), decisionCost].join(", ")}`)
        .option("--seed <seed>", "Seed of the workload", { default: 1 })
        .option("--deployment <name>", "volantino or peachtree", { default: "volantino" })
        .option("--json", "Print JSON")
        .action((name: string, options: CommandOptions) => printExperiment(name, options));
    command.help();
    command.parse(argv, { run: false });
    await command.runMatchedCommand();
}

function printExperiment(name: string, options: CommandOptions): void {
    if (name === decisionCost) {
        console.log(JSON.stringify(measureDecisionCost(), undefined, 4));
        return;
    }
    const report = runExperiment({ name, seed: Number(options.seed), deployment: options.deployment });
    console.log(options.json ? JSON.stringify(report, undefined, 4) : formatReport(report));
}
