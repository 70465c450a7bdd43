/**
 * @module Keeps secrets and bodies out of logs.
 */
import type { LogFields } from "../log";

const HIDDEN = "[hidden]";
const LONGEST_TEXT = 1_000;
const SECRET_FIELD = /(key|secret|password|authorization|cookie|credential)$/i;
const CONTENT_FIELD = /(body|prompt|content|messages|completion|answer)$/i;
const BEARER_TEXT = /\b(bearer)\s+[^\s"',;]+/gi;
const KEY_TEXT = /\b(rwl|sk)[_-][\w-]{8,}/g;

/**
 * Hides texts of fields whose names speak of secrets or of callers' content. Numbers and booleans stay.
 *
 * @param fields - The fields
 * @returns The fields without secrets
 * @example
 * redactFields({ apiKey: "rwl_abc", tokens: 12 }); //=> { apiKey: "[hidden]", tokens: 12 }
 */
export function redactFields(fields: LogFields): LogFields {
    return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, redactValue(name, value)]));
}

/**
 * Hides bearer keys inside a text and cuts a long text.
 *
 * @param text - Any text
 * @returns The text without keys, of at most about 1,000 characters
 * @example
 * redactText("Authorization: Bearer rwl_abcdefgh"); //=> "Authorization: Bearer [hidden]"
 */
export function redactText(text: string): string {
    const hidden = text.replace(BEARER_TEXT, `$1 ${HIDDEN}`).replace(KEY_TEXT, HIDDEN);
    return hidden.length > LONGEST_TEXT ? `${hidden.slice(0, LONGEST_TEXT)}…` : hidden;
}

function redactValue(name: string, value: LogFields[string]): LogFields[string] {
    if (typeof value !== "string") {
        return value;
    }
    return SECRET_FIELD.test(name) || CONTENT_FIELD.test(name) ? HIDDEN : redactText(value);
}
