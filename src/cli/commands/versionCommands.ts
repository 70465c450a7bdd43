/**
 * @module Commands for version moves.
 */
import { err, ok, safeTry } from "neverthrow";
import { ulid } from "ulid";
import { createFailure } from "../../base/createFailure";
import { FailureKind } from "../../base/failure";
import { type AcceptedChange, MoveState, type Service, type VersionMove } from "../../model/configuration";
import { BASED_ON_OPTION, chooseBaseRevision, readItem, setItem } from "../_lib/changeItem";
import { createUsageFailure } from "../_lib/createUsageFailure";
import { formatTable } from "../_lib/formatTable";
import { parseInstant } from "../_lib/parseInstant";
import { parseDuration, parseText, readOption, readRequiredOption } from "../_lib/readOption";
import type { CommandDefinition, CommandOutput } from "../commandDefinition";
import { ExitCode } from "../exitCode";

const PATH = "/version-moves";
const WATCH_PERIOD_MS = 2_000;
const DEFAULT_WATCH_MS = 3_600_000;
const INSTANT = "a time to come, such as 2027-01-31T18:00:00Z or +45m";

interface Moves {
    readonly revision: number;
    readonly items: readonly VersionMove[];
}

/** Commands that start, list, watch and take back version moves. */
export const VERSION_COMMANDS: readonly CommandDefinition[] = [
    {
        name: "version move",
        parameters: "<service>",
        description: "Move a service's traffic to another version by a time; it ends as done or taken back by then",
        options: [
            { flag: "--to <version>", description: "Version to move to" },
            { flag: "--done-by <time>", description: "ISO 8601 with time zone, or a time from now such as +45m" },
            BASED_ON_OPTION,
        ],
        examples: [
            "redwinglift version move assistant --to v2 --done-by 2027-01-31T18:00:00Z",
            "redwinglift version move assistant --to v2 --done-by +45m",
        ],
        run: ({ words: [serviceName = ""], options, context, connect }) =>
            safeTry(async function* () {
                const nowWallMs = context.clock.readWallMs();
                const toVersion = yield* readRequiredOption(options, "to", parseText, "a version");
                const doneByWallMs = yield* readRequiredOption(
                    options,
                    "doneBy",
                    text => parseComing(text, nowWallMs),
                    INSTANT,
                );
                const client = yield* connect();
                const { revision, item } = yield* await readItem<Service>(client, "/services", serviceName);
                if (item === undefined) {
                    return err(createFailure(FailureKind.NotFound, `There is no service ${serviceName}.`));
                }
                const base = yield* chooseBaseRevision(options, revision);
                const name = `move-${ulid(nowWallMs).toLowerCase()}`;
                const move: VersionMove = {
                    name,
                    serviceName,
                    fromVersion: item.version,
                    toVersion,
                    doneByWallMs,
                    state: MoveState.Moving,
                    share: 0,
                    reason: "started by an operator",
                };
                const accepted = yield* await setItem(client, PATH, name, move, base);
                const text = `${name}: ${serviceName} moves from ${item.version} to ${toVersion} by ${formatInstant(doneByWallMs)}, at revision ${accepted.revision}`;
                return ok<CommandOutput>({ value: { revision: accepted.revision, move }, text });
            }),
    },
    {
        name: "version list",
        description: "List version moves, the newest first",
        options: [{ flag: "--service <service>", description: "Only moves of this service" }],
        examples: ["redwinglift version list --service assistant"],
        run: ({ options, connect }) =>
            safeTry(async function* () {
                const service = yield* readOption(options, "service", parseText, "the name of a service");
                const client = yield* connect();
                const moves = yield* await client.readQuery<Moves>(PATH);
                const items = sortMoves(moves.items).filter(
                    move => service === undefined || move.serviceName === service,
                );
                return ok<CommandOutput>({ value: { revision: moves.revision, items }, text: formatMoves(items) });
            }),
    },
    {
        name: "version watch",
        parameters: "<move|service>",
        description: "Follow a move until it has ended; exit code 0 if done, 1 if taken back",
        options: [{ flag: "--timeout <duration>", description: "Longest wait (default: 1h)" }],
        examples: [
            "redwinglift version watch assistant",
            "redwinglift version watch move-01je0000000000000000000000 --timeout 30m",
        ],
        run: ({ words: [name = ""], options, context, connect }) =>
            safeTry(async function* () {
                const timeoutMs = yield* readOption(options, "timeout", parseDuration, "a duration such as 30m");
                const endAtMs = context.clock.readMonotonicMs() + (timeoutMs ?? DEFAULT_WATCH_MS);
                const client = yield* connect();
                let lastLine = "";
                for (;;) {
                    const move = findMove(yield* await client.readQuery<Moves>(PATH), name);
                    if (move === undefined) {
                        return err(createFailure(FailureKind.NotFound, `There is no version move ${name}.`));
                    }
                    const line = formatMove(move);
                    if (move.state !== MoveState.Moving) {
                        const exitCode = move.state === MoveState.Done ? ExitCode.Ok : ExitCode.Refused;
                        return ok<CommandOutput>({ value: move, text: line, exitCode });
                    }
                    if (line !== lastLine && options["json"] === undefined) {
                        context.write(`${line}\n`);
                        lastLine = line;
                    }
                    if (context.clock.readMonotonicMs() >= endAtMs) {
                        return err(createFailure(FailureKind.DeadlineExceeded, `${move.name} is still moving.`));
                    }
                    await context.clock.waitMs(WATCH_PERIOD_MS);
                }
            }),
    },
    {
        name: "version take-back",
        parameters: "<move|service>",
        description: "Take a move back now: no more traffic goes to its new version",
        options: [BASED_ON_OPTION],
        examples: ["redwinglift version take-back assistant"],
        run: ({ words: [name = ""], options, connect }) =>
            safeTry(async function* () {
                const client = yield* connect();
                const moves = yield* await client.readQuery<Moves>(PATH);
                const move = findMove(moves, name);
                if (move === undefined) {
                    return err(createFailure(FailureKind.NotFound, `There is no version move ${name}.`));
                }
                if (move.state !== MoveState.Moving) {
                    return err(createUsageFailure(`${move.name} has ended as ${move.state}.`));
                }
                const base = yield* chooseBaseRevision(options, moves.revision);
                const value = { ...move, state: MoveState.TakenBack, share: 0, reason: "taken back by an operator" };
                const accepted = yield* await setItem(client, PATH, move.name, value, base);
                const text = `${move.name} taken back at revision ${accepted.revision}`;
                return ok<CommandOutput>({ value: { revision: accepted.revision, move: value }, text });
            }),
    },
    {
        name: "version remove",
        parameters: "<move>",
        description: "Remove the record of a move that has ended",
        options: [BASED_ON_OPTION],
        examples: ["redwinglift version remove move-01je0000000000000000000000"],
        run: ({ words: [name = ""], options, connect }) =>
            safeTry(async function* () {
                const client = yield* connect();
                const { revision, item } = yield* await readItem<VersionMove>(client, PATH, name);
                if (item === undefined) {
                    return err(createFailure(FailureKind.NotFound, `There is no version move ${name}.`));
                }
                const base = yield* chooseBaseRevision(options, revision);
                const path = `${PATH}/${encodeURIComponent(name)}?basedOnRevision=${base}`;
                const accepted = yield* await client.sendCommand<AcceptedChange>("DELETE", path);
                return ok<CommandOutput>({ value: accepted, text: `${name} removed at revision ${accepted.revision}` });
            }),
    },
];

function parseComing(text: string, nowWallMs: number): number | undefined {
    const instant = parseInstant(text, nowWallMs);
    return instant !== undefined && instant > nowWallMs ? instant : undefined;
}

/** Finds a move by its name, or the newest of a service, one in progress first. */
function findMove(moves: Moves, name: string): VersionMove | undefined {
    const candidates = sortMoves(moves.items).filter(move => move.name === name || move.serviceName === name);
    return candidates.find(move => move.state === MoveState.Moving) ?? candidates[0];
}

function sortMoves(moves: readonly VersionMove[]): readonly VersionMove[] {
    return [...moves].sort((left, right) => (left.name < right.name ? 1 : -1));
}

function formatMoves(moves: readonly VersionMove[]): string {
    const head = ["move", "service", "from", "to", "state", "share", "done by", "reason"];
    const rows = moves.map(move => [
        move.name,
        move.serviceName,
        move.fromVersion,
        move.toVersion,
        move.state,
        formatShare(move.share),
        formatInstant(move.doneByWallMs),
        move.reason,
    ]);
    return formatTable(head, rows);
}

function formatMove(move: VersionMove): string {
    const { name, serviceName, fromVersion, toVersion, state, share, reason } = move;
    return `${name}: ${serviceName} ${fromVersion} -> ${toVersion}: ${state}, share ${formatShare(share)}: ${reason}`;
}

function formatShare(share: number): string {
    return `${(share * 100).toFixed(1)}%`;
}

function formatInstant(wallMs: number): string {
    return new Date(wallMs).toISOString();
}
