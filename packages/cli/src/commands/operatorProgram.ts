/**
 * The program `pimentocleat`.
 *
 * @packageDocumentation
 */
import { cac, type CAC } from "cac";
import type { WaitingClock } from "@pimentocleat/types";
import { runDemo, runPlatformDemo } from "../demo/runDemo.js";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import { Output, type TextSink } from "../output/output.js";
import type { CommandContext, CommandFlags } from "./commandContext.js";
import {
    applyConfiguration,
    compareConfiguration,
    pullConfiguration,
    printConfigurationStatus,
    validateConfiguration,
    watchConfiguration,
} from "./configCommands.js";
import { createKey, listKeys, withdrawKey } from "./keyCommands.js";
import { printExplanation } from "./logCommands.js";
import { printRequestTrace, listNodes, listPools } from "./nodeCommands.js";
import { printRouteExplanation } from "./routeCommands.js";

const programVersion = "0.1.0";

/** Command line, environment, output, clock and signal of the program. */
export interface OperatorProgramInput {
    /** The command-line arguments, without the interpreter and the script. */
    readonly parameters: readonly string[];
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly sink: TextSink;
    readonly clock: WaitingClock;
    /** Ends commands that run until they are interrupted, such as `config watch`. */
    readonly signal: AbortSignal;
}

type CommandAction = (context: CommandContext, argument: string) => Promise<ExitCode>;

/** An action and the argument that it requires. */
interface ActionEntry {
    readonly run: CommandAction;
    /** Name of the required argument; absent when the action takes none. */
    readonly requiredArgument?: string;
}

const actions: Readonly<Record<string, Readonly<Record<string, ActionEntry>>>> = {
    config: {
        validate: { run: validateConfiguration, requiredArgument: "folder" },
        diff: { run: compareConfiguration, requiredArgument: "folder" },
        pull: { run: pullConfiguration, requiredArgument: "folder" },
        apply: { run: applyConfiguration, requiredArgument: "folder" },
        status: { run: printConfigurationStatus },
        watch: { run: watchConfiguration, requiredArgument: "folder" },
    },
    key: {
        create: { run: createKey, requiredArgument: "key" },
        list: { run: listKeys },
        withdraw: { run: withdrawKey, requiredArgument: "key" },
    },
    node: { list: { run: listNodes } },
    pool: { list: { run: listPools } },
    route: { explain: { run: printRouteExplanation, requiredArgument: "url" } },
};

function buildProgram(runAction: (run: CommandAction, argument: string, flags: CommandFlags) => void): CAC {
    const program = cac("pimentocleat");
    program.option("--json", "Print results as JSON");
    program.option(
        "--operator-address <ip:port>",
        "A node's operator address (PIMENTOCLEAT_OPERATOR_ADDRESS)",
    );
    program.option(
        "--operator-credential-file <path>",
        "File with the operator credential (PIMENTOCLEAT_OPERATOR_CREDENTIAL or ..._FILE)",
    );
    program.option(
        "--author <name>",
        "Author recorded with a change (default: the environment variable USER)",
    );
    for (const [group, entries] of Object.entries(actions)) {
        const names = Object.keys(entries).join("|");
        const command = program.command(`${group} <action> [argument]`, names);
        if (group === "config") {
            command.option("--wait", "Wait until the change is active on every node");
            command.option("--wait-timeout-ms <ms>", "Maximum wait in milliseconds (default 15000)");
            command.option("--overwrite", "Replace files that another operator has changed");
        }
        if (group === "key") {
            command.option("--customer <name>", "Customer of a new key");
            command.option("--class <name>", "Default class of a new key");
        }
        if (group === "route") {
            command.option("--status-address <ip:port,...>", "Status addresses of the nodes to ask");
            command.option("--customer <name>", "Customer of the request");
            command.option("--parts <id:tokens,...>", "Parts of the prompt, in order");
            command.option("--tokens <count>", "Prompt tokens (default: those of the parts)");
        }
        command.action((action: string, argument: string | undefined, flags: CommandFlags) => {
            const entry = Object.hasOwn(entries, action) ? entries[action] : undefined;
            runAction(chooseAction(`${group} ${action}`, entry, argument, names), argument ?? "", flags);
        });
    }
    program
        .command("explain <request>", "Show why a request was routed, refused or retried")
        .action((requestId: string, flags: CommandFlags) => runAction(printRequestTrace, requestId, flags));
    program
        .command(
            "logs <action> <request> [...files]",
            "explain: show the log events of one request on all nodes",
        )
        .action((action: string, requestId: string, files: readonly string[], flags: CommandFlags) =>
            runAction(chooseLogAction(action, files), requestId, flags),
        );
    program
        .command("demo", "Run a complete deployment with stand-ins and three nodes, in under a minute")
        .option("--platform", "Run on a stand-in of the users' platform instead")
        .action((flags: CommandFlags) =>
            runAction(
                ({ output }) => (flags["platform"] === true ? runPlatformDemo(output) : runDemo(output)),
                "",
                flags,
            ),
        );
    program.help();
    program.version(programVersion);
    return program;
}

function chooseLogAction(action: string, files: readonly string[]): CommandAction {
    if (action !== "explain") {
        throw new CommandError(ExitCode.WrongUsage, `"logs ${action}" is not a command; use "logs explain"`);
    }
    return async (context, requestId) => printExplanation(context.output, requestId, files);
}

function chooseAction(
    name: string,
    entry: ActionEntry | undefined,
    argument: string | undefined,
    names: string,
): CommandAction {
    if (entry === undefined) {
        throw new CommandError(ExitCode.WrongUsage, `"${name}" is not a command; use one of ${names}`);
    }
    if (entry.requiredArgument !== undefined && argument === undefined) {
        throw new CommandError(
            ExitCode.WrongUsage,
            `"${name}" requires an argument; name a ${entry.requiredArgument}`,
        );
    }
    return entry.run;
}

/**
 * Runs one command line.
 *
 * @param input - The command line and its environment.
 * @returns The exit code.
 */
export async function runOperatorProgram(input: OperatorProgramInput): Promise<ExitCode> {
    const output = new Output(input.sink, input.parameters.includes("--json"));
    let running: Promise<ExitCode> | undefined;
    try {
        const program = buildProgram((run, argument, flags) => {
            const { environment, clock, signal } = input;
            running = run({ flags, environment, output, clock, signal }, argument);
        });
        program.parse(["node", "pimentocleat", ...input.parameters]);
        if (running === undefined) {
            return finishWithoutCommand(program);
        }
        return await running;
    } catch (error) {
        const code = findExitCode(error);
        output.printFailure(code, error instanceof Error ? error.message : String(error));
        return code;
    }
}

function finishWithoutCommand(program: CAC): ExitCode {
    if (program.options["help"] === true || program.options["version"] === true) {
        return ExitCode.Success;
    }
    program.outputHelp();
    return ExitCode.WrongUsage;
}

function findExitCode(error: unknown): ExitCode {
    if (error instanceof CommandError) {
        return error.code;
    }
    return error instanceof Error && error.name === "CACError" ? ExitCode.WrongUsage : ExitCode.Failure;
}
