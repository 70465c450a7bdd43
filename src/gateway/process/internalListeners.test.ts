import assert from "node:assert/strict";
import type http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { err } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { FailureKind } from "../../base/failure";
import { createSystemClock } from "../../base/createSystemClock";
import { createLog } from "../../base/log/createLog";
import { ControlSignal } from "../../base/processSignals";
import { makeSettings } from "../_testing/createGatewayHarness";
import { createClusterTime } from "../tables/createClusterTime";
import type { FailureOwner } from "./createFailureReporter";
import { createMetricsListener } from "./createMetricsListener";
import { createReadinessListener } from "./createReadinessListener";
import { createRowServer } from "../tables/createRowServer";
import { createTableSnapshot } from "../tables/createTableSnapshot";
import { watchSettings } from "./watchSettings";

const ANSWER_MAX_MS = 2_000;
const throwPlanted = () => {
    throw new Error("planted");
};

describe("an error in a listener inside the system", () => {
    const servers: http.Server[] = [];
    afterEach(() => servers.splice(0).forEach(server => server.close()));

    async function request(server: http.Server, path: string, method = "GET"): Promise<number> {
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const signal = AbortSignal.timeout(ANSWER_MAX_MS);
        const headers = { connection: "close" };
        return fetch(`http://127.0.0.1:${port}${path}`, { method, signal, headers }).then(
            ({ status }) => status,
            () => 0,
        );
    }

    const CASES: Readonly<
        Record<string, (reportFailure: () => void) => readonly [http.Server, string, string, number]>
    > = {
        "the readiness check counts as not ready": reportFailure => [
            createReadinessListener(throwPlanted, reportFailure),
            "/",
            "GET",
            503,
        ],
        "the metrics is answered": reportFailure => [
            createMetricsListener({
                explainRequest: () => err(createFailure(FailureKind.NotFound, "No route.")),
                formatMetrics: throwPlanted,
                quarantine: { releasePart: () => undefined, hasEvidence: () => true },
                reportFailure,
            }),
            "/metrics",
            "GET",
            500,
        ],
        "the release of a part is answered": reportFailure => [
            createMetricsListener({
                explainRequest: () => err(createFailure(FailureKind.NotFound, "No route.")),
                formatMetrics: () => Promise.resolve(""),
                quarantine: { releasePart: throwPlanted, hasEvidence: () => true },
                reportFailure,
            }),
            "/quarantine/release?part=a",
            "POST",
            500,
        ],
        "the rows of a table is answered": reportFailure => {
            const clock = createSystemClock();
            const snapshot = { ...createTableSnapshot(clock), readRows: throwPlanted };
            const clusterTime = createClusterTime(clock);
            const server = createRowServer({ snapshots: { servers: snapshot }, clusterTime, clock, reportFailure });
            return [server, "/rows/servers", "GET", 500];
        },
        "the name of a table, one that is a property of every object, there is none": reportFailure => {
            const clock = createSystemClock();
            const server = createRowServer({
                snapshots: {},
                clusterTime: createClusterTime(clock),
                clock,
                reportFailure,
            });
            return [server, "/rows/constructor", "GET", 404];
        },
    };
    for (const [name, prepare] of Object.entries(CASES)) {
        // Guards against: a request to a listener hangs, or gets no answer, since something that it asks for throws.
        it(`in ${name}`, async () => {
            let reported = 0;
            const [server, path, method, status] = prepare(() => void reported++);
            assert.equal(await request(server, path, method), status);
            assert.equal(reported, status === 404 ? 0 : 1);
        });
    }
});

describe("settings whose reading throws", () => {
    // Guards against: an error in reading the settings on a signal reaches the process.
    it("are reported, and those in force stay", () => {
        const reported: string[] = [];
        const settings = { ...makeSettings() };
        const log = createLog({ write: () => undefined });
        const handlers = new Map<ControlSignal, () => void>();
        const signals = {
            setHandler: (signal: ControlSignal, handler: () => void) => void handlers.set(signal, handler),
        };
        const reportFailure = (owner: FailureOwner) => void reported.push(owner);
        watchSettings(settings, { readSettings: throwPlanted, signals, log, reportFailure });
        handlers.get(ControlSignal.HangUp)?.();
        assert.deepEqual(reported, ["settings"]);
        assert.deepEqual(settings, makeSettings());
    });
});
