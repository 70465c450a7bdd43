import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { FailureKind } from "../base/failure";
import { LogFormat, LogLevel } from "../base/log/log";
import type { Environment, Flags } from "./collectSettingTexts";
import { describeSettings } from "./describeSettings";
import { readSettings } from "./readSettings";
import { SETTING_DEFINITIONS } from "./settingDefinitions";
import { toFlagName, toVariableName } from "./settingNames";

const HASH = "a".repeat(64);

const COMPLETE: Flags = {
    nodeId: "node-1",
    vmId: "vm-1",
    region: "hobart",
    failureDomain: "hobart-1",
    operatorKeyHashes: HASH,
    platformTableUrl: "http://127.0.0.1:9000",
    platformObjectsUrl: "http://[::1]:9000",
    platformCloudUrl: "https://10.0.0.9",
    platformVmListUrl: "http://127.0.0.1:9000/vms",
};

const FILES: Readonly<Record<string, string>> = { "c.pem": "c", "k.pem": "k", "a.pem": "a", hashes: `${HASH}\n` };

function readFile(file: string): string {
    const content = FILES[file];
    if (content === undefined) {
        throw Object.assign(new Error("missing"), { code: "ENOENT" });
    }
    return content;
}

function listProblems(flags: Flags, environment: Environment = {}): readonly unknown[] {
    const result = readSettings(flags, environment, { readFile });
    return result.isOk() ? [] : (result.error.details?.["problems"] as readonly unknown[]);
}

describe("readSettings", () => {
    it("uses defaults for settings that are not given", () => {
        const settings = readSettings(COMPLETE, {}, { readFile })._unsafeUnwrap();
        assert.deepEqual(settings.callers, { address: "127.0.0.1", port: 8080, tls: undefined });
        assert.equal(settings.callerLimits.bodyBytes, 4 * 1024 * 1024);
        assert.equal(settings.logLevel, LogLevel.Info);
        assert.equal(settings.statsd, undefined);
        assert.deepEqual(settings.operatorKeyHashes, [HASH]);
    });

    it("prefers flags to variables and variables to defaults", () => {
        const environment = { REDWINGLIFT_CALLER_PORT: "9001", REDWINGLIFT_OPERATOR_PORT: "9002" };
        const settings = readSettings({ ...COMPLETE, callerPort: "0" }, environment, { readFile })._unsafeUnwrap();
        assert.equal(settings.callers.port, 0);
        assert.equal(settings.operators.port, 9002);
        assert.equal(settings.nodeLink.port, 8082);
    });

    it("reads every setting from variables alone", () => {
        const environment = Object.fromEntries(
            Object.entries(COMPLETE).map(([name, value]) => [toVariableName(name), String(value)]),
        );
        const settings = readSettings({}, { ...environment, REDWINGLIFT_LOG_FORMAT: "json" }, { readFile });
        assert.equal(settings._unsafeUnwrap().logFormat, LogFormat.Json);
        assert.equal(settings._unsafeUnwrap().nodeId, "node-1");
    });

    it("lists every problem at once", () => {
        const problems = listProblems({ callerPort: "70000", logLevel: "loud", nope: "1" }, { REDWINGLIFT_NOPE: "1" });
        const starts = problems.map(problem => String(problem).split(":")[0]);
        for (const expected of ["--caller-port", "--log-level", "--nope", "REDWINGLIFT_NOPE"]) {
            assert.ok(starts.includes(expected), `${expected} in ${starts.join(", ")}`);
        }
        assert.equal(problems.filter(problem => String(problem).endsWith("must be given")).length, 8);
    });

    const refusedCases: readonly (readonly [string, Flags, RegExp])[] = [
        [
            "an address that is not an IP address",
            { callerAddress: "example.org" },
            /^--caller-address: must be an IP number$/,
        ],
        [
            "an unencrypted callers' listener beyond loopback",
            { callerAddress: "0.0.0.0" },
            /^--caller-address: plain only on loopback/,
        ],
        [
            "an unencrypted operators' listener beyond loopback",
            { operatorAddress: "10.0.0.1" },
            /^--operator-address: plain only/,
        ],
        ["unencrypted node links beyond loopback", { nodeAddress: "::" }, /^--node-address: plain only/],
        [
            "an unspecified address for node links",
            { nodeAddress: "0.0.0.0" },
            /^--node-address: must be an address of this VM/,
        ],
        ["a certificate without its key", { callerCertificateFile: "c.pem" }, /^--caller-key-file: must be given too/],
        [
            "a node key pair without an authority file",
            { nodeCertificateFile: "c.pem", nodeKeyFile: "k.pem" },
            /^--node-authority-file: must be given too/,
        ],
        [
            "a missing key file",
            { callerCertificateFile: "c.pem", callerKeyFile: "gone" },
            /^--caller-key-file: the file can't be read \(ENOENT\)$/,
        ],
        ["an http URL beyond loopback", { platformTableUrl: "http://10.0.0.1" }, /^--platform-table-url: plain only/],
        ["a URL with a password", { platformTableUrl: "https://u:p@10.0.0.1" }, /^--platform-table-url: must be/],
        ["settings without an operator key", { operatorKeyHashes: "" }, /must give at least one hash$/],
        [
            "an operator key instead of its hash",
            { operatorKeyHashes: "secret" },
            /^--operator-key-hashes: must be SHA-256/,
        ],
        ["a missing hash file", { operatorKeyHashesFile: "gone" }, /can't be read \(ENOENT\)$/],
        ["a flag given twice", { region: ["a", "b"] }, /^--region: given more than once$/],
        ["a fractional number", { drainMs: "1.5" }, /^--drain-ms: must be a whole number from 0 to 3600000$/],
        ["a port of 0 for statsd", { statsdAddress: "127.0.0.1", statsdPort: "0" }, /^--statsd-port/],
    ];
    for (const [description, flags, expected] of refusedCases) {
        it(`refuses ${description}`, () => {
            const problems = listProblems({ ...COMPLETE, ...flags });
            assert.ok(
                problems.some(problem => expected.test(String(problem))),
                problems.join("\n"),
            );
        });
    }

    const acceptedCases: readonly (readonly [string, Flags])[] = [
        ["an unencrypted callers' listener if it is allowed", { callerAddress: "0.0.0.0", callerAllowPlain: true }],
        [
            "a listener beyond loopback with a key pair",
            { callerAddress: "::", callerCertificateFile: "c.pem", callerKeyFile: "k.pem" },
        ],
        [
            "http URLs of the platform if they are allowed",
            { platformTableUrl: "http://10.0.0.1", platformAllowPlain: "true" },
        ],
        ["operator key hashes from a file", { operatorKeyHashes: "", operatorKeyHashesFile: "hashes" }],
        ["every address of 127.0.0.0/8 as loopback", { callerAddress: "127.1.2.3" }],
    ];
    for (const [description, flags] of acceptedCases) {
        it(`accepts ${description}`, () => assert.deepEqual(listProblems({ ...COMPLETE, ...flags }), []));
    }

    it("returns settings or a typed failure for any texts", () => {
        const names = Object.keys(SETTING_DEFINITIONS);
        const texts = fc.dictionary(fc.constantFrom(...names, "unknown"), fc.string());
        fc.assert(
            fc.property(texts, flags => {
                const result = readSettings({ ...COMPLETE, ...flags }, {}, { readFile });
                assert.ok(result.isOk() || result.error.kind === FailureKind.InvalidSettings);
            }),
            { seed: 7, numRuns: 300 },
        );
    });
});

describe("describeSettings", () => {
    it("hides secrets and shows the source of each value", () => {
        const shown = describeSettings(COMPLETE, { REDWINGLIFT_DRAIN_MS: "5" });
        const byFlag = new Map(shown.map(setting => [setting.flag, setting]));
        assert.equal(byFlag.get("--operator-key-hashes")?.value, "[hidden]");
        assert.equal(byFlag.get("--drain-ms")?.source, "variable");
        assert.equal(byFlag.get("--statsd-address")?.value, "");
        assert.doesNotMatch(JSON.stringify(shown), new RegExp(HASH));
    });

    it("shows each setting once", () => {
        const flags = describeSettings({}, {}).map(setting => setting.flag);
        assert.deepEqual(
            flags,
            Object.keys(SETTING_DEFINITIONS).map(name => `--${toFlagName(name)}`),
        );
    });
});
