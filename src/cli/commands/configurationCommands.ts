/**
 * @module Commands for the configuration as a whole.
 */
import { err, ok, type Result, safeTry } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { createEmptyConfiguration } from "../../decisions/configuration/createEmptyConfiguration";
import type { AcceptedChange, Configuration } from "../../model/configuration";
import { LONGEST_IN_FORCE_WAIT_MS } from "../../operator/constants";
import { compareConfigurations, DifferenceKind, type ItemDifference } from "../../queries/compareConfigurations";
import type { ConfigurationDocument } from "../../queries/configurationDocument";
import { exportConfiguration } from "../../queries/exportConfiguration";
import { parseConfigurationFile } from "../../queries/parseConfigurationFile";
import { validateConfiguration } from "../../queries/validateConfiguration";
import type { InForceReport } from "../../tasks/configuration/configurationClient";
import { BASED_ON_OPTION, chooseBaseRevision } from "../_lib/changeItem";
import { createUsageFailure } from "../_lib/createUsageFailure";
import { parseDuration, parseInteger, readOption } from "../_lib/readOption";
import type { CliContext } from "../cliContext";
import type { CommandDefinition, CommandOutput } from "../commandDefinition";
import type { OperatorClient } from "../operatorClient";

const DEFAULT_WAIT_MS = 10_000;

const MARKS: Readonly<Record<DifferenceKind, string>> = {
    [DifferenceKind.Added]: "+",
    [DifferenceKind.Changed]: "~",
    [DifferenceKind.Removed]: "-",
};

/** Commands that export, check, compare, apply and wait. */
export const CONFIGURATION_COMMANDS: readonly CommandDefinition[] = [
    {
        name: "config export",
        description: "Print the configuration in force as a file",
        examples: ["redwinglift config export > redwinglift.yaml"],
        run: ({ connect }) =>
            safeTry(async function* () {
                const current = yield* await readConfiguration(yield* connect());
                return ok<CommandOutput>({ value: current, text: exportConfiguration(current).trimEnd() });
            }),
    },
    {
        name: "config check",
        parameters: "<file>",
        description: "Check a file by itself, without a node",
        examples: ["redwinglift config check redwinglift.yaml"],
        run: ({ words: [file = ""], context }) =>
            safeTry(async function* () {
                const wanted = yield* readDocument(context, file);
                yield* validateConfiguration({ ...createEmptyConfiguration(), ...wanted });
                return ok<CommandOutput>({ value: { isValid: true }, text: `${file}: valid` });
            }),
    },
    {
        name: "config diff",
        parameters: "<file>",
        description: "Show what applying a file would change",
        examples: ["redwinglift config diff redwinglift.yaml"],
        run: ({ words: [file = ""], context, connect }) =>
            safeTry(async function* () {
                const wanted = yield* readDocument(context, file);
                const current = yield* await readConfiguration(yield* connect());
                const differences = compareConfigurations(current, wanted);
                const value = { revision: current.revision, differences };
                return ok<CommandOutput>({ value, text: formatDifferences(differences) });
            }),
    },
    {
        name: "config apply",
        parameters: "<file>",
        description: "Make the configuration equal to a file, as one change",
        options: [BASED_ON_OPTION],
        examples: [
            "redwinglift config apply redwinglift.yaml",
            "redwinglift config apply redwinglift.yaml --based-on 12",
        ],
        run: ({ words: [file = ""], options, context, connect }) =>
            safeTry(async function* () {
                const wanted = yield* readDocument(context, file);
                const client = yield* connect();
                const current = yield* await readConfiguration(client);
                const basedOnRevision = yield* chooseBaseRevision(options, current.revision);
                const differences = compareConfigurations(current, wanted);
                if (differences.length === 0) {
                    return ok<CommandOutput>({
                        value: { revision: current.revision, items: [] },
                        text: "nothing to change",
                    });
                }
                yield* validateConfiguration({ ...current, ...wanted });
                const body = { basedOnRevision, items: differences.map(difference => difference.change) };
                const accepted = yield* await client.sendCommand<AcceptedChange>("POST", "/changes", body);
                const text = `${formatDifferences(differences)}\napplied at revision ${accepted.revision}`;
                return ok<CommandOutput>({ value: accepted, text });
            }),
    },
    {
        name: "config wait",
        parameters: "<revision>",
        description: "Wait until every live node has a revision in force",
        options: [{ flag: "--timeout <duration>", description: "Longest wait (default: 10s)" }],
        examples: ["redwinglift config wait 12 --timeout 30s"],
        run: ({ words: [text = ""], options, context, connect }) =>
            safeTry(async function* () {
                const revision = parseInteger(text);
                if (revision === undefined) {
                    return err(createUsageFailure("The revision must be a whole number."));
                }
                const timeoutMs = yield* readOption(options, "timeout", parseDuration, "a duration such as 30s");
                const client = yield* connect();
                const report = yield* await waitUntilInForce(
                    client,
                    revision,
                    timeoutMs ?? DEFAULT_WAIT_MS,
                    context.clock,
                );
                if (!report.isInForce) {
                    return err(createLateFailure(report));
                }
                return ok<CommandOutput>({
                    value: report,
                    text: `revision ${revision} is in force on ${report.nodeCount} nodes`,
                });
            }),
    },
];

function readConfiguration(client: OperatorClient): Promise<Result<Configuration, Failure>> {
    return client.readQuery<Configuration>("/configuration");
}

function readDocument(context: CliContext, file: string): Result<ConfigurationDocument, Failure> {
    try {
        return parseConfigurationFile(context.readFile(file));
    } catch (error) {
        const code = (error as NodeJS.ErrnoException).code ?? "unreadable";
        return err(createUsageFailure(`${file} can't be read (${code}).`));
    }
}

async function waitUntilInForce(
    client: OperatorClient,
    revision: number,
    timeoutMs: number,
    clock: Clock,
): Promise<Result<InForceReport, Failure>> {
    const endAtMs = clock.readMonotonicMs() + timeoutMs;
    for (;;) {
        const leftMs = Math.max(0, Math.ceil(endAtMs - clock.readMonotonicMs()));
        const path = `/configuration/in-force?revision=${revision}&timeoutMs=${Math.min(leftMs, LONGEST_IN_FORCE_WAIT_MS)}`;
        const report = await client.readQuery<InForceReport>(path);
        if (report.isErr() || report.value.isInForce || leftMs <= LONGEST_IN_FORCE_WAIT_MS) {
            return report;
        }
    }
}

function createLateFailure(report: InForceReport): Failure {
    const lacking = report.lacking.map(
        node => `${node.nodeId} (${node.isSuspect ? "suspect, " : ""}at ${node.revision})`,
    );
    const message = `Revision ${report.revision} is not in force on ${lacking.join(", ")}.`;
    return createFailure(FailureKind.DeadlineExceeded, message, { details: { ...report } });
}

function formatDifferences(differences: readonly ItemDifference[]): string {
    return differences.length === 0 ? "no differences" : differences.flatMap(formatDifference).join("\n");
}

function formatDifference({ difference, change, fields }: ItemDifference): readonly string[] {
    const lines = fields.map(({ field, from, to }) => `    ${field}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`);
    return [`${MARKS[difference]} ${change.kind} ${change.name}`, ...lines];
}
