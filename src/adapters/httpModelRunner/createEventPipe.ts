/**
 * @module The bounded way of events from a socket to their reader.
 */
import { type Channel, closeChannel, createChannel, offerMessage, sendMessage } from "../../base/csp";
import type { GenerationEvent } from "../../model/request";
import { STREAM_EVENTS_WAITING } from "../constants";

/** Carries events in order and says when the socket must rest. */
export interface EventPipe {
    readonly events: Channel<GenerationEvent>;
    /** Passes an event on, or holds it until the reader has made room. */
    pushEvent(event: GenerationEvent): void;
    /** Passes a last event on and closes the channel after it. */
    endWith(event: GenerationEvent): void;
    readonly isEnded: boolean;
}

/**
 * Creates a pipe.
 *
 * @param handleFlow - Called with true when the reader lags and with false when it has caught up
 * @returns The pipe
 * @example
 * const pipe = createEventPipe(isBlocked => (isBlocked ? response.pause() : response.resume()));
 */
export function createEventPipe(handleFlow: (isBlocked: boolean) => void): EventPipe {
    const events = createChannel<GenerationEvent>(STREAM_EVENTS_WAITING);
    const held: GenerationEvent[] = [];
    let isBlocked = false;
    let isEnded = false;

    const drainHeld = async () => {
        isBlocked = true;
        handleFlow(true);
        for (let next = held.shift(); next !== undefined; next = held.shift()) {
            await sendMessage(events, next);
        }
        isBlocked = false;
        if (isEnded) {
            closeChannel(events);
        } else {
            handleFlow(false);
        }
    };
    const pushEvent = (event: GenerationEvent) => {
        if (isBlocked) {
            held.push(event);
        } else if (!offerMessage(events, event)) {
            held.push(event);
            void drainHeld();
        }
    };
    return {
        events,
        pushEvent: event => {
            if (!isEnded) {
                pushEvent(event);
            }
        },
        endWith: event => {
            if (isEnded) {
                return;
            }
            isEnded = true;
            pushEvent(event);
            if (!isBlocked) {
                closeChannel(events);
            }
        },
        get isEnded() {
            return isEnded;
        },
    };
}
