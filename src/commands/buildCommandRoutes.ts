/**
 * @module What operators can change.
 */
import { err, type Result } from "neverthrow";
import type { Failure } from "../base/failure";
import { type ConfigurationChange, ItemKind } from "../model/configuration";
import type { OperatorDependencies } from "../operator/operatorDependencies";
import type { OperatorRoute } from "../operator/operatorRoute";
import { checkMoveChanges } from "./checkMoveChanges";
import { parseChange } from "./parseChange";
import { type BasedItemChange, parseItemChange, parseRemoval } from "./parseItemChange";

const KIND_PATHS: Readonly<Record<ItemKind, string>> = {
    [ItemKind.Class]: "classes",
    [ItemKind.Account]: "accounts",
    [ItemKind.Service]: "services",
    [ItemKind.EndpointTraits]: "endpoint-traits",
    [ItemKind.VersionMove]: "version-moves",
};

/**
 * Builds the routes of all commands. Every change of the configuration carries the revision that it was based on.
 *
 * @param dependencies - The handles that they use
 * @returns The routes
 * @example
 * const routes = buildCommandRoutes(dependencies);
 */
export function buildCommandRoutes(dependencies: OperatorDependencies): readonly OperatorRoute[] {
    return [
        {
            operation: "apply_change",
            method: "POST",
            path: "/changes",
            handler: ({ body }) => commitChange(dependencies, parseChange(body)),
        },
        ...Object.values(ItemKind).flatMap(kind => buildItemCommands(kind, dependencies)),
        {
            operation: "cancel_job",
            method: "DELETE",
            path: "/jobs/:account/:id",
            handler: async ({ pathParameters: [accountName = "", jobId = ""] }) =>
                dependencies.jobs.cancelJob(accountName, jobId),
        },
    ];
}

function buildItemCommands(kind: ItemKind, dependencies: OperatorDependencies): readonly OperatorRoute[] {
    const path = `/${KIND_PATHS[kind]}/:name`;
    return [
        {
            operation: `set_${kind}`,
            method: "PUT",
            path,
            handler: ({ pathParameters: [name = ""], body }) =>
                commitItem(dependencies, parseItemChange(kind, name, body)),
        },
        {
            operation: `remove_${kind}`,
            method: "DELETE",
            path,
            handler: ({ pathParameters: [name = ""], searchParameters }) =>
                commitItem(
                    dependencies,
                    parseRemoval(kind, name, searchParameters.get("basedOnRevision") ?? undefined),
                ),
        },
    ];
}

function commitItem(
    dependencies: OperatorDependencies,
    parsed: Result<BasedItemChange, Failure>,
): Promise<Result<unknown, Failure>> {
    const change = parsed.map(({ basedOnRevision, item }) => ({ basedOnRevision, items: [item] }));
    return commitChange(dependencies, change);
}

async function commitChange(
    dependencies: OperatorDependencies,
    parsed: Result<ConfigurationChange, Failure>,
): Promise<Result<unknown, Failure>> {
    const { clock, configuration } = dependencies;
    const checked = parsed.andThen(change => checkMoveChanges(configuration.readCurrent(), change, clock.readWallMs()));
    return checked.isErr() ? err(checked.error) : configuration.commitChange(checked.value);
}
