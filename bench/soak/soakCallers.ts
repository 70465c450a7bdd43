/**
 * @module Callers of the soak: streams, postings that may not be repeated, and jobs.
 */
import { generateAnswer } from "../../src/standins/modelEngine/generateAnswer";
import { addCount, type SoakLedger, Told } from "./soakLedger";
import type { SoakNode } from "./soakNode";

/** What the callers need. */
export interface CallerOptions {
    readonly ledger: SoakLedger;
    readonly accountKey: string;
    /** Chooses a node that serves; `undefined` if none does. */
    readonly pickNode: () => SoakNode | undefined;
}

interface ErrorBody {
    readonly error?: { readonly execution?: string; readonly type?: string };
}

interface JobBody {
    readonly id: string;
    readonly status: string;
    readonly response?: { readonly choices: readonly { readonly message: { readonly content: string } }[] };
}

const ANSWER_TOKENS = 60;
const REQUEST_TIMEOUT_MS = 90_000;
const JOB_POLL_MS = 1_000;
const TOLD_BY_EXECUTION: Readonly<Record<string, Told>> = {
    not_run: Told.NotRun,
    unknown: Told.Unknown,
    ran: Told.Ran,
};

/**
 * Streams one answer and checks every byte of it.
 *
 * @param options - Ledger, key and nodes
 * @param label - Makes the prompt unique
 * @example
 * await streamAnswer(options, "caller-3 turn 7");
 */
export async function streamAnswer(options: CallerOptions, label: string): Promise<void> {
    const node = options.pickNode();
    if (node === undefined) {
        return;
    }
    const messages = [{ role: "user", content: `Soak question ${label}` }];
    const expected = generateAnswer(messages, ANSWER_TOKENS).join("");
    const body = { model: "assistant", stream: true, max_tokens: ANSWER_TOKENS, messages };
    let text = "";
    let told: Told;
    try {
        const response = await sendPost(node, options.accountKey, "/v1/chat/completions", JSON.stringify(body));
        if (response.ok) {
            text = await response.text();
            told = text.includes("data: [DONE]") ? Told.Succeeded : Told.Broken;
        } else {
            told = convertTold((await response.json()) as ErrorBody);
        }
    } catch {
        told = Told.Broken;
    }
    addCount(options.ledger.streams, told);
    const received = joinContent(text);
    const isRight = told === Told.Succeeded ? received === expected : expected.startsWith(received);
    if (!isRight) {
        options.ledger.violations.push(`stream ${label} through ${node.nodeId}: ${told}, wrong text ${received}`);
    }
}

/**
 * Posts something that may run at most once, and never again under another key.
 *
 * @param options - Ledger, key and nodes
 * @param key - The idempotency key
 * @example
 * await submitPosting(options, "payout-17");
 */
export async function submitPosting(options: CallerOptions, key: string): Promise<void> {
    const node = options.pickNode();
    if (node === undefined) {
        return;
    }
    const headers = { "idempotency-key": key, "redwinglift-class": "posting" };
    options.ledger.postings.set(key, Told.Broken);
    try {
        const response = await sendPost(node, options.accountKey, "/services/register/payouts", key, headers);
        const told = response.ok ? Told.Succeeded : convertTold((await response.json()) as ErrorBody);
        options.ledger.postings.set(key, told);
    } catch {
        // The connection broke: the ledger keeps that.
    }
}

/**
 * Submits a job and follows it to its end through whatever nodes serve.
 *
 * @param options - Ledger, key and nodes
 * @param label - Makes the prompt unique
 * @param isOver - Ends the following early
 * @example
 * await runJob(options, "job-4", () => isOver);
 */
export async function runJob(options: CallerOptions, label: string, isOver: () => boolean): Promise<void> {
    const node = options.pickNode();
    if (node === undefined) {
        return;
    }
    const messages = [{ role: "user", content: `Soak job ${label}` }];
    const body = JSON.stringify({ model: "assistant", max_tokens: ANSWER_TOKENS, messages });
    const headers = { prefer: "respond-async" };
    const accepted = await sendPost(node, options.accountKey, "/v1/chat/completions", body, headers).catch(
        () => undefined,
    );
    if (accepted?.status !== 202) {
        return;
    }
    const { id } = (await accepted.json()) as JobBody;
    options.ledger.jobs.set(id, "accepted");
    const expected = generateAnswer(messages, ANSWER_TOKENS).join("");
    while (!isOver()) {
        await new Promise(resolve => setTimeout(resolve, JOB_POLL_MS));
        const job = await readJob(options, id);
        if (job !== undefined && !["queued", "running"].includes(job.status)) {
            options.ledger.jobs.set(id, job.status);
            const text = job.response?.choices[0]?.message.content;
            if (job.status === "succeeded" && text !== expected) {
                options.ledger.violations.push(`job ${id}: wrong text ${text}`);
            }
            return;
        }
    }
}

async function readJob(options: CallerOptions, id: string): Promise<JobBody | undefined> {
    const node = options.pickNode();
    if (node === undefined) {
        return undefined;
    }
    try {
        const response = await fetch(`http://127.0.0.1:${node.callerPort}/v1/jobs/${id}`, {
            headers: { authorization: `Bearer ${options.accountKey}` },
            signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        });
        return response.ok ? ((await response.json()) as JobBody) : undefined;
    } catch {
        return undefined;
    }
}

function sendPost(
    node: SoakNode,
    accountKey: string,
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
    return fetch(`http://127.0.0.1:${node.callerPort}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${accountKey}`, "content-type": "application/json", ...headers },
        body,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
}

function convertTold(body: ErrorBody): Told {
    return TOLD_BY_EXECUTION[body.error?.execution ?? ""] ?? Told.Broken;
}

function joinContent(text: string): string {
    return [...text.matchAll(/^data: (\{.*\})$/gm)]
        .map(([, json]) => JSON.parse(json ?? "{}") as { choices?: readonly { delta?: { content?: string } }[] })
        .map(chunk => chunk.choices?.[0]?.delta?.content ?? "")
        .join("");
}
