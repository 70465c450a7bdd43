/**
 * @module What a node tells the others through its row in the store.
 */
import { z } from "zod";
import { parseAnswer } from "../adapters/_lib/parseAnswer";
import { USAGE_COUNTS_SCHEMA, type UsageCounts } from "./createUsageMeter";

/** Keys of the nodes' rows begin with this. */
export const MEMBER_PREFIX = "member/";

/** A life of a node: one start of its process. */
export interface MemberRecord {
    readonly node: string;
    readonly life: string;
    readonly address: string;
    readonly port: number;
    /** True time of the write. */
    readonly atMs: number;
    /** Requests that began to execute, by window and account. */
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

/** Builds the key of a member's row. */
export function buildMemberKey(record: Pick<MemberRecord, "node" | "life">): string {
    return `${MEMBER_PREFIX}${record.node}/${record.life}`;
}

/** Decodes a member's row; `undefined` if it can't be read. */
export function decodeMember(value: string): MemberRecord | undefined {
    return parseAnswer(value, MEMBER_SCHEMA);
}
