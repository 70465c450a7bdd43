/**
 * @module Handing tokens to the reader of an answer.
 */
import { offerMessage, sendMessage } from "../../../base/csp";
import { type AnswerEvent, AnswerEventKind } from "../executionClient";
import { type ChatRun, ControlKind } from "./chatRun";
import { sendControl } from "./sendControl";

/**
 * Hands tokens to the reader. If the reader is slow, no further events of the runner are read until it has caught up;
 * timers, notices and cancelling go on.
 *
 * @param run - The request
 * @param texts - The tokens that follow the delivered ones
 * @example
 * sendTexts(run, ["Hello", " there"]);
 */
export function sendTexts(run: ChatRun, texts: readonly string[]): void {
    const event: AnswerEvent = {
        kind: AnswerEventKind.Tokens,
        batch: { offset: run.delivered.length, texts: [...texts] },
    };
    run.delivered.push(...texts);
    if (offerMessage(run.answers, event)) {
        return;
    }
    run.isReaderSlow = true;
    void sendMessage(run.answers, event).then(() => sendControl(run, { kind: ControlKind.ReaderReady }));
}
