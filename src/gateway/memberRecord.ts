/**
 * @module The row in the store by which a node announces itself to the other nodes.
 */
import { z } from "zod";
import { parseAnswer } from "../adapters/_lib/parseAnswer";
import { USAGE_COUNTS_SCHEMA, type UsageCounts } from "./createUsageMeter";

/** Key prefix of all member rows. */
export const MEMBER_PREFIX = "member/";

/** The content of a member row. */
export interface MemberRecord {
    readonly node: string;
    /** Incarnation of the node: a ULID that identifies one start of its process. */
    readonly life: string;
    /** Address and port that the node receives datagrams of other nodes on. */
    readonly address: string;
    readonly port: number;
    /** Cluster time of the write. */
    readonly atMs: number;
    /** Requests of each usage window that endpoints began to execute, by account. */
    readonly windows: Readonly<Record<string, UsageCounts>>;
}

const MEMBER_SCHEMA = z.object({
    node: z.string(),
    life: z.string(),
    address: z.string(),
    port: z.number(),
    atMs: z.number(),
    windows: z.record(z.string(), USAGE_COUNTS_SCHEMA),
});

/** Builds the key of the row of a node's incarnation. */
export function buildMemberKey(record: Pick<MemberRecord, "node" | "life">): string {
    return `${MEMBER_PREFIX}${record.node}/${record.life}`;
}

/** Decodes the value of a member row; `undefined` if it is invalid. */
export function decodeMember(value: string): MemberRecord | undefined {
    return parseAnswer(value, MEMBER_SCHEMA);
}
