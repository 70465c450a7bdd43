import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { generate } from "selfsigned";
import { createOperatorFakes, OPERATOR_KEY } from "../operator/_testing/createOperatorFakes";
import { createOperatorListener } from "../operator/createOperatorListener";
import { createCliHarness } from "./_testing/createCliHarness";
import { ExitCode } from "./exitCode";

async function createIdentity() {
    const pems = await generate([{ name: "commonName", value: "127.0.0.1" }], {
        keySize: 2_048,
        algorithm: "sha256",
        extensions: [
            { name: "basicConstraints", cA: true },
            { name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] },
        ],
    });
    return { key: pems.private, certificate: pems.cert };
}

describe("the command line over TLS", () => {
    it("trusts the named authority only, also after the listener's certificate was replaced", async () => {
        const [first, second] = await Promise.all([createIdentity(), createIdentity()]);
        const { dependencies, options } = createOperatorFakes();
        const listener = await createOperatorListener(dependencies, { ...options, identity: first });
        const harness = await createCliHarness();
        harness.files["first.pem"] = first.certificate;
        harness.files["second.pem"] = second.certificate;
        const runStatus = (authority: string) =>
            harness.runLine("status", {
                environment: {
                    REDWINGLIFT_OPERATOR_URL: `https://127.0.0.1:${listener.port}`,
                    REDWINGLIFT_OPERATOR_KEY: OPERATOR_KEY,
                    REDWINGLIFT_OPERATOR_AUTHORITY_FILE: authority,
                },
            });
        assert.equal((await runStatus("first.pem")).exitCode, ExitCode.Ok);
        const distrusted = await runStatus("second.pem");
        assert.equal(distrusted.exitCode, ExitCode.Unreachable);
        assert.match(distrusted.error, /^endpoint_failed: https:\/\/127\.0\.0\.1:\d+: [A-Z_]*CERT/);
        listener.replaceIdentity(second);
        assert.equal((await runStatus("second.pem")).exitCode, ExitCode.Ok);
        assert.equal((await runStatus("first.pem")).exitCode, ExitCode.Unreachable);
        assert.equal((await runStatus("gone.pem")).exitCode, ExitCode.Usage);
        listener.dispose();
        harness.dispose();
    });
});
