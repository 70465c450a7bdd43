/**
 * @module The moves for a stream whose endpoint is about to leave because its VM is being reclaimed.
 */

/** Ways to end or move a stream. */
export enum ReclaimMove {
    /** The stream finishes on the leaving endpoint. */
    Finish = "finish",
    /** The KV cache is exported and imported by another runner, where the stream continues. */
    TransferCache = "transfer_cache",
    /** Another runner prefills the prompt and the delivered tokens again and continues the stream. */
    Prefill = "prefill",
    /** No move meets the stream's deadline; it fails now, which leaves more capacity for the other streams. */
    Shed = "shed",
}

/** A stream on a leaving endpoint. */
export interface LeavingStream {
    readonly requestId: string;
    readonly endpointId: string;
    readonly isIdempotent: boolean;
    readonly promptTokens: number;
    /** Tokens that the caller already has. */
    readonly deliveredTokens: number;
    /** Expected number of tokens still to be generated. */
    readonly expectedTokensLeft: number;
    /** Maximum number of tokens still to be generated. */
    readonly maximumTokensLeft: number;
    /** Average time between tokens of this stream, in milliseconds. */
    readonly tokenGapMs: number;
    /** Monotonic milliseconds of the request's deadline. */
    readonly deadlineAtMs: number;
    /** Monotonic milliseconds at which the endpoint goes. */
    readonly goneAtMs: number;
}

/** Speeds and prices that decide which move is cheapest. */
export interface ReclaimTerms {
    /** Whether the engines can export and import KV caches. */
    readonly canTransfer: boolean;
    readonly cacheBytesPerToken: number;
    /** Speed of one endpoint's link, in bytes per millisecond. */
    readonly transferBytesPerMs: number;
    /** Nodes that use the same endpoints. Each plans its own streams with its share of links and surviving runners. */
    readonly sharingNodes: number;
    /** Price of transferring a million bytes between runners, in millionths of the currency. */
    readonly microsPerMegabyte: number;
    /** Prefill speed of one surviving runner, in tokens per millisecond. */
    readonly prefillTokensPerMs: number;
    /** Price of prefilling 1,000 tokens, in millionths of the currency. */
    readonly microsPerThousandTokens: number;
    /** Number of the service's runners that stay. */
    readonly survivors: number;
}

/** The move chosen for one stream, without regard to other streams. */
export interface ReclaimChoice {
    readonly move: ReclaimMove;
    /** Tokens that are prefilled again. */
    readonly recomputedTokens: number;
    /** Duration of the move itself, in milliseconds; 0 for `Finish` and `Shed`. */
    readonly moveMs: number;
    /** Price of the move, in millionths of the currency. */
    readonly costMicros: number;
}

/** A move with its start time. It is not made if the stream ends before that. */
export interface PlannedMove extends ReclaimChoice {
    readonly requestId: string;
    /** Monotonic milliseconds. */
    readonly startAtMs: number;
}
