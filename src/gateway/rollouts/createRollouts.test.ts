import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import type { RolloutReports } from "../../decisions/relays/news";
import { RolloutPhase } from "../../model/gateway";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { createGatewayMetrics } from "../process/createGatewayMetrics";
import { createRollouts } from "./createRollouts";
import type { Rollouts } from "./rollouts";
import { createEndpointRecord, type EndpointRecord } from "../endpoints/endpointRecord";
import type { AttemptResult } from "../forwarding/sendAttempt";

const SERVICE = "chat";
const ROUTE = "r";
const DURATION_MS = 15_000;
const GOOD: AttemptResult = { end: AttemptOutcome.Relayed, reason: "complete" };
const FAILED: AttemptResult = {
    end: AttemptOutcome.Answered,
    reason: "status 500",
    answer: { status: 500, headers: [], body: Buffer.alloc(0), statedBytes: 0 },
};

describe("the endpoints that may get a request", () => {
    let clock: ReturnType<typeof createManualClock>;
    let rollouts: Rollouts;
    let isInTouch = true;
    let records: EndpointRecord[] = [];
    const distance = { roundTripMs: 0, penaltyMs: 0 };

    beforeEach(() => {
        clock = createManualClock();
        isInTouch = true;
        records = [];
        rollouts = createNode();
        addEndpoints("v1", 3, true);
        rollouts.applyOrders([], true);
    });
    const createNode = () =>
        createRollouts({
            reportFailure: () => undefined,
            nodeName: "n-1",
            bounds: { exposureShare: 0.1, exposureSlack: 50 },
            directory: { findEndpoint: () => undefined },
            isInTouch: () => isInTouch,
            readNodeCount: () => 1,
            isRefusing: () => Promise.resolve(true),
            clock,
            metrics: createGatewayMetrics(),
            log: createLog({ write: () => undefined }),
        });
    const addEndpoints = (version: string, count: number, isFirstList = false, coldForMs = 0) => {
        const endpoints = Array.from({ length: count }, (_unused, index) =>
            makeEndpoint(`${version}-${index}`, { version, coldForMs }),
        );
        records = [...records, ...endpoints.map(endpoint => createEndpointRecord(endpoint, distance, clock))];
        rollouts.recordVersions(endpoints, isFirstList);
    };
    const order = (target = "v2", revision = 7) =>
        rollouts.applyOrders(
            [{ service: SERVICE, order: { service: SERVICE, target, durationMs: DURATION_MS, revision } }],
            false,
        );
    const confirm = () => {
        clock.advanceMs(10);
        rollouts.recordConfirmation({ monotonicMs: clock.readMonotonicMs(), wallMs: 0 });
        clock.advanceMs(10);
    };
    const mergeFleet = (reports: RolloutReports = {}) =>
        rollouts.mergeReports({ ...rollouts.readReports(), ...reports });
    const listVersions = (isFirst = true) => [
        ...new Set(rollouts.filterEligible(SERVICE, records, isFirst).map(({ endpoint }) => endpoint.version)),
    ];
    /** Sends requests as the forwarder does; gives how many went to each version. */
    const sendRequests = (count: number, judge: (version: string) => AttemptResult = () => GOOD) => {
        const sent: Record<string, number> = {};
        for (let index = 0; index < count; index++) {
            const [record] = rollouts.filterEligible(SERVICE, records, true);
            if (record !== undefined) {
                const { version } = record.endpoint;
                sent[version] = (sent[version] ?? 0) + 1;
                rollouts.beginAttempt(record, ROUTE, true).finish(judge(version));
            }
            clock.advanceMs(10);
        }
        return sent;
    };

    it("are those of the first list, without an order", () => {
        assert.deepEqual(listVersions(), ["v1"]);
    });

    // Guards against: a new version gets requests because its endpoint was listed before its order was read.
    it("are not those of a new version until the orders are known to be newer than it", () => {
        addEndpoints("v2", 2);
        assert.deepEqual(listVersions(), ["v1"]);
        confirm();
        assert.deepEqual(listVersions(), ["v1", "v2"]);
    });

    it("are not those of an ordered version, even if orders are confirmed", () => {
        order();
        addEndpoints("v2", 2);
        confirm();
        assert.deepEqual(listVersions(), ["v1"]);
    });

    // Guards against: a version without a bound while no endpoint of the old one is left (EXPOSURE).
    it("are none if only the version on trial is left", () => {
        order();
        addEndpoints("v2", 2);
        mergeFleet();
        records = records.filter(({ endpoint }) => endpoint.version === "v2");
        assert.deepEqual(listVersions(false), []);
    });

    it("have the version on trial for a small share of first attempts only", () => {
        order();
        addEndpoints("v2", 2);
        mergeFleet();
        const sent = sendRequests(600);
        assert.ok((sent["v2"] ?? 0) > 10 && (sent["v2"] ?? 0) <= 0.1 * 600 + 50, JSON.stringify(sent));
        assert.deepEqual(listVersions(false), ["v1"]);
    });

    // Guards against: a node that can't know whether the trial was ended goes on with it.
    for (const [name, prepare] of [
        ["before the fleet has named the order", () => undefined],
        [
            "while the node hears no other node",
            () => {
                mergeFleet();
                isInTouch = false;
            },
        ],
    ] as const) {
        it(`do not have the version on trial ${name}`, () => {
            order();
            addEndpoints("v2", 2);
            prepare();
            assert.deepEqual(Object.keys(sendRequests(500)), ["v1"]);
        });
    }

    it("do not have a cold version on trial", () => {
        order();
        addEndpoints("v2", 2, false, 60_000);
        mergeFleet();
        assert.deepEqual(Object.keys(sendRequests(500)), ["v1"]);
    });

    // Guards against: a bad version goes on getting requests after its fault has shown (EXPOSURE).
    it("have a version that fails only a few times, and never again", () => {
        order();
        addEndpoints("v2", 2);
        mergeFleet();
        const sent = sendRequests(2_000, version => (version === "v2" ? FAILED : GOOD));
        assert.ok((sent["v2"] ?? 0) <= 5, JSON.stringify(sent));
        assert.equal(rollouts.listMoves()[0]?.phase, RolloutPhase.RolledBack);
        confirm();
        assert.deepEqual(listVersions(), ["v1"]);
    });

    it("don't have a version that another node has rolled back, also after later reports of a trial", () => {
        order();
        addEndpoints("v2", 2);
        mergeFleet({ [SERVICE]: { order: 7, phase: RolloutPhase.RolledBack, cells: [] } });
        mergeFleet({ [SERVICE]: { order: 7, phase: RolloutPhase.Trial, cells: [] } });
        assert.deepEqual(Object.keys(sendRequests(300)), ["v1"]);
    });

    it("are those of the target while requests shift and once the move is completed", () => {
        order();
        addEndpoints("v2", 2);
        mergeFleet({ [SERVICE]: { order: 7, phase: RolloutPhase.Shifting, cells: [] } });
        assert.deepEqual(listVersions(false), ["v2"]);
        mergeFleet({ [SERVICE]: { order: 7, phase: RolloutPhase.Completed, cells: [] } });
        confirm();
        assert.deepEqual(listVersions(false), ["v2"]);
        records = records.filter(({ endpoint }) => endpoint.version === "v2");
        assert.deepEqual(listVersions(false), ["v2"]);
    });

    it("are those of the old version if a rollback and a completion are heard in turn, until it is stored", () => {
        order();
        addEndpoints("v2", 2);
        rollouts.applyRecords([
            { service: SERVICE, order: 7, target: "v2", phase: RolloutPhase.Completed, orderedAtMs: 0 },
        ]);
        mergeFleet({ [SERVICE]: { order: 7, phase: RolloutPhase.RolledBack, cells: [] } });
        assert.deepEqual(listVersions(false), ["v2"]);
    });

    it("are those of the old version once the operator removes the order", () => {
        order();
        addEndpoints("v2", 2);
        mergeFleet();
        rollouts.applyOrders([{ service: SERVICE, order: undefined }], false);
        confirm();
        assert.deepEqual(listVersions(), ["v1"]);
    });

    it("are on trial again if a later order names a version that was rolled back", () => {
        order();
        addEndpoints("v2", 2);
        rollouts.advanceMove(
            { service: SERVICE, target: "v2", durationMs: DURATION_MS, revision: 7 },
            RolloutPhase.RolledBack,
            "x",
        );
        order("v2", 9);
        mergeFleet();
        assert.ok((sendRequests(600)["v2"] ?? 0) > 0);
    });

    it("have only the newest target on trial if a second order comes during the first", () => {
        order();
        addEndpoints("v2", 2);
        mergeFleet();
        order("v3", 9);
        addEndpoints("v3", 2);
        mergeFleet();
        assert.deepEqual(Object.keys(sendRequests(600)).sort(), ["v1", "v3"]);
    });

    // Guards against: an order during a move makes the platform stop the endpoints of the old version (LOST).
    it("are left as they are by the fleet duty until the move has ended and the target's are gone", () => {
        assert.equal(rollouts.isMoving(SERVICE), false);
        order();
        assert.equal(rollouts.isMoving(SERVICE), true);
        mergeFleet({ [SERVICE]: { order: 7, phase: RolloutPhase.RolledBack, cells: [] } });
        assert.equal(rollouts.isMoving(SERVICE), true);
        clock.advanceMs(30_000);
        assert.equal(rollouts.isMoving(SERVICE), false);
    });

    it("count as capacity only without a trial or rollback", () => {
        order();
        const endpoint = makeEndpoint("i-2", { version: "v2" });
        assert.equal(rollouts.isServing(endpoint), false);
        assert.equal(rollouts.isServing(makeEndpoint("i-1")), true);
        mergeFleet({ [SERVICE]: { order: 7, phase: RolloutPhase.Completed, cells: [] } });
        assert.equal(rollouts.isServing(endpoint), true);
    });

    // Guards against: an explanation that asks for them changes the state of the node.
    it("keep nothing for a service when they are counted", () => {
        const before = rollouts.dumpState();
        assert.equal(rollouts.isServing(makeEndpoint("i-1", { service: "unknown" })), true);
        assert.deepEqual(rollouts.dumpState(), before);
    });
});
