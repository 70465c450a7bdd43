/**
 * @module Commands that show what nodes do.
 */
import { err, ok, type Result, safeTry } from "neverthrow";
import type { Failure } from "../../base/failure";
import { type VmRecord, VmRole } from "../../model/endpoint";
import type { NodeRevision } from "../../nodes/revisionExchange";
import type { Dump } from "../../queries/collectDump";
import type { InvariantView } from "../../queries/listInvariants";
import type { StatusView } from "../../queries/readStatus";
import type { FleetGroup } from "../../queries/summarizeFleet";
import type { JobView } from "../../tasks/jobs/jobClient";
import { formatTable } from "../_lib/formatTable";
import { createUsageFailure } from "../_lib/createUsageFailure";
import { parseInteger, parseText, readOption } from "../_lib/readOption";
import type { CommandDefinition, CommandOutput, Invocation } from "../commandDefinition";

interface Items<T> {
    readonly items: readonly T[];
}

type Cells = readonly (string | number)[];

/** Commands that change nothing but `job cancel`. */
export const STATE_COMMANDS: readonly CommandDefinition[] = [
    {
        name: "status",
        description: "Show the state of a node",
        examples: ["redwinglift status", "redwinglift status --operator https://10.0.0.4:8081 --json"],
        run: invocation =>
            safeTry(async function* () {
                const client = yield* invocation.connect();
                const status = yield* await client.readQuery<StatusView>("/status");
                const rows = Object.entries(status).map(([field, value]) => [field, String(value)]);
                return ok<CommandOutput>({ value: status, text: formatTable(["field", "value"], rows) });
            }),
    },
    {
        name: "dump",
        description: "Print the state of every task of a node as JSON, without keys and bodies",
        options: [{ flag: "--task <name>", description: "Only the task of this name" }],
        examples: ["redwinglift dump", "redwinglift dump --task routing"],
        run: invocation =>
            safeTry(async function* () {
                const task = yield* readOption(invocation.options, "task", parseText, "the name of a task");
                const client = yield* invocation.connect();
                const path = task === undefined ? "/dump" : `/dump?task=${encodeURIComponent(task)}`;
                const dump = yield* await client.readQuery<Dump>(path);
                return ok<CommandOutput>({ value: dump, text: JSON.stringify(dump, undefined, 2) });
            }),
    },
    {
        name: "node list",
        description: "List the nodes and the revision that each has in force",
        examples: ["redwinglift node list"],
        run: listRows<NodeRevision>("/nodes", ["node", "region", "failure domain", "revision", "state"], node => [
            node.nodeId,
            node.region,
            node.failureDomain,
            node.revision,
            node.isSuspect ? "suspect" : "alive",
        ]),
    },
    {
        name: "vm list",
        description: "List the VMs that a node knows",
        examples: ["redwinglift vm list"],
        run: listRows<VmRecord>(
            "/vms",
            ["vm", "role", "service", "version", "failure domain", "class", "state"],
            vm => [
                vm.vmId,
                vm.role,
                vm.serviceName ?? "",
                vm.version ?? "",
                vm.failureDomain,
                vm.machineClass,
                vm.state,
            ],
        ),
    },
    {
        name: "runner list",
        description: "List the model runners and application runners that a node knows",
        examples: ["redwinglift runner list"],
        run: invocation => listRunners(invocation),
    },
    {
        name: "fleet",
        description: "Count the VMs behind each service",
        examples: ["redwinglift fleet"],
        run: listRows<FleetGroup>(
            "/fleet",
            ["service", "version", "failure domain", "class", "reclaimable", "live", "leaving"],
            group => [
                group.serviceName,
                group.version,
                group.failureDomain,
                group.machineClass,
                group.isReclaimable ? "yes" : "no",
                group.live,
                group.leaving,
            ],
        ),
    },
    {
        name: "invariant list",
        description: "List the invariants and how often a node found each broken",
        examples: ["redwinglift invariant list"],
        run: listRows<InvariantView>("/invariants", ["invariant", "breaches"], view => [view.invariant, view.breaches]),
    },
    {
        name: "job list",
        parameters: "<account>",
        description: "List the newest jobs of an account",
        options: [
            { flag: "--limit <count>", description: "Most jobs (default: 50)" },
            { flag: "--after <job>", description: "Only jobs older than this one" },
        ],
        examples: ["redwinglift job list contact-centre --limit 10"],
        run: invocation => listJobs(invocation),
    },
    {
        name: "job show",
        parameters: "<account> <job>",
        description: "Show a job, without its answer",
        examples: ["redwinglift job show contact-centre 01JE0000000000000000000000"],
        run: invocation => handleJob(invocation, "GET"),
    },
    {
        name: "job cancel",
        parameters: "<account> <job>",
        description: "Cancel a job that has not ended",
        examples: ["redwinglift job cancel contact-centre 01JE0000000000000000000000"],
        run: invocation => handleJob(invocation, "DELETE"),
    },
];

function listRows<T>(
    path: string,
    head: readonly string[],
    buildRow: (item: T) => Cells,
): (invocation: Invocation) => PromiseLike<Result<CommandOutput, Failure>> {
    return invocation =>
        safeTry(async function* () {
            const client = yield* invocation.connect();
            const answer = yield* await client.readQuery<Items<T>>(path);
            return ok<CommandOutput>({ value: answer, text: formatTable(head, answer.items.map(buildRow)) });
        });
}

function listRunners(invocation: Invocation): PromiseLike<Result<CommandOutput, Failure>> {
    return safeTry(async function* () {
        const client = yield* invocation.connect();
        const answer = yield* await client.readQuery<Items<VmRecord>>("/vms");
        const items = answer.items.filter(vm => vm.role !== VmRole.Node);
        const rows = items.map(vm => [
            vm.vmId,
            vm.role,
            vm.serviceName ?? "",
            vm.version ?? "",
            `${vm.address}:${vm.port}`,
            vm.state,
            vm.reclaimAtWallMs === undefined ? "" : formatInstant(vm.reclaimAtWallMs),
        ]);
        const head = ["runner", "role", "service", "version", "address", "state", "reclaim at"];
        return ok<CommandOutput>({ value: { items }, text: formatTable(head, rows) });
    });
}

function listJobs(invocation: Invocation): PromiseLike<Result<CommandOutput, Failure>> {
    const [account = ""] = invocation.words;
    return safeTry(async function* () {
        const limit = yield* readOption(invocation.options, "limit", parseInteger, "a whole number");
        const after = yield* readOption(invocation.options, "after", parseText, "the id of a job");
        const parameters = new URLSearchParams({ account });
        if (limit !== undefined) {
            parameters.set("limit", String(limit));
        }
        if (after !== undefined) {
            parameters.set("after", after);
        }
        const client = yield* invocation.connect();
        const answer = yield* await client.readQuery<Items<JobView>>(`/jobs?${parameters.toString()}`);
        const rows = answer.items.map(job => [
            job.jobId,
            job.className,
            job.model,
            job.state,
            formatInstant(job.acceptedAtWallMs),
            formatInstant(job.deadlineWallMs),
            job.failure?.kind ?? "",
        ]);
        const head = ["job", "class", "model", "state", "accepted", "deadline", "failure"];
        return ok<CommandOutput>({ value: { items: answer.items.map(removeAnswer) }, text: formatTable(head, rows) });
    });
}

function handleJob(invocation: Invocation, method: "GET" | "DELETE"): PromiseLike<Result<CommandOutput, Failure>> {
    const [account = "", jobId = ""] = invocation.words;
    const path = `/jobs/${encodeURIComponent(account)}/${encodeURIComponent(jobId)}`;
    return safeTry(async function* () {
        if (account === "" || jobId === "") {
            return err(createUsageFailure("Give the account and the job."));
        }
        const client = yield* invocation.connect();
        const job = yield* method === "GET"
            ? await client.readQuery<JobView>(path)
            : await client.sendCommand<JobView>("DELETE", path);
        const shown = removeAnswer(job);
        const rows = Object.entries(shown).map(([field, value]) => [
            field,
            typeof value === "object" ? JSON.stringify(value) : String(value),
        ]);
        return ok<CommandOutput>({ value: shown, text: formatTable(["field", "value"], rows) });
    });
}

/** Answers belong to the account; operators see the counts only. */
function removeAnswer(job: JobView): Omit<JobView, "answer"> & { readonly usage?: unknown } {
    const { answer, ...rest } = job;
    return answer === undefined ? rest : { ...rest, usage: answer.usage };
}

function formatInstant(wallMs: number): string {
    return new Date(wallMs).toISOString();
}
