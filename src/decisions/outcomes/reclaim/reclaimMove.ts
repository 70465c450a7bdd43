/**
 * @module What can be done with a stream whose endpoint is going to leave.
 */

/** The ways to end or move a stream. */
export enum ReclaimMove {
    /** The stream ends at the leaving endpoint before it goes. */
    Finish = "finish",
    /** The KV cache is exported, imported by another runner, and the stream goes on there. */
    TransferCache = "transfer_cache",
    /** Another runner computes prompt and delivered tokens again and goes on from there. */
    Prefill = "prefill",
    /** The stream can't end by its deadline in any way; it fails now and leaves the survivors their capacity. */
    Shed = "shed",
}

/** A stream at a leaving endpoint. */
export interface LeavingStream {
    readonly requestId: string;
    readonly endpointId: string;
    readonly isIdempotent: boolean;
    readonly promptTokens: number;
    /** Tokens that the caller has. */
    readonly deliveredTokens: number;
    /** Tokens that the answer is expected still to have. */
    readonly expectedTokensLeft: number;
    /** Tokens that the answer can still have at most. */
    readonly maximumTokensLeft: number;
    /** Milliseconds between tokens of this stream. */
    readonly tokenGapMs: number;
    /** Monotonic milliseconds at which the request fails. */
    readonly deadlineAtMs: number;
    /** Monotonic milliseconds at which the endpoint goes. */
    readonly goneAtMs: number;
}

/** What moves cost and how fast they are. */
export interface ReclaimTerms {
    /** Whether the engines can export and import KV cache. */
    readonly canTransfer: boolean;
    readonly cacheBytesPerToken: number;
    /** Speed of the link of one endpoint, in bytes a millisecond. */
    readonly transferBytesPerMs: number;
    /** Nodes that use the same endpoints. Each plans for its own streams and takes its part of links and survivors. */
    readonly sharingNodes: number;
    /** Millionths of the currency per million bytes moved between runners. */
    readonly microsPerMegabyte: number;
    /** Prefill speed of one surviving runner, in tokens a millisecond. */
    readonly prefillTokensPerMs: number;
    /** Millionths of the currency per 1,000 tokens prefilled. */
    readonly microsPerThousandTokens: number;
    /** Runners of the service that stay. */
    readonly survivors: number;
}

/** The move chosen for one stream, were it alone. */
export interface ReclaimChoice {
    readonly move: ReclaimMove;
    /** Tokens computed a second time. */
    readonly recomputedTokens: number;
    /** Milliseconds that the move itself takes; 0 for `Finish` and `Shed`. */
    readonly moveMs: number;
    readonly costMicros: number;
}

/** A move with the time at which it begins. A stream that has ended by then needs none. */
export interface PlannedMove extends ReclaimChoice {
    readonly requestId: string;
    /** Monotonic milliseconds. */
    readonly startAtMs: number;
}
