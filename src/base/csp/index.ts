/**
 * @module Typed channels and supervised tasks on top of js-csp.
 */
export { type Channel, Overflow, type TaskGenerator } from "./channel";
export { closeChannel } from "./closeChannel";
export { createChannel } from "./createChannel";
export { createTimer, type Timer } from "./createTimer";
export { createTimeout } from "./createTimeout";
export { offerMessage } from "./offerMessage";
export { pollMessage } from "./pollMessage";
export { put } from "./put";
export { receiveMessage } from "./receiveMessage";
export { selectMessage } from "./selectMessage";
export { sendMessage } from "./sendMessage";
export { startTask, type Task, type TaskEnd } from "./startTask";
export { superviseTask, type SupervisionOptions } from "./superviseTask";
export { take } from "./take";
export { takeBatch } from "./takeBatch";
export { waitFor } from "./waitFor";
