/**
 * @module Sends tokens to the reader of an answer.
 */
import { offerMessage, sendMessage } from "../../../base/csp";
import { type AnswerEvent, AnswerEventKind } from "../executionClient";
import { type ChatRun, ControlKind } from "./chatRun";
import { sendControl } from "./sendControl";

/**
 * Sends tokens to the reader. If the answer channel is full, no further generation events are read until it has room;
 * timers, notices and cancellation are still handled.
 *
 * @param run - The request
 * @param texts - The tokens that follow the delivered ones
 * @example
 * sendTokens(run, ["Hello", " there"]);
 */
export function sendTokens(run: ChatRun, texts: readonly string[]): void {
    const event: AnswerEvent = {
        kind: AnswerEventKind.Tokens,
        batch: { offset: run.deliveredTexts.length, texts: [...texts] },
    };
    run.deliveredTexts.push(...texts);
    if (offerMessage(run.answers, event)) {
        return;
    }
    run.isReaderSlow = true;
    void sendMessage(run.answers, event).then(() => sendControl(run, { kind: ControlKind.ReaderReady }));
}
