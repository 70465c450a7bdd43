/**
 * @module Messages to the routing task.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { Candidate } from "../../decisions/routing/candidate";
import type { EndpointLoad, VmRecord } from "../../model/endpoint";
import type { VmPrice } from "../../ports/cloud";
import type { CacheEvent } from "../../ports/modelRunner";
import type { AttemptReport, RouteDecision, RouteQuery } from "./routingClient";

/** Kinds of messages. */
export enum RoutingMessageKind {
    Choice = "choice",
    Report = "report",
    Vms = "vms",
    Load = "load",
    CacheEvents = "cache_events",
    Probe = "probe",
    Prices = "prices",
    Digest = "digest",
    Tick = "tick",
}

/** A message to the routing task. */
export type RoutingMessage =
    | {
          readonly kind: RoutingMessageKind.Choice;
          readonly query: RouteQuery;
          readonly reply: (result: Result<RouteDecision, Failure>) => void;
      }
    | { readonly kind: RoutingMessageKind.Report; readonly report: AttemptReport }
    | { readonly kind: RoutingMessageKind.Vms; readonly vms: readonly VmRecord[] }
    | {
          readonly kind: RoutingMessageKind.Load;
          readonly candidate: Candidate;
          /** `undefined` if the read failed. */
          readonly load: EndpointLoad | undefined;
      }
    | {
          readonly kind: RoutingMessageKind.CacheEvents;
          readonly candidate: Candidate;
          readonly events: readonly CacheEvent[];
      }
    | { readonly kind: RoutingMessageKind.Probe; readonly candidate: Candidate; readonly isAlive: boolean }
    | { readonly kind: RoutingMessageKind.Prices; readonly prices: readonly VmPrice[] }
    | { readonly kind: RoutingMessageKind.Digest; readonly nodeId: string; readonly payload: Uint8Array }
    | { readonly kind: RoutingMessageKind.Tick };
