/**
 * @module Keeps secrets and request bodies out of logs.
 */
import type { LogFields } from "../log";

const HIDDEN = "[hidden]";
const MAXIMUM_TEXT_LENGTH = 1_000;
const SECRET_FIELD_PATTERN = /(key|secret|password|authorization|cookie|credential)$/i;
const CONTENT_FIELD_PATTERN = /(body|prompt|content|messages|completion|answer)$/i;
const BEARER_KEY_PATTERN = /\b(bearer)\s+[^\s"',;]+/gi;
const API_KEY_PATTERN = /\b(rwl|sk)[_-][\w-]{8,}/g;

/**
 * Hides text fields whose names suggest secrets or callers' content, and bearer keys inside other text fields. Numbers
 * and booleans are kept.
 *
 * @param fields - The fields of a log line
 * @returns The fields without secrets
 * @example
 * redactFields({ apiKey: "rwl_abc", tokens: 12 }); //=> { apiKey: "[hidden]", tokens: 12 }
 */
export function redactFields(fields: LogFields): LogFields {
    return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, redactValue(name, value)]));
}

/**
 * Hides bearer keys inside a text and truncates a long text.
 *
 * @param text - The text
 * @returns The text without keys, of at most about 1,000 characters
 * @example
 * redactText("Authorization: Bearer rwl_abcdefgh"); //=> "Authorization: Bearer [hidden]"
 */
export function redactText(text: string): string {
    const hidden = text.replace(BEARER_KEY_PATTERN, `$1 ${HIDDEN}`).replace(API_KEY_PATTERN, HIDDEN);
    return hidden.length > MAXIMUM_TEXT_LENGTH ? `${hidden.slice(0, MAXIMUM_TEXT_LENGTH)}…` : hidden;
}

function redactValue(name: string, value: LogFields[string]): LogFields[string] {
    if (typeof value !== "string") {
        return value;
    }
    return SECRET_FIELD_PATTERN.test(name) || CONTENT_FIELD_PATTERN.test(name) ? HIDDEN : redactText(value);
}
