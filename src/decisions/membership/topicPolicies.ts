/**
 * @module How entries of each topic are treated by the exchange.
 */
import { ExchangeTopic } from "../../nodes/nodeExchange";
import type { EntryTopic } from "../../nodes/nodeMessages";
import { TOMBSTONE_MS } from "./constants";

/** How entries of one topic are treated. */
export interface TopicPolicy {
    /** Smaller goes first into a message. */
    readonly priority: number;
    /** Sent to all neighbours at once instead of with the next exchange. */
    readonly isUrgent: boolean;
    /** Compared by digest, so that a lost push is repaired. The others are repaired by the next update of their key. */
    readonly isDigested: boolean;
    /** How long an entry is kept: since its stamp where it is digested, else since it was received. */
    readonly lifetimeMs: number;
}

/** The policies by topic. */
export const TOPIC_POLICIES: Readonly<Record<EntryTopic, TopicPolicy>> = {
    [ExchangeTopic.Brake]: { priority: 0, isUrgent: true, isDigested: true, lifetimeMs: 172_800_000 },
    [ExchangeTopic.VmLeaving]: { priority: 1, isUrgent: true, isDigested: true, lifetimeMs: TOMBSTONE_MS },
    [ExchangeTopic.Configuration]: { priority: 2, isUrgent: true, isDigested: false, lifetimeMs: 60_000 },
    member: { priority: 3, isUrgent: false, isDigested: true, lifetimeMs: Number.POSITIVE_INFINITY },
    [ExchangeTopic.VersionEvidence]: { priority: 4, isUrgent: false, isDigested: false, lifetimeMs: 120_000 },
    [ExchangeTopic.LoadDigest]: { priority: 5, isUrgent: false, isDigested: false, lifetimeMs: 10_000 },
};
