/**
 * @module Limits of the product's own listeners for requests that are sent ahead and responses that are not read.
 */
import type { RequestLimits } from "./installRequestLimits";

/** The product has no setting for the memory of its machine; these fit a node of 256 MB. */
export const PRODUCT_REQUEST_LIMITS: RequestLimits = {
    openRequestsMax: 4,
    readAheadBytesMax: 16 * 1_048_576,
    // Whole answers have no bound in sum, so that this is wide: half of the memory.
    unreadBytesMax: 128 * 1_048_576,
};
