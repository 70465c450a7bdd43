/**
 * @module The listener for callers, as the wiring sees it.
 */
import type { DumpSource } from "../base/dump";
import type { Failure } from "../base/failure";
import type { TlsIdentity } from "../http/tlsIdentity";

/** What became of one exchange, for logs and metrics. Holds no bodies and no keys. */
export interface ExchangeSummary {
    readonly requestId: string;
    readonly method: string;
    /** The path without query. */
    readonly path: string;
    /** Empty when the caller was not authenticated. */
    readonly accountName: string;
    readonly className?: string;
    readonly status: number;
    readonly failure?: Failure;
    readonly durationMs: number;
    readonly outputTokens: number;
}

/** The running listener. */
export interface CallerListener extends DumpSource {
    readonly port: number;
    /** Tells the platform's balancer to send no more callers; requests are still served. */
    announceLeaving(): void;
    /** Refuses new requests; those in progress go on. */
    refuseNew(): void;
    /** Resolves when no request is in progress, or with the number still open when `timeoutMs` has passed. */
    waitUntilIdle(timeoutMs: number): Promise<number>;
    /** Ends what is in progress within `timeoutMs`, with a failure where it has no answer; gives the number it cut. */
    finish(timeoutMs: number): Promise<number>;
    countOpenRequests(): number;
    /** Uses another certificate for new connections. */
    replaceIdentity(identity: TlsIdentity): void;
    /** Closes the listener and all its connections. */
    dispose(): void;
}
