/**
 * @module What operators can change.
 */
import { err, type Result } from "neverthrow";
import type { Failure } from "../base/failure";
import { type ItemChange, ItemKind } from "../model/configuration";
import type { OperatorDependencies } from "../operator/operatorDependencies";
import type { OperatorRoute } from "../operator/operatorRoute";
import { parseChange } from "./parseChange";
import { parseItemChange, parseRemoval } from "./parseItemChange";

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
            handler: async ({ body }) => {
                const change = parseChange(body);
                return change.isErr() ? err(change.error) : dependencies.configuration.commitChange(change.value);
            },
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

async function commitItem(
    dependencies: OperatorDependencies,
    parsed: Result<{ readonly basedOnRevision: number; readonly item: ItemChange }, Failure>,
): Promise<Result<unknown, Failure>> {
    if (parsed.isErr()) {
        return err(parsed.error);
    }
    const { basedOnRevision, item } = parsed.value;
    return dependencies.configuration.commitChange({ basedOnRevision, items: [item] });
}
