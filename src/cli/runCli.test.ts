import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import fc from "fast-check";
import { type CliHarness, createCliHarness, SET_CLASS, SET_SERVICE } from "./_testing/createCliHarness";
import type { CliContext } from "./cliContext";
import { COMMANDS } from "./commands";
import { ExitCode } from "./exitCode";

let harness: CliHarness;

beforeEach(async () => {
    harness = await createCliHarness();
});
afterEach(() => harness.dispose());

describe("exit codes", () => {
    const cases: readonly (readonly [string, string, ExitCode, RegExp])[] = [
        ["an unknown command", "fly", ExitCode.Usage, /There is no command fly/],
        ["an unknown option", "status --nope", ExitCode.Usage, /Unknown option `--nope`/],
        ["a missing word", "class show", ExitCode.Usage, /missing required args/],
        ["a word too many", "status now", ExitCode.Usage, /Unused args/],
        ["an option without value", "dump --task", ExitCode.Usage, /value is missing/],
        ["an option given twice", "dump --task a --task b", ExitCode.Usage, /--task is given more than once/],
        ["a change of nothing", "class set digest", ExitCode.Usage, /Give at least one of --latency-target/],
        ["a bad duration", "class set digest --deadline soon", ExitCode.Usage, /--deadline must be a duration/],
        [
            "an item that is not there",
            "class show digest",
            ExitCode.Refused,
            /^not_found: There is no class digest\.\n$/,
        ],
        [
            "an item that lacks fields",
            "service set assistant --kind model",
            ExitCode.Refused,
            /^invalid_configuration: /,
        ],
        [
            "a reference to nothing",
            "account set depot --default-class none",
            ExitCode.Refused,
            /there is no class none/,
        ],
        ["a stale revision", `${SET_CLASS} --based-on 7`, ExitCode.Conflict, /^revision_conflict: .* Now: \[/],
        ["no node", "status --operator http://127.0.0.1:1", ExitCode.Unreachable, /^endpoint_failed: /],
        ["a key in the clear", "status --operator http://10.0.0.1:1", ExitCode.Usage, /on loopback, or https/],
    ];
    for (const [what, line, exitCode, expected] of cases) {
        it(`tell of ${what}`, async () => {
            const outcome = await harness.runLine(line);
            assert.equal(outcome.exitCode, exitCode, outcome.error);
            assert.match(outcome.error, expected);
            assert.equal(outcome.out, "");
        });
    }

    it("tell of a missing and of a wrong key", async () => {
        const { exitCode } = await harness.runLine("status", { environment: {} });
        assert.equal(exitCode, ExitCode.Usage);
        const environment = {
            REDWINGLIFT_OPERATOR_URL: harness.url,
            REDWINGLIFT_OPERATOR_KEY: "rwl_wrong",
        };
        const wrong = await harness.runLine("status", { environment });
        assert.equal(wrong.exitCode, ExitCode.Unauthenticated);
        assert.match(wrong.error, /^unauthenticated: The operator key is not known\.\n$/);
    });

    it("give the whole failure as JSON when asked", async () => {
        const { error } = await harness.runLine(`${SET_CLASS} --based-on 7 --json`);
        const failure = (JSON.parse(error) as { error: Record<string, unknown> }).error;
        assert.equal(failure["type"], "revision_conflict");
        assert.equal((failure["details"] as Record<string, unknown>)["revision"], 0);
    });

    it("say that a change may have been made when its answer is lost", async () => {
        const server = http.createServer((request, response) => {
            if (request.method === "GET") {
                response.end(JSON.stringify({ revision: 0, item: { name: "assistant" } }));
            } else {
                request.resume().on("end", () => request.socket.destroy());
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const lost = await harness.runLine(`${SET_SERVICE} --operator ${url}`);
        server.close();
        assert.equal(lost.exitCode, ExitCode.OutcomeUnknown, lost.error);
    });
});

describe("the command line", () => {
    for (const command of COMMANDS) {
        it(`has help with an example on ${command.name}`, async () => {
            const { exitCode, out } = await harness.runLine(`${command.name} --help`);
            assert.equal(exitCode, ExitCode.Ok);
            assert.match(out, /Examples:\n {2}\$ \S*/);
            assert.ok(command.examples.every(example => example.includes(`redwinglift ${command.name}`)));
        });
    }

    it("lists every command in its help", async () => {
        const { out } = await harness.runLine("--help");
        for (const command of COMMANDS) {
            assert.match(out, new RegExp(`^ {2}${command.name}`, "m"));
        }
    });

    it("lists the commands of a group", async () => {
        assert.equal((await harness.runLine("class")).exitCode, ExitCode.Usage);
        assert.match((await harness.runLine("account key --help")).out, /redwinglift account key create <account>/);
    });

    it("prints its version", async () => {
        assert.match((await harness.runLine("--version")).out, /^redwinglift\/1\.2\.3 /);
    });

    it("takes options before the command", async () => {
        assert.equal((await harness.runLine(`--operator ${harness.url} --json class list`)).exitCode, 0);
    });

    it("lists every problem of the settings", async () => {
        const outcome = await harness.runLine("serve --caller-port x --unknown 1 --no-such 2");
        assert.equal(outcome.exitCode, ExitCode.Usage);
        assert.match(outcome.error, /--node-id or REDWINGLIFT_NODE_ID: must be given\n/);
        assert.match(outcome.error, /--caller-port: must be a whole number/);
        assert.match(outcome.error, /--unknown: no such flag\n/);
        assert.match(outcome.error, /--such: no such flag\n/);
        assert.match(outcome.error, /\n {2}2: not expected\n/);
    });

    it("starts a node with checked settings, or prints them and ends", async () => {
        const hash = "a".repeat(64);
        const urls = ["table", "objects", "cloud", "vm-list"].map(name => `--platform-${name}-url http://127.0.0.1:9`);
        const line = `serve --node-id 007 --vm-id v --region r --failure-domain f --operator-key-hashes ${hash} ${urls.join(" ")}`;
        const nodeIds: string[] = [];
        const runServe: CliContext["runServe"] = settings => {
            nodeIds.push(settings.nodeId);
            return Promise.resolve(0);
        };
        assert.equal((await harness.runLine(line, { environment: {}, runServe })).exitCode, 0);
        const printed = await harness.runLine(`${line} --print-settings`, { environment: {}, runServe });
        assert.equal(printed.exitCode, 0, printed.error);
        assert.match(printed.out, /--node-id +007 +flag/);
        assert.doesNotMatch(printed.out, new RegExp(hash));
        assert.deepEqual(nodeIds, ["007"]);
    });

    it("passes the options of dev on", async () => {
        const seen: unknown[] = [];
        const runDev: CliContext["runDev"] = ({ preset, callerPort }) => {
            seen.push(preset, callerPort);
            return Promise.resolve(0);
        };
        assert.equal((await harness.runLine("dev --preset derwent --caller-port 8090", { runDev })).exitCode, 0);
        assert.deepEqual(seen, ["derwent", 8_090]);
        assert.equal((await harness.runLine("dev --preset moon", { runDev })).exitCode, ExitCode.Usage);
    });

    it("answers any words with an exit code", async () => {
        const words = fc.array(
            fc.oneof(
                fc.string(),
                fc.constantFrom(
                    "class",
                    "set",
                    "list",
                    "--json",
                    "-",
                    "--",
                    "--no-x",
                    "config",
                    "diff",
                    "version",
                    "--help",
                    "__proto__",
                ),
            ),
            { maxLength: 6 },
        );
        const known = new Set(Object.values(ExitCode));
        await fc.assert(
            fc.asyncProperty(words, async line => {
                const outcome = await harness.runLine(line, { environment: {}, readFile: () => "" });
                assert.ok(known.has(outcome.exitCode) && outcome.exitCode !== ExitCode.Internal, outcome.error);
            }),
            { seed: 31, numRuns: 300 },
        );
    });
});
