// Case 4: a new version of the configuration takes the last tenant away. See claim.txt.
import { createClient } from "./client.mjs";
import { addressOf, BOUNDS, createFleet, pause } from "./fleet.mjs";
import { BROKEN, createRecord } from "./record.mjs";
import { startRunner } from "./runner.mjs";
import { startStore } from "./store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const LENGTH_MS = 20_000;
const REVOKE_AT_MS = 4_000;
const REQUEST_PERIOD_MS = 250;
const KEYS = ["key-1", "key-2"];
/** A key that no configuration ever holds. */
const UNKNOWN_KEY = "key-of-nobody";

const record = createRecord(import.meta.dirname);
const store = await startStore(addressOf(1));
const fleet = createFleet({ storeAddress: store.address });
const runners = [];
const clients = [];
/** Attempts that a runner has begun to work on, with the tenant that it was told. */
const runs = new Map();
let exitCode = 2;

const configure = (version, tenants) => {
    const route = {
        name: "r-1",
        host: "news.example",
        pathPrefix: "/ack/",
        routeKind: "non_idempotent",
        timeoutMs: 1_500,
        objectiveMs: 300,
        priority: 2,
        service: "app",
        maxAttempts: 1,
        anonymous: false,
    };
    store.put("op", "config", {
        version,
        routes: [route],
        services: [{ name: "app", healthPath: "/healthz", maxConns: 110, protocol: "h1", tls: false }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants,
    });
};

try {
    for (let index = 0; index < 3; index++) {
        const id = `i-${index}`;
        const runner = await startRunner({
            address: addressOf(10 + index),
            id,
            slots: 6,
            queue: 24,
            workMs: () => 40,
            record: ({ what, attempt, tenant }) => {
                if (what === "runs") {
                    runs.set(attempt, tenant);
                }
                record.add(
                    `runner ${id}: ${what} ${attempt}${what === "runs" ? `, tenant ${tenant ?? "(none)"}` : ""}`,
                );
            },
        });
        runners.push(runner);
        store.put("servers", id, {
            service: "app",
            address: runner.address,
            zone: "z-1",
            version: "v1",
            slots: 6,
            state: "ready",
            coldLeftMs: 0,
            sequence: 1,
            born: Date.now(),
        });
    }
    configure(1, [{ name: "t-1", apiKeys: KEYS }]);
    const machine = fleet.start(100);
    await fleet.whenReady(machine);
    await pause(4_500);

    const beganAt = performance.now();
    let revokedAtMs = Infinity;
    let unauthorized = 0;
    let served = 0;
    const broken = [];
    const runClient = async key => {
        const client = createClient(machine, "news.example", key);
        clients.push(client);
        for (let number = 0; performance.now() - beganAt < LENGTH_MS; number++) {
            const attempt = `a-${key}-${number}`;
            const sentAtMs = performance.now();
            record.add(`client: sends ${attempt}`);
            const { status, closed } = await client.send({
                path: "/ack/1",
                attempt,
                deadlineMs: 3_000,
                body: Buffer.from("a"),
            });
            record.add(`client: ${attempt} ends with ${status ?? `closed (${closed})`}`);
            served += status === 200 ? 1 : 0;
            unauthorized += status === 401 ? 1 : 0;
            const isRevoked = key === UNKNOWN_KEY || sentAtMs > revokedAtMs + BOUNDS.revokeMs;
            if (isRevoked && runs.has(attempt)) {
                broken.push(attempt);
            }
            await pause(REQUEST_PERIOD_MS);
        }
    };
    const all = [...KEYS, UNKNOWN_KEY].map(runClient);
    await pause(REVOKE_AT_MS);
    if (HAS_TROUBLE) {
        configure(2, []);
        revokedAtMs = performance.now();
        record.add("operator: version 2, without the tenant and its two keys, is acknowledged");
    }
    await Promise.all(all);
    const byNobody = broken.filter(attempt => attempt.includes(UNKNOWN_KEY)).length;
    record.add(`served: ${served}; answered 401: ${unauthorized}`);
    record.add(`run over revokeMs after their key was taken away: ${broken.length - byNobody}`);
    record.add(`run with a key that no configuration ever held: ${byNobody}`);
    exitCode = broken.length > 0 ? BROKEN : served > 0 && unauthorized > 0 ? 0 : 2;
    record.add(
        exitCode === BROKEN ? "CONFIG and ROUTE are broken" : exitCode === 0 ? "the rules held" : "could not run",
    );
} catch (error) {
    record.add(`the case could not run: ${error.stack}`);
} finally {
    fleet.close();
    record.write();
    process.exit(exitCode);
}
