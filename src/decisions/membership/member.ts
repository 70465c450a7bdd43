/**
 * @module Members and their encoding as entries.
 */
import { decodeMemberInfo, encodeMemberInfo, type Entry, type MemberInfo } from "../../nodes/nodeMessages";

/** The conditions of a member. At equal incarnations the higher number takes precedence. */
export enum MemberCondition {
    Alive = 0,
    /** A neighbour couldn't reach it directly or through others. It can refute that with a higher incarnation. */
    Suspect = 1,
    Dead = 2,
    /** It announced its own departure. */
    Left = 3,
}

const CONDITION_COUNT = 4;

/** A node as known to another node. */
export interface Member {
    readonly nodeId: string;
    readonly info: MemberInfo;
    /** Raised by the node itself at each start and to refute a suspicion. */
    readonly incarnation: number;
    readonly condition: MemberCondition;
    /** Monotonic milliseconds at which this node learned of the condition. */
    readonly sinceMs: number;
}

/**
 * Builds the entry that announces a member to other nodes.
 *
 * @param member - The member; only its identity, info, incarnation and condition matter
 * @returns The entry; its stamp orders by incarnation and then by condition
 * @example
 * buildMemberEntry({ ...member, condition: MemberCondition.Suspect });
 */
export function buildMemberEntry(member: Omit<Member, "sinceMs">): Entry {
    return {
        topic: "member",
        origin: member.nodeId,
        key: "",
        stamp: member.incarnation * CONDITION_COUNT + member.condition,
        payload: encodeMemberInfo(member.info),
    };
}

/**
 * Decodes a member from its entry.
 *
 * @param entry - A membership entry
 * @param sinceMs - Monotonic milliseconds at which it was received
 * @returns The member, or `undefined` if the payload can't be decoded
 * @example
 * readMember(entry, nowMs)?.condition;
 */
export function readMember(entry: Entry, sinceMs: number): Member | undefined {
    const info = decodeMemberInfo(entry.payload);
    return info.isErr()
        ? undefined
        : {
              nodeId: entry.origin,
              info: info.value,
              incarnation: Math.floor(entry.stamp / CONDITION_COUNT),
              condition: entry.stamp % CONDITION_COUNT,
              sinceMs,
          };
}
