/**
 * Exit codes of the programs; see docs/operators/command-line.md.
 *
 * @packageDocumentation
 */

/** How a command ended. */
export enum ExitCode {
    Success = 0,
    /** An unexpected error. */
    Failure = 1,
    /** A wrong flag, setting or argument. */
    WrongUsage = 2,
    /** The configuration has problems; all are listed. */
    InvalidConfiguration = 3,
    /** Another operator has changed the same file. */
    Conflict = 4,
    /** The node, or the table service behind it, cannot be reached; nothing was changed. */
    Unreachable = 5,
    /** The change may have taken effect; ask again with `config status`. */
    OutcomeUnknown = 6,
    /** There is no such key or request. */
    NotFound = 7,
    /** Not every node had the change in force within the time. */
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
     * @param message - What went wrong and what to do; no secrets.
     */
    constructor(
        readonly code: ExitCode,
        message: string,
    ) {
        super(message);
        this.name = "CommandError";
    }
}
