/**
 * @module Defines how the exchange handles the entries of each topic.
 */
import { ExchangeTopic } from "../../nodes/nodeExchange";
import type { EntryTopic } from "../../nodes/nodeMessages";
import { TOMBSTONE_LIFETIME_MS } from "./constants";

/** How the exchange handles the entries of a topic. */
export interface TopicPolicy {
    /** Entries with smaller numbers go into a message first. */
    readonly priority: number;
    /** Whether entries are sent to all neighbours immediately instead of with the next exchange. */
    readonly isUrgent: boolean;
    /** Whether digests cover the entries, to recover lost ones. Other topics rely on the next update of the key. */
    readonly isDigested: boolean;
    /** Lifetime of an entry in milliseconds: from its stamp if it is covered by digests, else from its receipt. */
    readonly lifetimeMs: number;
}

/** The policies by topic. */
export const TOPIC_POLICIES: Readonly<Record<EntryTopic, TopicPolicy>> = {
    [ExchangeTopic.Brake]: { priority: 0, isUrgent: true, isDigested: true, lifetimeMs: 172_800_000 },
    [ExchangeTopic.VmLeaving]: { priority: 1, isUrgent: true, isDigested: true, lifetimeMs: TOMBSTONE_LIFETIME_MS },
    [ExchangeTopic.Configuration]: { priority: 2, isUrgent: true, isDigested: false, lifetimeMs: 60_000 },
    member: { priority: 3, isUrgent: false, isDigested: true, lifetimeMs: Number.POSITIVE_INFINITY },
    [ExchangeTopic.VersionEvidence]: { priority: 4, isUrgent: false, isDigested: false, lifetimeMs: 120_000 },
    [ExchangeTopic.LoadDigest]: { priority: 5, isUrgent: false, isDigested: false, lifetimeMs: 10_000 },
};
