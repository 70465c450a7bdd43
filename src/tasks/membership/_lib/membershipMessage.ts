/**
 * @module The messages that the membership task takes.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../../base/failure";
import type { ExchangeTopic } from "../../../nodes/nodeExchange";
import type { Entry } from "../../../nodes/nodeMessages";
import type { NodeAddress } from "../../../nodes/nodeTransport";

/** The kinds of messages. */
export enum MessageKind {
    Tick = "tick",
    ExchangeReceived = "exchange_received",
    ExchangeEnded = "exchange_ended",
    ProbeEnded = "probe_ended",
    Snapshot = "snapshot",
    Publish = "publish",
    Revision = "revision",
    Flush = "flush",
    Spread = "spread",
    Leave = "leave",
}

/** What the membership task is told. */
export type Message =
    | { readonly kind: MessageKind.Tick }
    | { readonly kind: MessageKind.ExchangeReceived; readonly body: Uint8Array; reply(body: Uint8Array): void }
    | {
          readonly kind: MessageKind.ExchangeEnded;
          readonly nodeId: string;
          /** The last exchange's result; a further one may follow at once. */
          readonly result: Result<Uint8Array, Failure>;
          readonly startedAtMs: number;
          /** True for a try to reach a node that is out of reach: its failure is no news. */
          readonly isReconnect: boolean;
      }
    | {
          readonly kind: MessageKind.ProbeEnded;
          readonly nodeId: string;
          readonly isReached: boolean;
          readonly startedAtMs: number;
      }
    | {
          readonly kind: MessageKind.Snapshot;
          readonly entries: readonly Entry[];
          /** The node that gave it. */
          readonly seed: NodeAddress;
      }
    | {
          readonly kind: MessageKind.Publish;
          readonly topic: ExchangeTopic;
          readonly key: string;
          readonly payload: Uint8Array;
      }
    | { readonly kind: MessageKind.Revision; readonly revision: number }
    | { readonly kind: MessageKind.Flush }
    | { readonly kind: MessageKind.Spread }
    | { readonly kind: MessageKind.Leave };
