/**
 * @module Exit codes. `docs/operations/exit-codes.md` lists them.
 */
import { type Failure, FailureKind } from "../base/failure";

/** How a command ended. */
export enum ExitCode {
    Ok = 0,
    /** The request was understood and refused, or what was asked about is not so. */
    Refused = 1,
    /** Wrong use of the command line, or settings that are not valid. */
    Usage = 2,
    /** Somebody else changed the configuration first. */
    Conflict = 3,
    /** The node, or the platform's store behind it, can't be reached; nothing was changed. */
    Unreachable = 4,
    /** The change may or may not have been made. */
    OutcomeUnknown = 5,
    /** The operator key is missing or not known. */
    Unauthenticated = 6,
    /** What was waited for did not come in time. */
    TimedOut = 7,
    /** An address of the settings could not be listened on in time. */
    AddressUnavailable = 8,
    /** A fault of the program. */
    Internal = 70,
}

const EXIT_CODES: Readonly<Partial<Record<FailureKind, ExitCode>>> = {
    [FailureKind.InvalidSettings]: ExitCode.Usage,
    [FailureKind.RevisionConflict]: ExitCode.Conflict,
    [FailureKind.EndpointFailed]: ExitCode.Unreachable,
    [FailureKind.EndpointSilent]: ExitCode.Unreachable,
    [FailureKind.StoreUnavailable]: ExitCode.Unreachable,
    [FailureKind.StoreOutcomeUnknown]: ExitCode.OutcomeUnknown,
    [FailureKind.OutcomeUnknown]: ExitCode.OutcomeUnknown,
    [FailureKind.Unauthenticated]: ExitCode.Unauthenticated,
    [FailureKind.Forbidden]: ExitCode.Unauthenticated,
    [FailureKind.DeadlineExceeded]: ExitCode.TimedOut,
    [FailureKind.AddressUnavailable]: ExitCode.AddressUnavailable,
    [FailureKind.Internal]: ExitCode.Internal,
    [FailureKind.TaskFailed]: ExitCode.Internal,
    [FailureKind.InvariantBroken]: ExitCode.Internal,
};

/**
 * Chooses the exit code of a failed command.
 *
 * @param failure - Why it failed
 * @returns The code; 1 for every kind without a code of its own
 * @example
 * chooseExitCode(createFailure(FailureKind.RevisionConflict, "...")); //=> ExitCode.Conflict
 */
export function chooseExitCode(failure: Failure): ExitCode {
    return EXIT_CODES[failure.kind] ?? ExitCode.Refused;
}
