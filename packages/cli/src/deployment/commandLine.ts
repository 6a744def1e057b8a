/**
 * Runs `pimentocleat` in a separate process, as an operator does.
 *
 * @packageDocumentation
 */
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";

const programPath = fileURLToPath(new URL("../../bin/pimentocleat.js", import.meta.url));
const commandTimeoutMs = 30_000;

/** The operator address and credential of a node. */
export interface CommandTarget {
    readonly operatorAddress: string;
    readonly credential: string;
}

/**
 * Runs `pimentocleat` with `--json`.
 *
 * @param target - The node.
 * @param parameters - The command-line arguments.
 * @returns The parsed result.
 * @throws Error with the program's output when it fails or takes longer than 30 s.
 */
export function runCommandLine(
    target: CommandTarget,
    parameters: readonly string[],
): Promise<Record<string, unknown>> {
    const environment = {
        ...process.env,
        PIMENTOCLEAT_OPERATOR_ADDRESS: target.operatorAddress,
        PIMENTOCLEAT_OPERATOR_CREDENTIAL: target.credential,
    };
    return new Promise((resolve, reject) => {
        const options = { env: environment, timeout: commandTimeoutMs };
        execFile(
            process.execPath,
            [programPath, ...parameters, "--json"],
            options,
            (error, stdout, stderr) => {
                if (error) {
                    reject(new Error(`pimentocleat ${parameters.join(" ")} failed: ${stdout}${stderr}`));
                    return;
                }
                resolve(JSON.parse(stdout) as Record<string, unknown>);
            },
        );
    });
}
