/**
 * @module The command that asks a gateway node where a request would go.
 */
import { err, ok, type Result, safeTry } from "neverthrow";
import type { HttpTarget } from "../../adapters/_lib/httpTarget";
import type { Failure } from "../../base/failure";
import { decodeExplainQuery, encodeExplainQuery } from "../../gateway/explain/explainQuery";
import { createUsageFailure } from "../_lib/createUsageFailure";
import { formatExplanation } from "../_lib/formatExplanation";
import { parseText, readOption, readRequiredOption } from "../_lib/readOption";
import type { CommandDefinition, CommandOptions, CommandOutput } from "../commandDefinition";
import { requestExplanation } from "../requestExplanation";

enum OutputFormat {
    Table = "table",
    Json = "json",
}

/** Options that are values of the question, with what they must be. */
const QUERY_OPTIONS: Readonly<Record<string, string>> = {
    path: "a path that begins with /",
    host: "a host name",
    account: "the name of an account",
    model: "the name of a model",
    prefix: "ID:TOKENS,ID:TOKENS",
    tokens: "PROMPT,OUTPUT",
    tried: "ids of endpoints",
};
const PORT_MAX = 65_535;

/** The command; it changes nothing, and needs no key. */
export const EXPLAIN_COMMANDS: readonly CommandDefinition[] = [
    {
        name: "explain",
        description: "Explain where a request would go from a gateway node, and why, without sending it",
        options: [
            { flag: "--node <address>", description: "HOST:PORT of the node's internal listener" },
            { flag: "--path <path>", description: "Path of the request" },
            {
                flag: "--host <name>",
                description: "Host of the request (default: that of the only route with the path)",
            },
            { flag: "--account <name>", description: "Account whose request it is" },
            { flag: "--model <name>", description: "Model that the request needs" },
            { flag: "--prefix <parts>", description: "Parts of the prompt: ID:TOKENS,ID:TOKENS" },
            { flag: "--tokens <counts>", description: "Tokens of the prompt, and most of the answer: PROMPT,OUTPUT" },
            { flag: "--tried <endpoints>", description: "Endpoints that attempts were made at: ID,ID" },
            { flag: "--format <format>", description: "table or json (default: table)" },
        ],
        examples: [
            "redwinglift explain --node 10.0.0.4:7615 --path /v1/chat --account county --model assistant",
            "redwinglift explain --node 10.0.0.4:7615 --path /v1/chat --prefix sys:4000,own:200 --tokens 4200,400 --format json",
        ],
        run: ({ options }) =>
            safeTry(async function* () {
                const target = yield* readRequiredOption(options, "node", parseTarget, "HOST:PORT");
                const format = yield* readOption(options, "format", parseFormat, "table or json");
                const query = yield* readQuery(options);
                const explanation = yield* await requestExplanation(target, query);
                const text =
                    format === OutputFormat.Json ? JSON.stringify(explanation) : formatExplanation(explanation);
                return ok<CommandOutput>({ value: explanation, text });
            }),
    },
];

/** Reads the question, and checks it as the node does. */
function readQuery(options: CommandOptions): Result<string, Failure> {
    const values: Record<string, string | undefined> = {};
    for (const [name, expected] of Object.entries(QUERY_OPTIONS)) {
        const read = name === "path" ? readRequiredOption : readOption;
        const value = read(options, name, parseText, expected);
        if (value.isErr()) {
            return err(value.error);
        }
        values[name] = value.value;
    }
    const query = encodeExplainQuery(values);
    return decodeExplainQuery(query)
        .map(() => query)
        .mapErr(({ message }) => createUsageFailure(`--${message}`));
}

function parseTarget(text: string): HttpTarget | undefined {
    const match = /^(?:\[([0-9a-fA-F:.]+)\]|([A-Za-z0-9.-]+)):(\d{1,5})$/.exec(text);
    const address = match?.[1] ?? match?.[2];
    const port = Number(match?.[3]);
    return address === undefined || port < 1 || port > PORT_MAX ? undefined : { address, port };
}

function parseFormat(text: string): OutputFormat | undefined {
    return Object.values(OutputFormat).find(format => format === text);
}
