/**
 * @module The configuration that operators declare. It states targets and deadlines, never routing weights or VM names.
 */

/** A class of requests, with common latency targets, deadline and cost ceiling. */
export interface WorkClass {
    readonly name: string;
    /** Time to the first token of a stream, or to the whole response of a service call, in milliseconds. */
    readonly latencyTargetMs: number;
    /** Time between tokens of a stream, in milliseconds. */
    readonly tokenGapTargetMs: number;
    /** Time to the end of the response, in milliseconds; an accepted request that takes longer gets an error. */
    readonly deadlineMs: number;
    /** Maximum cost, in millionths of the currency per 1,000 tokens (per call for application runners). */
    readonly costCeilingMicros: number;
    /** Whether a request may be executed more than once. */
    readonly isIdempotent: boolean;
}

/** A client account. */
export interface Account {
    readonly name: string;
    /** SHA-256 of each valid bearer key, lower-case hexadecimal. */
    readonly keyHashes: readonly string[];
    /** The class of requests that don't name a class. */
    readonly defaultClass: string;
}

/** Which kind of endpoint serves a service. */
export enum ServiceKind {
    /** Model runners, reached as a model through `/v1/chat/completions`. */
    Model = "model",
    /** Application runners, reached through `/services/{name}/`. */
    Application = "application",
}

/** A service that requests are routed to. */
export interface Service {
    readonly name: string;
    readonly kind: ServiceKind;
    /** The version that receives all requests while no version move is in progress. */
    readonly version: string;
}

/** Properties of the endpoints of a service on one machine class that the system can't detect. */
export interface EndpointTraits {
    /** `{service}/{machineClass}`; `*` stands for any machine class. */
    readonly name: string;
    /** Whether these endpoints reject an order with an outdated fencing token. */
    readonly checksFencing: boolean;
}

/** The state of a version move. */
export enum MoveState {
    Moving = "moving",
    Done = "done",
    /** The move was rolled back: all requests go to the old version again. */
    TakenBack = "taken_back",
}

/** A version move, which is a gradual shift of a service's traffic to another version. */
export interface VersionMove {
    readonly name: string;
    readonly serviceName: string;
    readonly fromVersion: string;
    readonly toVersion: string;
    /** Epoch milliseconds by which the move must be done or rolled back. */
    readonly doneByWallMs: number;
    readonly state: MoveState;
    /** Share of new requests that the new version receives, 0 to 1. */
    readonly share: number;
    /** The reason for the state, for operators. */
    readonly reason: string;
    /** Epoch milliseconds at which a node began to carry out the move; absent before that. */
    readonly startedWallMs?: number;
    /** Epoch milliseconds of the latest change of the share. */
    readonly steppedWallMs?: number;
}

/** The kinds of configuration items. */
export enum ItemKind {
    Class = "class",
    Account = "account",
    Service = "service",
    EndpointTraits = "endpoint_traits",
    VersionMove = "version_move",
}

/** The whole configuration at one revision. */
export interface Configuration {
    /** Increases by one with each accepted change; 0 is the empty configuration. */
    readonly revision: number;
    readonly classes: Readonly<Record<string, WorkClass>>;
    readonly accounts: Readonly<Record<string, Account>>;
    readonly services: Readonly<Record<string, Service>>;
    readonly endpointTraits: Readonly<Record<string, EndpointTraits>>;
    readonly versionMoves: Readonly<Record<string, VersionMove>>;
}

/** Sets one item, or removes it if `value` is absent. */
export type ItemChange =
    | { readonly kind: ItemKind.Class; readonly name: string; readonly value?: WorkClass }
    | { readonly kind: ItemKind.Account; readonly name: string; readonly value?: Account }
    | { readonly kind: ItemKind.Service; readonly name: string; readonly value?: Service }
    | { readonly kind: ItemKind.EndpointTraits; readonly name: string; readonly value?: EndpointTraits }
    | { readonly kind: ItemKind.VersionMove; readonly name: string; readonly value?: VersionMove };

/** A change that is accepted or refused as a whole. */
export interface ConfigurationChange {
    /** The revision the change is based on; the change is refused if that is no longer the latest one. */
    readonly basedOnRevision: number;
    readonly items: readonly ItemChange[];
}

/** An accepted change, as it is stored and sent between nodes. */
export interface AcceptedChange {
    readonly revision: number;
    readonly items: readonly ItemChange[];
}
