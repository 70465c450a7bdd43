import assert from "node:assert/strict";
import { ok } from "neverthrow";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import type { DutyPort, FleetSize } from "../../ports/duties";
import { makeSettings } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { makeNews } from "../_testing/makeNews";
import { createConfigurationHolder } from "../tables/createConfigurationHolder";
import { createEndpointDirectory } from "../endpoints/createEndpointDirectory";
import { createFleetDuty } from "./createFleetDuty";
import { createServiceSpeeds } from "../forwarding/createServiceSpeeds";

const FLEET = {
    perDomainMin: 1,
    perDomainMax: 4,
    bootSeconds: 1,
    reclaimablePrice: undefined,
    domainPrices: { "hobart-1": 1 },
};

/** Runs the duty for some seconds with four idle endpoints, more than are needed; gives its orders. */
async function listOrders(isMoving: boolean): Promise<readonly FleetSize[]> {
    const clock = createManualClock();
    const log = createLog({ write: () => undefined });
    const configuration = createConfigurationHolder(clock, log);
    const limits = { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const services = [{ name: "chat", connectionsMax: 9, engine: { slots: 4 }, fleet: FLEET }];
    configuration.applyConfiguration({ version: 1, routes: [], services, accounts: [], limits, skippedEntries: 0 });
    const directory = createEndpointDirectory(makeSettings(), clock, log);
    const entries = ["i-1", "i-2", "i-3", "i-4"].map(id => ({ id, endpoint: makeEndpoint(id) }));
    directory.replaceAll(entries, false);
    const orders: FleetSize[] = [];
    const cloud: DutyPort = {
        sendUsage: () => Promise.resolve(ok(undefined)),
        setFleetSize: (_holder, order) => {
            orders.push(order);
            return Promise.resolve(ok(undefined));
        },
    };
    const duty = createFleetDuty({
        cloud,
        configuration,
        directory,
        rollouts: { isServing: () => true, isMoving: () => isMoving },
        news: makeNews(),
        speeds: createServiceSpeeds(),
        failureDomains: ["hobart-1"],
        isFirstStart: false,
        clock,
        log,
    });
    duty.beginTerm();
    for (let step = 0; step < 60; step++) {
        await duty.runStep(() => ({ nodeName: "n-1", epoch: 1 }));
        clock.advanceMs(1_000);
    }
    return orders;
}

describe("the duty of the fleet", () => {
    it("orders fewer endpoints of an idle service", async () => {
        assert.notEqual((await listOrders(false)).length, 0);
    });

    // Guards against: an order during a move makes the platform stop the endpoints of the old version (LOST).
    it("orders nothing for a service that is being moved to another version", async () => {
        assert.deepEqual(await listOrders(true), []);
    });
});
