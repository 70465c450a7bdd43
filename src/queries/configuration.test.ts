import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { FailureKind } from "../base/failure";
import { applyChange } from "../decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../decisions/configuration/createEmptyConfiguration";
import { type Configuration, MoveState, ServiceKind, type VersionMove } from "../model/configuration";
import { compareConfigurations, DifferenceKind } from "./compareConfigurations";
import type { ConfigurationDocument } from "./configurationDocument";
import { exportConfiguration } from "./exportConfiguration";
import { parseConfigurationFile } from "./parseConfigurationFile";
import { validateConfiguration } from "./validateConfiguration";

const HASH = "0123456789abcdef".repeat(4);

const VALID = `
formatVersion: 1
classes:
  digest: { latencyTargetMs: 1200, tokenGapTargetMs: 28, deadlineMs: 60000, costCeilingMicros: 900, isIdempotent: true }
accounts:
  depot: { keyHashes: [${HASH}], defaultClass: digest }
services:
  assistant: { kind: model, version: "1.10" }
endpointTraits:
  assistant/*: { checksFencing: true }
`;

function parseValid(): Configuration {
    return { ...createEmptyConfiguration(), ...parseConfigurationFile(VALID)._unsafeUnwrap() };
}

function listFileProblems(text: string): readonly string[] {
    const result = parseConfigurationFile(text);
    return result.isOk() ? [] : (result.error.details?.["problems"] as readonly string[]);
}

function listWholeProblems(configuration: Configuration): readonly string[] {
    const result = validateConfiguration(configuration);
    return result.isOk() ? [] : (result.error.details?.["problems"] as readonly string[]);
}

const itemName = fc.stringMatching(/^[a-z0-9][a-z0-9._-]{0,20}$/).filter(name => !(name in Object.prototype));
const version = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._:+-]{0,10}$/);
const keyHash = fc.stringMatching(/^[0-9a-f]{64}$/);
const workClass = fc.integer({ min: 1, max: 60_000 }).chain(latencyTargetMs =>
    fc.record({
        latencyTargetMs: fc.constant(latencyTargetMs),
        tokenGapTargetMs: fc.integer({ min: 1, max: 60_000 }),
        deadlineMs: fc.integer({ min: latencyTargetMs, max: 604_800_000 }),
        costCeilingMicros: fc.integer({ min: 0, max: 1_000_000 }),
        isIdempotent: fc.boolean(),
    }),
);
const account = fc.record({
    keyHashes: fc.uniqueArray(keyHash, { maxLength: 3 }),
    defaultClass: itemName,
});
const service = fc.record({ kind: fc.constantFrom(...Object.values(ServiceKind)), version });
const traits = fc.record({ checksFencing: fc.boolean() });
const traitsName = fc.tuple(itemName, fc.constantFrom("*", "gpu-a", "c4.large")).map(parts => parts.join("/"));

function withNames<T extends object>(names: fc.Arbitrary<string>, values: fc.Arbitrary<T>) {
    return fc
        .dictionary(names, values, { maxKeys: 5, noNullPrototype: true })
        .map(items => Object.fromEntries(Object.entries(items).map(([name, value]) => [name, { name, ...value }])));
}

const documents: fc.Arbitrary<ConfigurationDocument> = fc.record(
    {
        classes: withNames(itemName, workClass),
        accounts: withNames(itemName, account),
        services: withNames(itemName, service),
        endpointTraits: withNames(traitsName, traits),
    },
    { noNullPrototype: true },
);

describe("configuration files", () => {
    it("hold the items by name", () => {
        const { classes, accounts, services, endpointTraits } = parseValid();
        assert.equal(classes["digest"]?.latencyTargetMs, 1_200);
        assert.deepEqual(accounts["depot"], { name: "depot", keyHashes: [HASH], defaultClass: "digest" });
        assert.deepEqual(services["assistant"], { name: "assistant", kind: ServiceKind.Model, version: "1.10" });
        assert.equal(endpointTraits["assistant/*"]?.checksFencing, true);
    });

    it("are read back to what was exported", () => {
        fc.assert(
            fc.property(documents, document => {
                const text = exportConfiguration(document);
                assert.deepEqual(parseConfigurationFile(text)._unsafeUnwrap(), document);
            }),
            { seed: 3, numRuns: 200 },
        );
    });

    it("are exported the same whatever the order of their items", () => {
        const { classes, ...rest } = parseValid();
        const second = { ...classes["digest"]!, name: "aaa" };
        const one = exportConfiguration({ ...rest, classes: { digest: classes["digest"]!, aaa: second } });
        const other = exportConfiguration({ ...rest, classes: { aaa: second, digest: classes["digest"]! } });
        assert.equal(one, other);
    });

    const refused: readonly (readonly [string, string, RegExp])[] = [
        ["no version", "classes: {}", /^formatVersion: must be 1$/],
        ["another version", "formatVersion: 2", /^formatVersion: must be 1$/],
        ["an empty file", "", /^the file must be a map/],
        ["a list", "- 1", /^the file must be a map/],
        ["broken YAML", "classes: {", /./],
        ["a repeated name", "formatVersion: 1\nservices:\n  a: {}\n  a: {}\n", /unique/],
        ["an alias", "formatVersion: 1\nclasses: &a {}\nservices: *a\n", /alias/i],
        ["an unknown section", "formatVersion: 1\nweights: {}", /^weights: no such section$/],
        ["a section that is a list", "formatVersion: 1\nclasses: []", /^classes: must be a map/],
        [
            "an unknown field",
            VALID.replace("checksFencing", "weight"),
            /^endpointTraits\.assistant\/\*\.weight: no such field$/,
        ],
        ["a number as version", VALID.replace('"1.10"', "1.10"), /version: must be text; put a number in quotes/],
        ["a time of zero", VALID.replace("1200", "0"), /latencyTargetMs: must be a whole number from 1/],
        ["a time without end", VALID.replace("1200", ".inf"), /latencyTargetMs: must be a whole number/],
        ["a deadline before the target", VALID.replace("60000", "100"), /deadlineMs: must not be before/],
        ["a key in place of its hash", VALID.replace(HASH, "rwl_abc"), /keyHashes\.0: must be a SHA-256 hash/],
        ["a reserved name", VALID.replace("digest:", "constructor:"), /the name is a reserved name/],
        ["a prototype as name", VALID.replace("digest:", "__proto__:"), /classes\.__proto__: the name must be/],
        ["traits without machine class", VALID.replace("assistant/*", "assistant"), /must be SERVICE\/MACHINE-CLASS/],
    ];
    for (const [what, text, expected] of refused) {
        it(`with ${what} are refused`, () => {
            const problems = listFileProblems(text);
            assert.ok(
                problems.some(problem => expected.test(problem)),
                problems.join("\n"),
            );
        });
    }

    it("tell every problem at once, one line each", () => {
        const text = VALID.replace("1200", "0")
            .replace("model", "robot")
            .replace(HASH, "x")
            .replace("true }\nacc", "9 }\nacc");
        const problems = listFileProblems(text);
        assert.equal(problems.length, 4, problems.join("\n"));
        assert.ok(problems.every(problem => !problem.includes("\n")));
    });

    it("of any text give items or a typed failure", () => {
        const texts = fc.oneof(
            fc.string({ unit: "binary" }),
            fc.json(),
            fc
                .tuple(fc.nat(VALID.length), fc.nat(20), fc.string())
                .map(([at, length, text]) => VALID.slice(0, at) + text + VALID.slice(at + length)),
        );
        fc.assert(
            fc.property(texts, text => {
                const result = parseConfigurationFile(text);
                assert.ok(result.isOk() || result.error.kind === FailureKind.InvalidConfiguration);
            }),
            { seed: 5, numRuns: 400 },
        );
    });
});

describe("hostile configuration files", () => {
    const hostile: readonly (readonly [string, string])[] = [
        ["deep lists", "[".repeat(20_000)],
        ["deep maps", "{a: ".repeat(5_000)],
        ["deep keys", "? ".repeat(5_000)],
        ["binary tags", "formatVersion: 1\nclasses: !!binary x"],
        ["an alias inside itself", "&a [*a]"],
        ["too many characters", "#".repeat(5_000_000)],
    ];
    for (const [what, text] of hostile) {
        it(`with ${what} give a typed failure`, () => {
            assert.equal(parseConfigurationFile(text)._unsafeUnwrapErr().kind, FailureKind.InvalidConfiguration);
        });
    }
});

describe("validateConfiguration", () => {
    const move: VersionMove = {
        name: "assistant-2",
        serviceName: "assistant",
        fromVersion: "1.10",
        toVersion: "2",
        doneByWallMs: 1_700_000_000_000,
        state: MoveState.Moving,
        share: 0,
        reason: "",
    };

    it("accepts a whole configuration", () => {
        assert.deepEqual(listWholeProblems({ ...parseValid(), versionMoves: { "assistant-2": move } }), []);
    });

    const { classes, accounts, services } = parseValid();
    const depot = accounts["depot"]!;
    const refused: readonly (readonly [string, Partial<Configuration>, readonly RegExp[]])[] = [
        [
            "the removal of a class in use",
            { classes: {} },
            [/^accounts\.depot\.defaultClass: there is no class digest$/],
        ],
        [
            "the removal of a service with traits",
            { services: {} },
            [/^endpointTraits\.assistant\/\*: there is no service/],
        ],
        [
            "a key of two accounts",
            { accounts: { depot, crew: { ...depot, name: "crew" } } },
            [/^accounts\.crew\.keyHashes: shares a key with depot$/],
        ],
        [
            "an item under another name",
            { services: { other: services["assistant"]!, ...services } },
            [/^services\.other/],
        ],
        [
            "a move of no service",
            { versionMoves: { "assistant-2": { ...move, serviceName: "gone" } } },
            [/there is no service gone$/],
        ],
        [
            "a move to the version it came from",
            { versionMoves: { "assistant-2": { ...move, toVersion: "1.10" } } },
            [/toVersion: must differ/],
        ],
        [
            "two moves of a service at once",
            { versionMoves: { "assistant-2": move, "assistant-3": { ...move, name: "assistant-3" } } },
            [/^versionMoves\.assistant-3: the service assistant has another move/],
        ],
        ["a share over 1", { versionMoves: { "assistant-2": { ...move, share: 1.5 } } }, [/share: must be at most 1/]],
        [
            "several faults at once",
            { classes: { digest: { ...classes["digest"]!, latencyTargetMs: -1 } }, services: {} },
            [/latencyTargetMs/, /there is no service assistant/],
        ],
    ];
    for (const [what, change, expected] of refused) {
        it(`refuses ${what}`, () => {
            const problems = listWholeProblems({ ...parseValid(), ...change });
            assert.equal(problems.length, expected.length, problems.join("\n"));
            expected.forEach((pattern, index) => assert.match(problems[index]!, pattern));
        });
    }

    it("lets a service go whose moves have ended", () => {
        const ended = { ...move, state: MoveState.Done };
        const configuration = {
            ...parseValid(),
            services: {},
            endpointTraits: {},
            versionMoves: { "assistant-2": ended },
        };
        assert.deepEqual(listWholeProblems(configuration), []);
    });
});

describe("compareConfigurations", () => {
    it("gives changes that lead from one configuration to the other, and none between equal ones", () => {
        fc.assert(
            fc.property(documents, documents, (current, wanted) => {
                const from = { ...createEmptyConfiguration(), ...current };
                const items = compareConfigurations(from, wanted).map(difference => difference.change);
                const reached = applyChange(from, { revision: 1, items });
                assert.deepEqual(reached, { ...createEmptyConfiguration(), ...wanted, revision: 1 });
                assert.deepEqual(compareConfigurations(reached, wanted), []);
            }),
            { seed: 9, numRuns: 200 },
        );
    });

    it("names the fields that differ", () => {
        const current = parseValid();
        const wanted = parseConfigurationFile(VALID.replace("1200", "900").replace('"1.10"', "v2"))._unsafeUnwrap();
        const [first, second, ...others] = compareConfigurations(current, wanted);
        assert.deepEqual(others, []);
        assert.equal(first?.difference, DifferenceKind.Changed);
        assert.deepEqual(first?.fields, [{ field: "latencyTargetMs", from: 1_200, to: 900 }]);
        assert.deepEqual(second?.fields, [{ field: "version", from: "1.10", to: "v2" }]);
    });

    it("leaves version moves alone", () => {
        const current = parseValid();
        const { versionMoves: absent, ...wanted } = current;
        assert.deepEqual(absent, {});
        assert.deepEqual(compareConfigurations(current, wanted), []);
    });
});
