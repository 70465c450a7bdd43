/**
 * @module The rows in the store by which nodes find each other.
 *
 * A relay writes a short row that says where it is, and a longer one with the nodes that report to it and their usage
 * counts. A node without a relay writes the longer row about itself.
 */
import { z } from "zod";
import { parseAnswer } from "../../adapters/_lib/parseAnswer";
import type { ReportedCounts } from "../../decisions/relays/createReportCollector";
import type { NodeIdentity, SuspectParts } from "../../decisions/relays/news";
import { USAGE_COUNTS_SCHEMA } from "../duties/createUsageMeter";
import { decodeSuspects, encodeSuspects } from "../quarantine/suspectsCodec";

/** Key prefixes of the rows. */
export const MEMBER_PREFIX = "member/";
export const RELAY_PREFIX = "relay/";

/** What the writer knows about nodes of its failure domain. */
export interface MemberRecord {
    /** Cluster time of the write. */
    readonly atMs: number;
    readonly members: readonly NodeIdentity[];
    /** Requests of each usage window that endpoints began to execute, by incarnation, window and account. */
    readonly counts: readonly ReportedCounts[];
}

/** A relay, and the number of live nodes that it counts in its failure domain. */
export interface RelayRecord {
    readonly atMs: number;
    readonly identity: NodeIdentity;
    readonly nodes: number;
    /** What all nodes knew of prompt parts that crash endpoints; it outlasts a loss of all nodes at once. */
    readonly suspects: SuspectParts;
}

const IDENTITY_SCHEMA = z.object({
    node: z.string(),
    life: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    port: z.number(),
    capacity: z.number().positive(),
});
const MEMBER_SCHEMA = z.object({
    atMs: z.number(),
    members: z.array(IDENTITY_SCHEMA),
    counts: z.array(
        z.object({
            node: z.string(),
            life: z.string(),
            atMs: z.number(),
            windows: z.record(z.string(), USAGE_COUNTS_SCHEMA),
        }),
    ),
});
const RELAY_SCHEMA = z.object({
    atMs: z.number(),
    identity: IDENTITY_SCHEMA,
    nodes: z.number(),
    suspects: z.unknown().optional().transform(decodeSuspects),
});

/** Builds the key of the row about members that a node writes. Each life has its own, so that no counts are lost. */
export function buildMemberKey({ failureDomain, node, life }: NodeIdentity): string {
    return `${MEMBER_PREFIX}${failureDomain}/${node}/${life}`;
}

/** Builds the key of a relay's row. */
export function buildRelayKey({ failureDomain, node }: Pick<NodeIdentity, "failureDomain" | "node">): string {
    return `${RELAY_PREFIX}${failureDomain}/${node}`;
}

/** Decodes the value of a row about members; `undefined` if it is invalid. */
export function decodeMember(value: string): MemberRecord | undefined {
    return parseAnswer(value, MEMBER_SCHEMA);
}

/** Encodes the value of a relay's row. */
export function encodeRelay(record: RelayRecord): string {
    return JSON.stringify({ ...record, suspects: encodeSuspects(record.suspects) });
}

/** Decodes the value of a relay's row; `undefined` if it is invalid. */
export function decodeRelay(value: string): RelayRecord | undefined {
    return parseAnswer(value, RELAY_SCHEMA);
}
