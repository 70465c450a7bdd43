/**
 * @module The shape of a command.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { CliContext } from "./cliContext";
import type { ExitCode } from "./exitCode";
import type { OperatorClient } from "./operatorClient";

/** Options by name in camelCase, as the parser gives them: texts, or `true` for a switch. */
export type CommandOptions = Readonly<Record<string, unknown>>;

/** One call of a command. */
export interface Invocation {
    /** The words after the command's name. */
    readonly words: readonly string[];
    readonly options: CommandOptions;
    readonly context: CliContext;
    /** Connects to the operators' listener; fails without a key. */
    readonly connect: () => Result<OperatorClient, Failure>;
}

/** What a command that succeeded prints. */
export interface CommandOutput {
    /** For `--json`; `undefined` prints nothing. */
    readonly value: unknown;
    /** For people; may be empty. */
    readonly text: string;
    /** Default 0. */
    readonly exitCode?: ExitCode;
}

/** One option of a command. */
export interface OptionDefinition {
    /** As in help texts: `--to <version>`; a name without value is a switch. */
    readonly flag: string;
    readonly description: string;
}

/** A command. */
export interface CommandDefinition {
    /** One to three words. */
    readonly name: string;
    /** Words after the name, as in help texts: `<name>` or `[name]`. */
    readonly parameters?: string;
    readonly description: string;
    readonly options?: readonly OptionDefinition[];
    readonly examples: readonly string[];
    /** Leaves unknown options to the command itself. */
    readonly takesAnyOption?: boolean;
    readonly run: (invocation: Invocation) => PromiseLike<Result<CommandOutput, Failure>>;
}
