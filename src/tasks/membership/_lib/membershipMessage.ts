/**
 * @module Messages to the membership task.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../../base/failure";
import type { ExchangeTopic } from "../../../nodes/nodeExchange";
import type { Entry } from "../../../nodes/nodeMessages";
import type { NodeAddress } from "../../../nodes/nodeTransport";

/** Kinds of messages. */
export enum MembershipMessageKind {
    Tick = "tick",
    ExchangeReceived = "exchange_received",
    ExchangeEnded = "exchange_ended",
    ProbeEnded = "probe_ended",
    Snapshot = "snapshot",
    Publish = "publish",
    Revision = "revision",
    Flush = "flush",
    ForwardRevisions = "spread",
    Leave = "leave",
}

/** A message to the membership task. */
export type MembershipMessage =
    | { readonly kind: MembershipMessageKind.Tick }
    | {
          readonly kind: MembershipMessageKind.ExchangeReceived;
          readonly body: Uint8Array;
          reply(body: Uint8Array): void;
      }
    | {
          readonly kind: MembershipMessageKind.ExchangeEnded;
          readonly nodeId: string;
          /** The peer's reply to the exchange. */
          readonly result: Result<Uint8Array, Failure>;
          readonly startedAtMs: number;
          /** True for an attempt to reconnect to an unreachable node: its failure does not start a probe. */
          readonly isReconnect: boolean;
      }
    | {
          readonly kind: MembershipMessageKind.ProbeEnded;
          readonly nodeId: string;
          readonly isReached: boolean;
          readonly startedAtMs: number;
      }
    | {
          readonly kind: MembershipMessageKind.Snapshot;
          readonly entries: readonly Entry[];
          /** The node that sent the snapshot. */
          readonly seed: NodeAddress;
      }
    | {
          readonly kind: MembershipMessageKind.Publish;
          readonly topic: ExchangeTopic;
          readonly key: string;
          readonly payload: Uint8Array;
      }
    | { readonly kind: MembershipMessageKind.Revision; readonly revision: number }
    /** Sends urgent updates to all neighbours now, as far as the send budget allows. */
    | { readonly kind: MembershipMessageKind.Flush }
    /** Forwards newly learned applied revisions to the next neighbour. */
    | { readonly kind: MembershipMessageKind.ForwardRevisions }
    | { readonly kind: MembershipMessageKind.Leave };
