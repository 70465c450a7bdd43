import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { FailureKind } from "../../base/failure";
import { type Configuration, MoveState, ServiceKind } from "../../model/configuration";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import type { RouteQuery } from "../../tasks/routing/routingClient";
import { createEmptyConfiguration } from "../configuration/createEmptyConfiguration";
import { applyEndpoints } from "./applyEndpoints";
import { createRoutingState } from "./createRoutingState";
import { decideRoute } from "./decideRoute";

const PLACEMENT = { region: "hobart", failureDomain: "hobart" };

const CONFIGURATION: Configuration = {
    ...createEmptyConfiguration(),
    services: { assistant: { name: "assistant", kind: ServiceKind.Model, version: "v1" } },
    versionMoves: {
        move: {
            name: "move",
            serviceName: "assistant",
            fromVersion: "v1",
            toVersion: "v2",
            doneByWallMs: 1_800_000_000_000,
            state: MoveState.Moving,
            share: 1,
            reason: "",
        },
    },
};

function createVm(version: string): VmRecord {
    return {
        vmId: `vm-${version}`,
        role: VmRole.ModelRunner,
        address: "127.0.0.1",
        port: 1,
        state: VmState.Live,
        machineClass: "accelerator-2",
        isReclaimable: false,
        serviceName: "assistant",
        version,
        incarnation: 1,
        ...PLACEMENT,
    };
}

function createQuery(excludedEndpointIds: readonly string[] = []): RouteQuery {
    return {
        id: { requestId: "request", attempt: 1 },
        context: {
            requestId: "request",
            accountName: "crew",
            className: "question",
            isIdempotent: true,
            acceptedAtMs: 0,
            firstTokenDueAtMs: 1_000,
            deadlineAtMs: 10_000,
        },
        serviceName: "assistant",
        route: "chat",
        prefixHashes: [],
        promptTokens: 10,
        maximumTokens: 10,
        excludedEndpointIds,
    };
}

function route(versions: readonly string[], options: { braked?: string; excluded?: readonly string[] } = {}) {
    const state = createRoutingState("node-1", PLACEMENT);
    applyEndpoints(state, versions.map(createVm));
    return decideRoute(state, createQuery(options.excluded), {
        configuration: CONFIGURATION,
        random: createRandom(1),
        isBraked: (_service, version) => version === options.braked,
        nowMs: 0,
    });
}

describe("decideRoute during a version move", () => {
    const cases = [
        { name: "routes to the new version according to its share", versions: ["v1", "v2"], expected: "vm-v2" },
        {
            name: "falls back to the old version if the new version has no endpoint",
            versions: ["v1"],
            expected: "vm-v1",
        },
        {
            name: "falls back to the old version if the new version's endpoints have failed this request",
            versions: ["v1", "v2"],
            excluded: ["vm-v2"],
            expected: "vm-v1",
        },
        { name: "routes nothing to a braked version", versions: ["v1", "v2"], braked: "v2", expected: "vm-v1" },
    ];
    for (const { name, versions, expected, ...options } of cases) {
        it(name, () => {
            assert.equal(route(versions, options)._unsafeUnwrap().endpoint.endpointId, expected);
        });
    }

    it("fails if only a braked version has endpoints", () => {
        assert.equal(route(["v2"], { braked: "v2" })._unsafeUnwrapErr().kind, FailureKind.NoEndpoint);
    });
});
