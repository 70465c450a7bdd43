/**
 * @module Computes what a request is charged to the quota of its account.
 */
import type { GatewayAccount } from "../../model/gateway";
import type { CallerRequestHead } from "../../ports/forwardingCodec";

/**
 * Computes the amount: the tokens that the request states, or those of the account where it states none.
 *
 * @param account - The account
 * @param head - What the request's headers say
 * @returns Tokens, or 1 if the quota counts requests
 * @example
 * computeQuotaAmount(account, { promptTokens: 1_200, outputTokensMax: 400 }); //=> 1_600
 */
export function computeQuotaAmount(
    account: Pick<GatewayAccount, "countsTokens" | "defaultTokens">,
    head: Pick<CallerRequestHead, "promptTokens" | "outputTokensMax">,
): number {
    const tokens = (head.promptTokens ?? 0) + (head.outputTokensMax ?? 0);
    return account.countsTokens ? tokens || account.defaultTokens : 1;
}
