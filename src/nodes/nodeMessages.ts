/**
 * @module The bodies of calls between nodes, to and from bytes.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { Placement } from "../model/endpoint";
import { redwinglift } from "./generated/nodeLink";
import { ExchangeTopic } from "./nodeExchange";
import type { NodeAddress } from "./nodeTransport";

/** What entries are about: the topics of the exchange, and the nodes themselves. */
export type EntryTopic = ExchangeTopic | "member";

/** One piece of knowledge. Of two entries with equal topic, origin and key, the one with the higher stamp holds. */
export interface Entry {
    readonly topic: EntryTopic;
    /** The node that the entry comes from or, for a membership entry, is about. */
    readonly origin: string;
    readonly key: string;
    /** A whole number below 2^53. */
    readonly stamp: number;
    readonly payload: Uint8Array;
}

/** What a membership entry says of a node besides its state, which is part of the stamp. */
export interface MemberInfo extends NodeAddress, Placement {
    /** Drawn at each start of the process. */
    readonly processNumber: number;
}

/** What two nodes tell each other in one exchange. */
export interface ExchangeMessage {
    readonly fromNodeId: string;
    /** Configuration revision that the sender has applied. */
    readonly revision: number;
    /** Sums over groups of entries, for finding differences. */
    readonly digest: readonly number[];
    /** The group that `detail` divides further, and its sums. */
    readonly detail?: { readonly group: number; readonly sums: readonly number[] };
    /** Which nodes have applied `revision`: one bit per node of the roster, which `rosterHash` identifies. */
    readonly rosterHash: number;
    readonly applied: Uint8Array;
    readonly entries: readonly Entry[];
}

/** A request for a sign of life. */
export interface ProbeRequest {
    readonly fromNodeId: string;
    /** Absent: of the receiver itself. */
    readonly target?: NodeAddress & { readonly nodeId: string };
}

/** The answer to a probe: which node answered, and whether the target was reached. */
export interface ProbeReply {
    readonly nodeId: string;
    readonly isReached: boolean;
}

const TOPIC_NUMBERS: Readonly<Record<EntryTopic, number>> = {
    member: 1,
    [ExchangeTopic.Configuration]: 2,
    [ExchangeTopic.Brake]: 3,
    [ExchangeTopic.LoadDigest]: 4,
    [ExchangeTopic.VmLeaving]: 5,
    [ExchangeTopic.VersionEvidence]: 6,
};
const TOPICS = new Map(Object.entries(TOPIC_NUMBERS).map(([topic, number]) => [number, topic as EntryTopic]));

/**
 * Encodes an exchange.
 *
 * @param message - The message
 * @returns Its bytes
 * @example
 * encodeExchange(message).length;
 */
export function encodeExchange(message: ExchangeMessage): Uint8Array {
    return redwinglift.ExchangeMessage.encode({
        fromNodeId: message.fromNodeId,
        revision: message.revision,
        digest: [...message.digest],
        detailGroup: message.detail === undefined ? undefined : message.detail.group + 1,
        detail: [...(message.detail?.sums ?? [])],
        rosterHash: message.rosterHash,
        applied: message.applied,
        entries: message.entries.map(toEntryMessage),
    }).finish();
}

/**
 * Decodes an exchange. Entries of topics that this version does not know are left out.
 *
 * @param body - The bytes
 * @returns The message; failure `Internal` if the bytes are not one
 * @example
 * decodeExchange(body).map(message => message.revision);
 */
export function decodeExchange(body: Uint8Array): Result<ExchangeMessage, Failure> {
    return decodeBody(() => {
        const message = redwinglift.ExchangeMessage.decode(body);
        const detail = message.detailGroup > 0 ? { group: message.detailGroup - 1, sums: message.detail } : undefined;
        return {
            fromNodeId: message.fromNodeId,
            revision: message.revision,
            digest: message.digest,
            detail,
            rosterHash: message.rosterHash,
            applied: message.applied,
            entries: message.entries.map(convertEntryMessage).filter(entry => entry !== undefined),
        };
    });
}

/**
 * Counts the bytes that an entry takes in an exchange.
 *
 * @param entry - The entry
 * @returns Bytes, its tag and length included
 * @example
 * countEntryBytes(entry);
 */
export function countEntryBytes(entry: Entry): number {
    return redwinglift.EntryMessage.encode(toEntryMessage(entry)).finish().length + 3;
}

/** Encodes what a membership entry says of a node. */
export function encodeMemberInfo(info: MemberInfo): Uint8Array {
    return redwinglift.MemberMessage.encode(info).finish();
}

/** Decodes what a membership entry says of a node. */
export function decodeMemberInfo(payload: Uint8Array): Result<MemberInfo, Failure> {
    return decodeBody(() => {
        const { address, port, region, failureDomain, processNumber } = redwinglift.MemberMessage.decode(payload);
        return { address, port, region, failureDomain, processNumber };
    });
}

/** Encodes a request for a sign of life. */
export function encodeProbeRequest(request: ProbeRequest): Uint8Array {
    return redwinglift.ProbeRequest.encode({
        fromNodeId: request.fromNodeId,
        targetNodeId: request.target?.nodeId,
        targetAddress: request.target?.address,
        targetPort: request.target?.port,
    }).finish();
}

/** Decodes a request for a sign of life. */
export function decodeProbeRequest(body: Uint8Array): Result<ProbeRequest, Failure> {
    return decodeBody(() => {
        const { fromNodeId, targetNodeId, targetAddress, targetPort } = redwinglift.ProbeRequest.decode(body);
        const target = { nodeId: targetNodeId, address: targetAddress, port: targetPort };
        return { fromNodeId, target: targetNodeId === "" ? undefined : target };
    });
}

/** Encodes the answer to a probe. */
export function encodeProbeReply(reply: ProbeReply): Uint8Array {
    return redwinglift.ProbeReply.encode(reply).finish();
}

/** Decodes the answer to a probe. */
export function decodeProbeReply(body: Uint8Array): Result<ProbeReply, Failure> {
    return decodeBody(() => {
        const { nodeId, isReached } = redwinglift.ProbeReply.decode(body);
        return { nodeId, isReached };
    });
}

/** Encodes a request for configuration changes. */
export function encodeChangesRequest(afterRevision: number): Uint8Array {
    return redwinglift.ChangesRequest.encode({ afterRevision }).finish();
}

/** Decodes a request for configuration changes. */
export function decodeChangesRequest(body: Uint8Array): Result<number, Failure> {
    return decodeBody(() => redwinglift.ChangesRequest.decode(body).afterRevision);
}

/** Encodes all that a node knows, for one that joins. */
export function encodeSnapshot(entries: readonly Entry[]): Uint8Array {
    return redwinglift.SnapshotReply.encode({ entries: entries.map(toEntryMessage) }).finish();
}

/** Decodes all that a node knows. */
export function decodeSnapshot(body: Uint8Array): Result<readonly Entry[], Failure> {
    return decodeBody(() =>
        redwinglift.SnapshotReply.decode(body)
            .entries.map(convertEntryMessage)
            .filter(entry => entry !== undefined),
    );
}

function toEntryMessage({ topic, origin, key, stamp, payload }: Entry): redwinglift.EntryMessage.$Properties {
    return { topic: TOPIC_NUMBERS[topic], origin, key, stamp, payload };
}

function convertEntryMessage(message: redwinglift.EntryMessage.$Properties): Entry | undefined {
    const topic = TOPICS.get(message.topic ?? 0);
    return topic === undefined
        ? undefined
        : {
              topic,
              origin: message.origin ?? "",
              key: message.key ?? "",
              stamp: message.stamp ?? 0,
              payload: message.payload ?? new Uint8Array(),
          };
}

function decodeBody<T>(decode: () => T): Result<T, Failure> {
    try {
        return ok(decode());
    } catch (error) {
        const message = `Unreadable message of another node: ${error instanceof Error ? error.message : "unknown"}`;
        return err(createFailure(FailureKind.Internal, message));
    }
}
