/**
 * Problems in configuration files and their locations.
 *
 * @packageDocumentation
 */

/** One file of the configuration folder. */
export interface ConfigurationFile {
    readonly name: string;
    /** YAML text. */
    readonly content: string;
}

/** A location in the configuration files. */
export interface ConfigurationLocation {
    readonly file: string;
    /** Line number, counted from 1. */
    readonly line: number;
}

/** One problem in the configuration. */
export interface ConfigurationProblem extends ConfigurationLocation {
    /** Path within the file, such as `pools[0].servers[1].address`; empty for the whole file. */
    readonly path: string;
    /** What is wrong, with the invalid value. */
    readonly message: string;
    /** How to correct it. */
    readonly mend: string;
}

/**
 * Formats a problem as one line.
 *
 * @param problem - The problem.
 * @returns A line such as `30-pools.yaml:12: pools[0].kind: "modle" is not allowed; use model or plain`.
 */
export function formatProblem(problem: ConfigurationProblem): string {
    const path = problem.path === "" ? "" : `${problem.path}: `;
    return `${problem.file}:${String(problem.line)}: ${path}${problem.message}; ${problem.mend}`;
}

/**
 * Compares problems by file, line and path.
 *
 * @param left - One problem.
 * @param right - Another problem.
 * @returns A negative number, zero or a positive number, as for `Array.sort`.
 */
export function compareProblems(left: ConfigurationProblem, right: ConfigurationProblem): number {
    if (left.file !== right.file) {
        return left.file < right.file ? -1 : 1;
    }
    return left.line - right.line || (left.path < right.path ? -1 : Number(left.path > right.path));
}
