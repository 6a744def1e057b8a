/**
 * Exit codes of the programs; see docs/operators/command-line.md.
 *
 * @packageDocumentation
 */

/** The outcome of a command. */
export enum ExitCode {
    Success = 0,
    /** An unexpected error, or a failure without an exit code of its own. */
    Failure = 1,
    /** A flag, setting or argument is wrong, or a file cannot be read. */
    WrongUsage = 2,
    /** The configuration is invalid; all problems are printed. */
    InvalidConfiguration = 3,
    /** Another operator has changed the same file. */
    Conflict = 4,
    /** The node, or the table service behind it, cannot be reached; nothing was changed. */
    Unreachable = 5,
    /** The change may have taken effect; check it with `config status`. */
    OutcomeUnknown = 6,
    /** The key or request does not exist. */
    NotFound = 7,
    /** The change was not active on every node before the timeout. */
    NotInForce = 8,
    /** The operator credential is missing or wrong. */
    Unauthorized = 9,
    /** `config diff` found differences. */
    Different = 10,
}

/** A failure with an exit code and a message for the operator. */
export class CommandError extends Error {
    /**
     * @param code - The exit code.
     * @param message - The failure and how to correct it; must not contain secrets.
     */
    constructor(
        readonly code: ExitCode,
        message: string,
    ) {
        super(message);
        this.name = "CommandError";
    }
}
