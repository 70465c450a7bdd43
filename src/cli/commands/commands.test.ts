import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { afterEach, beforeEach, describe, it } from "node:test";
import { MoveState, type VersionMove } from "../../model/configuration";
import { type CliHarness, createCliHarness, SET_CLASS, SET_SERVICE } from "../_testing/createCliHarness";
import { ExitCode } from "../exitCode";

let harness: CliHarness;

beforeEach(async () => {
    harness = await createCliHarness();
});
afterEach(() => harness.dispose());

describe("commands for items", () => {
    it("create, show, list and remove a class", async () => {
        await harness.runLines(SET_CLASS);
        const { classes } = harness.fakes.configuration.readCurrent();
        assert.deepEqual(classes["digest"], {
            name: "digest",
            latencyTargetMs: 1_200,
            tokenGapTargetMs: 28,
            deadlineMs: 120_000,
            costCeilingMicros: 900,
            isIdempotent: true,
        });
        assert.match(
            (await harness.runLines("class list")).out,
            /^class +latency target ms.*\ndigest +1200 +28 +120000 +900 +yes\n$/,
        );
        assert.match((await harness.runLines("class show digest")).out, /deadlineMs +120000/);
        await harness.runLines("class remove digest");
        assert.deepEqual(harness.fakes.configuration.readCurrent().classes, {});
    });

    it("leave fields alone that are not given", async () => {
        await harness.runLines(SET_CLASS, "class set digest --deadline 5m");
        const changed = harness.fakes.configuration.readCurrent().classes["digest"];
        assert.equal(changed?.deadlineMs, 300_000);
        assert.equal(changed?.latencyTargetMs, 1_200);
    });

    it("keep versions as they are written", async () => {
        for (const version of ["1.10", "007", "1e3", "0x10", "2"]) {
            await harness.runLines(`service set assistant --kind model --serving-version ${version}`);
            assert.equal(harness.fakes.configuration.readCurrent().services["assistant"]?.version, version);
            await harness.runLines(`service set assistant --serving-version=${version}`);
            assert.equal(harness.fakes.configuration.readCurrent().services["assistant"]?.version, version);
        }
    });

    it("set endpoint traits", async () => {
        await harness.runLines(SET_SERVICE, "endpoint-traits set assistant/* --checks-fencing no");
        assert.equal(harness.fakes.configuration.readCurrent().endpointTraits["assistant/*"]?.checksFencing, false);
    });

    it("print JSON when asked", async () => {
        await harness.runLines(SET_CLASS);
        const { items, revision } = JSON.parse((await harness.runLines("class list --json")).out) as Record<
            string,
            unknown
        >;
        assert.equal(revision, 1);
        assert.equal((items as unknown[]).length, 1);
    });

    it("store only the hash of a key and show the key once", async () => {
        await harness.runLines(SET_CLASS, "account set depot --default-class digest");
        const created = await harness.runLines("account key create depot");
        const key = created.out.trim().split("\n").at(-1) ?? "";
        assert.match(key, /^rwl_[\w-]{43}$/);
        const hash = createHash("sha256").update(key).digest("hex");
        assert.deepEqual(harness.fakes.configuration.readCurrent().accounts["depot"]?.keyHashes, [hash]);
        assert.doesNotMatch(harness.fakes.logLines.join(), new RegExp(key));
        await harness.runLines(`account key remove depot ${hash.slice(0, 8)}`);
        assert.deepEqual(harness.fakes.configuration.readCurrent().accounts["depot"]?.keyHashes, []);
    });
});

describe("commands for version moves", () => {
    const findMove = (): VersionMove | undefined =>
        Object.values(harness.fakes.configuration.readCurrent().versionMoves)[0];

    it("start a move and take it back", async () => {
        await harness.runLines(SET_SERVICE, "version move assistant --to 2.0 --done-by +45m");
        const { name, ...move } = findMove()!;
        assert.match(name, /^move-[0-9a-z]{26}$/);
        assert.deepEqual(move, {
            serviceName: "assistant",
            fromVersion: "1.10",
            toVersion: "2.0",
            doneByWallMs: harness.clock.readWallMs() + 2_700_000,
            state: MoveState.Moving,
            share: 0,
            reason: "started by an operator",
        });
        assert.match((await harness.runLines("version list --service assistant")).out, /moving/);
        await harness.runLines("version take-back assistant");
        assert.equal(findMove()?.state, MoveState.TakenBack);
        assert.equal((await harness.runLine("version take-back assistant")).exitCode, ExitCode.Usage);
        assert.equal((await harness.runLine("version watch assistant")).exitCode, ExitCode.Refused);
        await harness.runLines(`version remove ${name}`);
        assert.equal(findMove(), undefined);
    });

    it("keep the record of a move in progress", async () => {
        await harness.runLines(SET_SERVICE, "version move assistant --to 2.0 --done-by +45m");
        const outcome = await harness.runLine(`version remove ${findMove()?.name}`);
        assert.equal(outcome.exitCode, ExitCode.Refused);
        assert.match(outcome.error, /is in progress; take it back before removing it/);
    });

    it("watch a move until it is done", async () => {
        await harness.runLines(SET_SERVICE, "version move assistant --to 2.0 --done-by 2100-01-01T00:00Z");
        const watched = harness.runLine("version watch assistant");
        while (!harness.fakes.logLines.at(-1)?.includes("list_version-moves")) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const move = findMove()!;
        const item = {
            kind: "version_move",
            name: move.name,
            value: { ...move, state: MoveState.Done, share: 1 },
        } as never;
        await harness.fakes.configuration.commitChange({ basedOnRevision: 2, items: [item] });
        let isOver = false;
        void watched.then(() => (isOver = true));
        while (!isOver) {
            harness.clock.advanceMs(2_000);
            await new Promise(resolve => setImmediate(resolve));
        }
        const { exitCode, out } = await watched;
        assert.equal(exitCode, ExitCode.Ok);
        assert.match(out, /share 0\.0%.*\n.*done, share 100\.0%/);
    });

    for (const time of ["yesterday", "2001-01-01T00:00:00Z", "+1x", "2100-01-01", "+0s"]) {
        it(`refuse ${time} as the time`, async () => {
            await harness.runLines(SET_SERVICE);
            const outcome = await harness.runLine(`version move assistant --to 2.0 --done-by ${time}`);
            assert.equal(outcome.exitCode, ExitCode.Usage);
            assert.match(outcome.error, /--done-by must be a time to come/);
        });
    }
});

describe("commands for configuration files", () => {
    it("export what can be checked, compared and applied", async () => {
        await harness.runLines(SET_CLASS, SET_SERVICE);
        harness.files["a.yaml"] = (await harness.runLines("config export")).out;
        assert.equal((await harness.runLines("config check a.yaml")).out, "a.yaml: valid\n");
        assert.equal((await harness.runLines("config diff a.yaml")).out, "no differences\n");
        harness.files["b.yaml"] = harness.files["a.yaml"].replace("1200", "900").replace("assistant:", "clerk:");
        const diff = (await harness.runLines("config diff b.yaml")).out;
        assert.equal(diff, "- service assistant\n~ class digest\n    latencyTargetMs: 1200 -> 900\n+ service clerk\n");
        assert.match((await harness.runLines("config apply b.yaml")).out, /applied at revision 3\n$/);
        assert.equal((await harness.runLines("config apply b.yaml")).out, "nothing to change\n");
        assert.match((await harness.runLines("config wait 3")).out, /in force on 1 nodes/);
    });

    it("tell every problem of a file, one line each", async () => {
        harness.files["bad.yaml"] = "formatVersion: 1\nservices:\n  A: { kind: robot, version: 1.1 }\n";
        const outcome = await harness.runLine("config check bad.yaml");
        assert.equal(outcome.exitCode, ExitCode.Refused);
        assert.match(
            outcome.error,
            /^invalid_configuration: The configuration has 3 problems\.\n( {2}services\.A.*\n){3}$/,
        );
    });

    it("refuse a file with a reference to nothing before it is sent", async () => {
        harness.files["bad.yaml"] = "formatVersion: 1\naccounts:\n  depot: { keyHashes: [], defaultClass: none }\n";
        assert.match((await harness.runLine("config apply bad.yaml")).error, /there is no class none/);
        assert.equal(harness.fakes.configuration.readCurrent().revision, 0);
    });

    it("say which nodes lack a revision", async () => {
        const outcome = await harness.runLine("config wait 9 --timeout 0");
        assert.equal(outcome.exitCode, ExitCode.TimedOut);
        assert.match(outcome.error, /^deadline_exceeded: Revision 9 is not in force on node-1 \(at 0\)\.\n$/);
    });
});

describe("commands that show state", () => {
    for (const line of [
        "status",
        "node list",
        "vm list",
        "runner list",
        "fleet",
        "fleet plan",
        "invariant list",
        "job list depot",
        "job show depot job-1",
    ]) {
        it(`${line} prints a table and JSON`, async () => {
            const table = await harness.runLines(line);
            assert.ok(table.out.split("\n").length > 2, table.out);
            const json = await harness.runLines(`${line} --json`);
            assert.equal(typeof JSON.parse(json.out), "object");
        });
    }

    it("dump prints JSON without keys", async () => {
        const { out } = await harness.runLines("dump --task routing");
        assert.deepEqual((JSON.parse(out) as { tasks: unknown }).tasks, {
            routing: { open: 3, apiKey: "[hidden]", body: "[hidden]" },
        });
    });

    it("fleet plan explains each choice, its cost and what falls short", async () => {
        const { out } = await harness.runLines("fleet plan");
        assert.match(out, /node-1; 2000 micros an hour/);
        assert.match(out, /not_covered +320 a second seen lately/);
        assert.match(out, /hobart +gpu-a +yes +2 +2000 +cheapest per unit in hobart/);
        assert.match(out, /No starts of burnie\/gpu-a\/reclaimable until 2023-11-14T22:13:50.000Z/);
    });

    it("job cancel shows the state after it", async () => {
        assert.match((await harness.runLines("job cancel depot job-1")).out, /state +cancelled/);
    });
});
