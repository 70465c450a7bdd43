/**
 * @module Conversion of members to the view for other tasks.
 */
import type { Member } from "../../../decisions/membership/member";
import { isLiveMember } from "../../../decisions/membership/membershipState";
import type { MemberView } from "../membershipClient";

/** Converts a member to the view for other tasks. */
export function toMemberView(member: Member, nowMs: number): MemberView {
    const { nodeId, incarnation, condition, info } = member;
    const { region, failureDomain, address, port } = info;
    return {
        nodeId,
        incarnation,
        condition,
        isLive: isLiveMember(member, nowMs),
        region,
        failureDomain,
        address,
        port,
    };
}
