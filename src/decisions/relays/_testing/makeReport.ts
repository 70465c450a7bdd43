/**
 * @module Makes reports of nodes for tests.
 */
import type { NodeReport } from "../news";

/** Makes a report of a node of `west`; `used` and `recent` are the usage of the account `county`. */
export function makeReport(
    node: string,
    {
        used = 0,
        recent = 0,
        ...changes
    }: Partial<NodeReport> & { readonly used?: number; readonly recent?: number } = {},
): NodeReport {
    return {
        node,
        life: `${node}-1`,
        failureDomain: "west",
        address: "127.0.0.1",
        port: 7_600,
        capacity: 1,
        sequence: 1,
        countsForMs: 8_000,
        usage: { county: { used, recent, asked: used } },
        loads: { chat: { tokensPerSecond: 10, inFlight: 1 } },
        endpoints: { "i-1": { inFlight: 1, pendingTokens: 100 } },
        suspects: {},
        rollouts: {},
        limits: {},
        counted: undefined,
        ...changes,
    };
}
