/**
 * @module Nodes as members, and their form as entries.
 */
import { decodeMemberInfo, encodeMemberInfo, type Entry, type MemberInfo } from "../../nodes/nodeMessages";

/** The conditions of a member. At equal incarnations the higher one holds. */
export enum MemberCondition {
    Alive = 0,
    /** Not reached by a neighbour, neither directly nor through others; it may refute that by a higher incarnation. */
    Suspect = 1,
    Dead = 2,
    /** Left by its own word. */
    Left = 3,
}

const CONDITIONS = 4;

/** A node as another one knows it. */
export interface Member {
    readonly nodeId: string;
    readonly info: MemberInfo;
    /** Raised by the node itself, to refute a suspicion and at each start. */
    readonly incarnation: number;
    readonly condition: MemberCondition;
    /** Monotonic milliseconds at which this node learned of the condition. */
    readonly sinceMs: number;
}

/**
 * Builds the entry that tells other nodes about a member.
 *
 * @param member - The member; only its identity, info, incarnation and condition matter
 * @returns The entry; a higher incarnation, then a higher condition, gives a higher stamp
 * @example
 * buildMemberEntry({ ...member, condition: MemberCondition.Suspect });
 */
export function buildMemberEntry(member: Omit<Member, "sinceMs">): Entry {
    return {
        topic: "member",
        origin: member.nodeId,
        key: "",
        stamp: member.incarnation * CONDITIONS + member.condition,
        payload: encodeMemberInfo(member.info),
    };
}

/**
 * Reads a member from its entry.
 *
 * @param entry - A membership entry
 * @param sinceMs - Monotonic milliseconds at which it was received
 * @returns The member, or `undefined` if the payload is unreadable
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
              incarnation: Math.floor(entry.stamp / CONDITIONS),
              condition: entry.stamp % CONDITIONS,
              sinceMs,
          };
}
