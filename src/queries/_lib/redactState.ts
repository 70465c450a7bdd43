/**
 * @module Takes secrets and bodies out of dumped state.
 */

const HIDDEN = "[hidden]";
const SECRET_FIELD = /(key|keys|hash|hashes|secret|password|authorization|credential)$/i;
const CONTENT_FIELD = /^(body|prompt|content|messages|text|texts|answer)$/i;
/** Deeper values are left out; no task's state needs more. */
const MOST_DEPTH = 12;
/** Most entries shown of one list or map; a task shows an entry for each runner of the planned 3,200. */
const MOST_ENTRIES = 5_000;
const LONGEST_TEXT = 2_000;

/**
 * Copies a value for a dump. Texts in fields whose names speak of secrets or content are hidden; maps and sets become
 * JSON; very long or deep values are cut.
 *
 * @param value - What a task shows
 * @returns A JSON-compatible copy
 * @example
 * redactState({ keyHashes: ["ab…"], open: 3 }); //=> { keyHashes: "[hidden]", open: 3 }
 */
export function redactState(value: unknown): unknown {
    return redactValue(value, 0);
}

function redactValue(value: unknown, depth: number): unknown {
    if (typeof value === "string") {
        return value.length > LONGEST_TEXT ? `${value.slice(0, LONGEST_TEXT)}…` : value;
    }
    if (typeof value === "bigint") {
        return String(value);
    }
    if (typeof value !== "object" || !value) {
        return typeof value === "function" ? undefined : value;
    }
    return depth >= MOST_DEPTH ? "[deeper]" : redactObject(value, depth + 1);
}

function redactObject(value: object, depth: number): unknown {
    if (ArrayBuffer.isView(value)) {
        return `[${value.byteLength} bytes]`;
    }
    if (Array.isArray(value) || value instanceof Set) {
        const entries = [...value];
        const shown = entries.slice(0, MOST_ENTRIES).map(entry => redactValue(entry, depth));
        return entries.length > MOST_ENTRIES ? [...shown, `[${entries.length - MOST_ENTRIES} more]`] : shown;
    }
    const entries = value instanceof Map ? [...value] : Object.entries(value);
    const shown = entries.slice(0, MOST_ENTRIES).map(([name, entry]) => redactField(String(name), entry, depth));
    const rest = entries.length > MOST_ENTRIES ? [["[more]", entries.length - MOST_ENTRIES] as const] : [];
    return Object.fromEntries([...shown, ...rest]);
}

function redactField(name: string, value: unknown, depth: number): readonly [string, unknown] {
    const isScalar = typeof value === "number" || typeof value === "boolean" || value === undefined;
    const isHidden = !isScalar && (SECRET_FIELD.test(name) || CONTENT_FIELD.test(name));
    return [name, isHidden ? HIDDEN : redactValue(value, depth)];
}
