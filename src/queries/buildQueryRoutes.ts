/**
 * @module What operators can ask.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { Configuration } from "../model/configuration";
import { DEFAULT_JOB_COUNT, LARGEST_JOB_COUNT, LONGEST_IN_FORCE_WAIT_MS } from "../operator/constants";
import type { OperatorDependencies } from "../operator/operatorDependencies";
import type { OperatorHandler, OperatorRoute } from "../operator/operatorRoute";
import { collectDump } from "./collectDump";
import { listInvariants } from "./listInvariants";
import { readFleetPlan } from "./readFleetPlan";
import { readStatus } from "./readStatus";
import { summarizeFleet } from "./summarizeFleet";

type Collection = Exclude<keyof Configuration, "revision">;

/** Collections of the configuration by their segment in paths. */
export const COLLECTION_PATHS: Readonly<Record<string, Collection>> = {
    classes: "classes",
    accounts: "accounts",
    services: "services",
    "endpoint-traits": "endpointTraits",
    "version-moves": "versionMoves",
};

const jobListParameters = z.object({
    account: z.string("must be given"),
    after: z.string().optional(),
    limit: z.coerce.number().int().min(1).max(LARGEST_JOB_COUNT).default(DEFAULT_JOB_COUNT),
});

const inForceParameters = z.object({
    revision: z.coerce.number().int().min(0),
    timeoutMs: z.coerce.number().int().min(0).max(LONGEST_IN_FORCE_WAIT_MS).default(0),
});

/**
 * Builds the routes of all queries. None of them changes anything.
 *
 * @param dependencies - The handles that they use
 * @returns The routes
 * @example
 * const routes = buildQueryRoutes(dependencies);
 */
export function buildQueryRoutes(dependencies: OperatorDependencies): readonly OperatorRoute[] {
    const { configuration, directory, jobs, nodes } = dependencies;
    return [
        createQuery("read_status", "/status", () => ok(readStatus(dependencies))),
        createQuery("dump", "/dump", ({ searchParameters }) =>
            ok(collectDump(dependencies, { task: searchParameters.get("task") ?? undefined })),
        ),
        createQuery("read_configuration", "/configuration", () => ok(configuration.readCurrent())),
        {
            operation: "wait_in_force",
            method: "GET",
            path: "/configuration/in-force",
            handler: async ({ searchParameters }) => {
                const parsed = inForceParameters.safeParse(Object.fromEntries(searchParameters));
                return parsed.success
                    ? ok(await configuration.waitUntilInForce(parsed.data.revision, parsed.data.timeoutMs))
                    : err(createParameterFailure(parsed.error));
            },
        },
        createQuery("list_nodes", "/nodes", () => ok({ items: nodes.listRevisions() })),
        createQuery("list_vms", "/vms", () => ok({ items: directory.listVms() })),
        createQuery("summarize_fleet", "/fleet", () => ok({ items: summarizeFleet(directory.listVms()) })),
        {
            operation: "read_fleet_plan",
            method: "GET",
            path: "/fleet/plan",
            handler: async () => readFleetPlan(dependencies.fleet),
        },
        createQuery("list_invariants", "/invariants", () => ok({ items: listInvariants() })),
        ...Object.keys(COLLECTION_PATHS).flatMap(path => buildCollectionQueries(path, dependencies)),
        {
            operation: "list_jobs",
            method: "GET",
            path: "/jobs",
            handler: async ({ searchParameters }) => {
                const parsed = jobListParameters.safeParse(Object.fromEntries(searchParameters));
                if (!parsed.success) {
                    return err(createParameterFailure(parsed.error));
                }
                const { account, after, limit } = parsed.data;
                const listed = await jobs.listJobs(account, { after, limit });
                return listed.map(items => ({ items }));
            },
        },
        {
            operation: "read_job",
            method: "GET",
            path: "/jobs/:account/:id",
            handler: async ({ pathParameters: [accountName = "", jobId = ""] }) => jobs.readJob(accountName, jobId),
        },
    ];
}

function createQuery(
    operation: string,
    path: string,
    read: (request: Parameters<OperatorHandler>[0]) => Result<unknown, Failure>,
): OperatorRoute {
    return { operation, method: "GET", path, handler: request => Promise.resolve(read(request)) };
}

function buildCollectionQueries(path: string, dependencies: OperatorDependencies): readonly OperatorRoute[] {
    const readItems = () => {
        const current = dependencies.configuration.readCurrent();
        return { revision: current.revision, items: current[COLLECTION_PATHS[path] ?? "classes"] };
    };
    return [
        createQuery(`list_${path}`, `/${path}`, () => {
            const { revision, items } = readItems();
            return ok({ revision, items: Object.values(items) });
        }),
        createQuery(`read_${path}`, `/${path}/:name`, ({ pathParameters: [name = ""] }) => {
            const { revision, items } = readItems();
            return Object.hasOwn(items, name)
                ? ok({ revision, item: items[name] })
                : err(
                      createFailure(FailureKind.NotFound, `There is no such item in ${path}.`, {
                          details: { revision },
                      }),
                  );
        }),
    ];
}

function createParameterFailure(error: z.ZodError): Failure {
    const problems = error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`);
    return createFailure(FailureKind.InvalidRequest, "Parameters of the query are not valid.", {
        details: { problems },
    });
}
