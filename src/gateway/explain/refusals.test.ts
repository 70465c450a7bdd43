import assert from "node:assert/strict";
import type http from "node:http";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { FAILURE_STATUS } from "../../http/failureStatus";
import { FailureKind } from "../../base/failure";
import { type GatewayAccount, type GatewayRoute, RolloutPhase } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { formatAnswer } from "../_testing/startScriptedEndpoint";
import { decodeExplainQuery } from "./explainQuery";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

interface Case {
    readonly route?: Partial<GatewayRoute>;
    readonly account?: Partial<GatewayAccount>;
    readonly confirmedAgoMs?: number;
    readonly isWithoutConfiguration?: boolean;
    readonly prepare?: () => void;
    readonly query: string;
    readonly path?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly kind: FailureKind;
    readonly message?: RegExp;
}

const QUERY = "path=/a/b&account=county";
const CASES: Readonly<Record<string, Case>> = {
    "no route": { query: "path=/z&account=county", path: "/z", kind: FailureKind.NotFound },
    "no configuration": { isWithoutConfiguration: true, query: QUERY, kind: FailureKind.StoreUnavailable },
    "keys that can't be confirmed": { confirmedAgoMs: 60_000, query: QUERY, kind: FailureKind.StoreUnavailable },
    "no key": { query: "path=/a/b", headers: { authorization: "" }, kind: FailureKind.Unauthenticated },
    "an account without keys": { account: { keys: [] }, query: QUERY, kind: FailureKind.Unauthenticated },
    "an unreadable route": { route: { isUnreadable: true }, query: QUERY, kind: FailureKind.NoEndpoint },
    "a quota that is used up": {
        account: { quotaPerSecond: 10 },
        query: `${QUERY}&tokens=900,100`,
        headers: { "redwinglift-token-counts": "900,100" },
        kind: FailureKind.QuotaExceeded,
    },
    "home regions that leave nothing": {
        account: { homeRegions: ["perth"] },
        query: QUERY,
        kind: FailureKind.NoEndpoint,
        message: /outside_home_regions/,
    },
    "an evacuated failure domain": {
        prepare: () => {
            const change = { failureDomain: "hobart-1", isEvacuated: true };
            harness.components.evacuations.applyChanges([change], false);
        },
        query: QUERY,
        kind: FailureKind.NoEndpoint,
        message: /evacuated/,
    },
    "a suspected prompt part": {
        prepare: () => {
            const evidence = { crashes: { k1: 100 }, clearances: 0, earlierClearances: 0 };
            harness.components.quarantine.mergeEvidence({ bad: evidence });
        },
        query: `${QUERY}&prefix=bad:20,own:5`,
        headers: { "redwinglift-prefix-hash": "bad:20,own:5" },
        kind: FailureKind.PromptQuarantined,
    },
    "a version whose move was rolled back": {
        prepare: () => {
            const order = { service: "chat", target: "v1", durationMs: 60_000, revision: 1 };
            const { rollouts } = harness.components;
            rollouts.recordVersions([{ ...harness.directory.listAll("chat")[0]!.endpoint, version: "v0" }], true);
            rollouts.applyOrders([{ service: "chat", order }], false);
            rollouts.advanceMove(order, RolloutPhase.RolledBack, "test");
        },
        query: QUERY,
        kind: FailureKind.NoEndpoint,
    },
    "a model that no endpoint has loaded": {
        prepare: () => {
            const [record] = harness.directory.listAll("chat");
            assert.ok(record !== undefined);
            const endpoint = { ...record.endpoint, loadedModels: ["n"] };
            harness.directory.applyEntry({ id: endpoint.id, endpoint }, false);
        },
        query: `${QUERY}&model=m`,
        headers: { "redwinglift-model": "m" },
        kind: FailureKind.NoEndpoint,
    },
};

describe("an explained refusal", () => {
    // Guards against: the explanation refuses what the node serves, serves what it refuses, or names another reason.
    for (const [name, { route, account, prepare, query, path, headers, kind, message, ...options }] of Object.entries(
        CASES,
    )) {
        it(`is the one that the caller gets: ${name}`, async () => {
            harness = await createGatewayHarness(
                makeRoute(route),
                [
                    (_request, socket) =>
                        void socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] })),
                ],
                options,
            );
            const [known] = harness.configuration.readCurrent()?.configuration.accounts ?? [];
            if (known !== undefined && account !== undefined) {
                harness.apply({ accounts: [{ ...known, ...account }] });
                harness.confirm();
            }
            prepare?.();
            const explained = decodeExplainQuery(query).andThen(harness.explainRequest);
            assert.ok(explained.isOk());
            const [refusal] = explained.value.refusals;
            assert.equal(refusal?.kind, kind);
            assert.match(refusal.message, message ?? /./);
            const answered = await harness.send({ path: path ?? "/a/b", headers: headers ?? {} });
            assert.equal(answered.status, FAILURE_STATUS[kind], answered.body);
            const { error } = JSON.parse(answered.body) as { readonly error: { readonly type: string } };
            assert.equal(error.type, kind);
            assert.deepEqual(harness.endpoints[0]?.listRequests(), []);
        });
    }

    it("is absent where the request is served", async () => {
        harness = await createGatewayHarness(makeRoute({ isAnonymous: true }), [
            (_request, socket) =>
                void socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] })),
        ]);
        const explained = decodeExplainQuery("path=/a/b").andThen(harness.explainRequest);
        assert.deepEqual(explained.isOk() && explained.value.refusals, []);
        assert.equal((await harness.send()).status, 200);
    });
});

describe("a question without an answer", () => {
    const BAD = ["", "path=a", "path=/a&tokens=x", "path=/a&tokens=1,2,3", "path=/a&prefix=a", "path=/a&path=/b"];
    const WORSE = ["path=/a&key=secret", "path=/a&host=", "path=/a%0Ab", `path=/${"a".repeat(2_048)}`];
    for (const query of [...BAD, ...WORSE]) {
        it(`is refused as invalid: ${query.slice(0, 30)}`, async () => {
            harness = await createGatewayHarness(makeRoute(), []);
            const explained = decodeExplainQuery(query).andThen(harness.explainRequest);
            assert.equal(explained.isErr() && explained.error.kind, FailureKind.InvalidRequest);
        });
    }

    it("is one with an unknown account, or with a path that several hosts have", async () => {
        harness = await createGatewayHarness(makeRoute(), []);
        const ask = (query: string) => decodeExplainQuery(query).andThen(harness.explainRequest);
        const unknown = ask("path=/a/b&account=nobody");
        assert.equal(unknown.isErr() && unknown.error.kind, FailureKind.NotFound);
        harness.apply({ routes: [makeRoute(), makeRoute({ name: "r-2", host: "b.example" })] });
        const ambiguous = ask("path=/a/b&account=county");
        assert.match(ambiguous.isErr() ? ambiguous.error.message : "", /news\.example, b\.example/);
        assert.equal(ask("path=/a/b&account=county&host=b.example").isOk(), true);
    });
});
