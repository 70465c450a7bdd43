/**
 * @module The command line: parses it, runs one command and prints what it gives.
 */
import { cac, type CAC } from "cac";
import { type Result, ResultAsync } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { FailureError } from "../base/failureError";
import { createUsageFailure } from "./_lib/createUsageFailure";
import { formatFailure } from "./_lib/formatFailure";
import { joinCommandWords } from "./_lib/joinCommandWords";
import { addMarks, removeAllMarks, removeMarks } from "./_lib/numberMarks";
import type { CliContext } from "./cliContext";
import type { CommandDefinition, CommandOptions, CommandOutput } from "./commandDefinition";
import { COMMANDS } from "./commands";
import { connectOperator } from "./connectOperator";
import { chooseExitCode, ExitCode } from "./exitCode";

const PROGRAM_NAME = "redwinglift";

interface ParsedCommand {
    readonly definition: CommandDefinition;
    readonly words: readonly string[];
    readonly options: CommandOptions;
}

/**
 * Runs one command. Output goes to the context's streams; nothing is thrown.
 *
 * @param words - The words after the program's name
 * @param context - The outside
 * @returns The exit code
 * @example
 * process.exitCode = await runCli(process.argv.slice(2), context);
 */
export async function runCli(words: readonly string[], context: CliContext): Promise<number> {
    const isJson = words.includes("--json");
    const parsed = parseCommand(words, context);
    if (typeof parsed === "number") {
        return parsed;
    }
    if ("kind" in parsed) {
        return reportFailure(parsed, isJson, context);
    }
    const result = await runDefinition(parsed, context);
    if (result.isErr()) {
        return reportFailure(result.error, isJson, context);
    }
    const { value, text, exitCode } = result.value;
    const shown = isJson ? JSON.stringify(value) : text;
    if (shown !== undefined && shown !== "") {
        context.write(`${shown}\n`);
    }
    return exitCode ?? ExitCode.Ok;
}

function runDefinition(parsed: ParsedCommand, context: CliContext): Promise<Result<CommandOutput, Failure>> {
    const { definition, words, options } = parsed;
    const connect = () => connectOperator(options, context);
    const running = (async () => definition.run({ words, options, context, connect }))();
    return Promise.resolve(
        ResultAsync.fromPromise(running, convertError).andThen((result: Result<CommandOutput, Failure>) => result),
    );
}

function convertError(error: unknown): Failure {
    if (error instanceof FailureError) {
        return error.failure;
    }
    return createFailure(FailureKind.Internal, error instanceof Error ? error.message : "unknown error");
}

/** Gives the command to run, a failure of usage, or the exit code after a help text or the version was printed. */
function parseCommand(words: readonly string[], context: CliContext): ParsedCommand | Failure | number {
    const joined = joinCommandWords(addMarks(words), COMMANDS);
    if (joined.group !== undefined) {
        return showGroup(joined.group, words.includes("--help") || words.includes("-h"), context);
    }
    const program = createProgram(context);
    try {
        program.parse(["", PROGRAM_NAME, ...joined.words], { run: false });
        if (program.options["help"] === true || program.options["version"] === true) {
            return ExitCode.Ok;
        }
        const definition = COMMANDS.find(command => command.name === program.matchedCommandName);
        if (definition === undefined) {
            return createUsageFailure(describeUnknown(program));
        }
        checkUsage(program, definition);
        const options = Object.entries(program.options).map(([name, value]) => [name, removeMarks(value)] as const);
        return {
            definition,
            words: program.args.map(word => String(removeMarks(word))),
            options: Object.fromEntries(options),
        };
    } catch (error) {
        return createUsageFailure(
            error instanceof Error ? `${removeAllMarks(error.message)}.` : "The command line is not valid.",
        );
    }
}

function createProgram(context: CliContext): CAC {
    const program = cac(PROGRAM_NAME);
    for (const definition of COMMANDS) {
        const rawName = [definition.name, definition.parameters].filter(part => part !== undefined).join(" ");
        const command = program.command(rawName, definition.description);
        definition.options?.forEach(option => command.option(option.flag, option.description));
        definition.examples.forEach(example => command.example(`  $ ${example}`));
    }
    program.option("--operator <url>", "Node to talk to (default: http://127.0.0.1:8081) [REDWINGLIFT_OPERATOR_URL]");
    program.option("--json", "Print JSON in place of tables");
    program.example(`  $ ${PROGRAM_NAME} dev`);
    program.example(`  $ REDWINGLIFT_OPERATOR_KEY=... ${PROGRAM_NAME} status`);
    program.help(sections => sections.filter(section => section.title?.startsWith("For more info") !== true));
    program.version(context.programVersion);
    return program;
}

function checkUsage(program: CAC, definition: CommandDefinition): void {
    const command = program.matchedCommand;
    if (definition.takesAnyOption !== true) {
        command?.checkUnknownOptions();
        command?.checkUnusedArgs();
    }
    command?.checkOptionValue();
    command?.checkRequiredArgs();
}

function describeUnknown(program: CAC): string {
    const [first] = program.args;
    return first === undefined
        ? `Give a command; ${PROGRAM_NAME} --help lists them.`
        : `There is no command ${String(removeMarks(first))}; ${PROGRAM_NAME} --help lists them.`;
}

function showGroup(group: string, isHelp: boolean, context: CliContext): number {
    const commands = COMMANDS.filter(command => command.name.startsWith(`${group} `));
    const lines = commands.map(command => `  ${PROGRAM_NAME} ${command.name} ${command.parameters ?? ""}`.trimEnd());
    const text = [`Commands of ${group}:`, ...lines, "", "Add --help to any of them for its options and examples."];
    (isHelp ? context.write : context.writeError)(`${text.join("\n")}\n`);
    return isHelp ? ExitCode.Ok : ExitCode.Usage;
}

function reportFailure(failure: Failure, isJson: boolean, context: CliContext): number {
    context.writeError(`${formatFailure(failure, isJson)}\n`);
    return chooseExitCode(failure);
}
