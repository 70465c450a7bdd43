/**
 * @module The question where a request would go, as a query of the internal listener.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import type { PromptPart } from "../../ports/forwardingCodec";

/** The request that is asked about. */
export interface ExplainQuery {
    /** `undefined`: that of the only route which matches the path. */
    readonly host: string | undefined;
    readonly path: string;
    readonly account: string | undefined;
    readonly model: string | undefined;
    /** The parts of its prompt, in order. */
    readonly promptParts: readonly PromptPart[];
    readonly promptTokens: number | undefined;
    readonly outputTokensMax: number | undefined;
    /** Ids of the endpoints that attempts were made at. */
    readonly tried: readonly string[];
}

/** Longest text of a value, and most items of a list. */
const TEXT_MAX = 2_048;
const ITEMS_MAX = 128;
const NAMES: ReadonlySet<string> = new Set(["host", "path", "account", "model", "prefix", "tokens", "tried"]);
const VISIBLE = /^[\x21-\x7e]+$/;
// eslint-disable-next-line no-control-regex -- control characters are what is refused
const PRINTABLE = /^[^\u0000-\u001f\u007f]+$/;
const COUNT = /^\d{1,12}$/;

/**
 * Encodes a question.
 *
 * @param query - Its values by name, as `decodeExplainQuery` takes them; those that are `undefined` are left out
 * @returns The query without the question mark
 * @example
 * encodeExplainQuery({ path: "/a/b", tokens: "1200,400" }); //=> "path=%2Fa%2Fb&tokens=1200%2C400"
 */
export function encodeExplainQuery(query: Readonly<Record<string, string | undefined>>): string {
    const given = Object.entries(query).filter((entry): entry is [string, string] => entry[1] !== undefined);
    return new URLSearchParams(given).toString();
}

/**
 * Decodes a question: `path`, and optionally `host`, `account`, `model`, `prefix` (`ID:TOKENS,...`), `tokens`
 * (`PROMPT,OUTPUT`) and `tried` (ids of endpoints).
 *
 * @param text - The query without the question mark
 * @returns The question, or `InvalidRequest`
 * @example
 * decodeExplainQuery("path=/a/b").map(({ path }) => path);
 */
export function decodeExplainQuery(text: string): Result<ExplainQuery, Failure> {
    const values = new URLSearchParams(text);
    const names = [...values.keys()];
    const unknown = names.find(name => !NAMES.has(name));
    if (unknown !== undefined) {
        return refuse("There is a value with an unknown name.");
    }
    const repeated = names.find((name, index) => names.indexOf(name) !== index);
    if (repeated !== undefined) {
        return refuse(`${repeated} is given more than once.`);
    }
    const bad = [...values].find(([, value]) => value.length > TEXT_MAX || !PRINTABLE.test(value));
    if (bad !== undefined) {
        return refuse(`${bad[0]} must have 1 to ${TEXT_MAX} characters, none of them a control character.`);
    }
    const path = values.get("path") ?? undefined;
    if (path?.startsWith("/") !== true || !VISIBLE.test(path)) {
        return refuse("path must be given: a path that begins with /, in visible ASCII characters.");
    }
    const tokens = splitList(values.get("tokens") ?? undefined);
    if (tokens.length > 2 || !tokens.every(count => COUNT.test(count))) {
        return refuse("tokens must be one or two whole numbers: PROMPT,OUTPUT.");
    }
    const parts = splitList(values.get("prefix") ?? undefined).map(parsePart);
    const promptParts = parts.filter(part => part !== undefined);
    if (promptParts.length < parts.length || parts.length > ITEMS_MAX) {
        return refuse(`prefix must be 1 to ${ITEMS_MAX} parts: ID:TOKENS,ID:TOKENS.`);
    }
    const tried = splitList(values.get("tried") ?? undefined);
    if (tried.length > ITEMS_MAX) {
        return refuse(`tried must be at most ${ITEMS_MAX} ids of endpoints.`);
    }
    const [promptTokens, outputTokensMax] = tokens.map(Number);
    return ok({
        host: values.get("host") ?? undefined,
        path,
        account: values.get("account") ?? undefined,
        model: values.get("model") ?? undefined,
        promptParts,
        promptTokens,
        outputTokensMax,
        tried,
    });
}

function splitList(text: string | undefined): readonly string[] {
    return text === undefined ? [] : text.split(",").map(item => item.trim());
}

function parsePart(text: string): PromptPart | undefined {
    const [id = "", count = "", ...rest] = text.split(":");
    return id === "" || !COUNT.test(count) || rest.length > 0 ? undefined : { id, tokens: Number(count) };
}

function refuse(message: string): Result<never, Failure> {
    return err(createFailure(FailureKind.InvalidRequest, message));
}
