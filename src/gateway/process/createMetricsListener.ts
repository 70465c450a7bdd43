/**
 * @module The listener inside the system that serves metrics and takes orders of operators.
 */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { sendFailure } from "../../http/sendFailure";
import { sendJson } from "../../http/sendJson";
import type { RequestExplainer } from "../explain/createRequestExplainer";
import { decodeExplainQuery } from "../explain/explainQuery";
import { EXPLAIN_PATH } from "../explain/explanation";
import { FailureOwner, type FailureReporter } from "./createFailureReporter";
import type { PartQuarantine } from "../quarantine/createPartQuarantine";

/** What the listener serves. */
export interface MetricsListenerOptions {
    /** Gives the metrics as text. */
    readonly formatMetrics: () => Promise<string>;
    readonly quarantine: Pick<PartQuarantine, "releasePart" | "hasEvidence">;
    readonly explainRequest: RequestExplainer;
    readonly reportFailure: FailureReporter;
}

/** The name of the query parameter with the id of a prompt part. */
const PART_PARAMETER = "part";

/**
 * Creates the server; it does not listen yet. `POST /quarantine/release?part=ID` frees a prompt part at all nodes; `GET
 * /explain?path=PATH` explains where a request would go; any other request gets the metrics.
 *
 * @param options - What it serves
 * @returns The server
 * @example
 * await startListening(createMetricsListener({ formatMetrics, quarantine, explainRequest, reportFailure }), { address, port });
 */
export function createMetricsListener({
    formatMetrics,
    quarantine,
    explainRequest,
    reportFailure,
}: MetricsListenerOptions): http.Server {
    const releasePart = (part: string, response: ServerResponse) => {
        if (!quarantine.hasEvidence(part)) {
            endWithStatus(response, HttpStatus.NotFound);
            return;
        }
        quarantine.releasePart(part);
        endWithStatus(response, HttpStatus.Ok);
    };
    let current: Promise<string> | undefined;
    /** Gives the same text to all requests of one turn of the event loop, since it takes milliseconds to format. */
    const formatOncePerTurn = () => {
        if (current === undefined) {
            setImmediate(() => (current = undefined));
            current = formatMetrics();
        }
        return current;
    };
    const answerRequest = async (request: IncomingMessage, response: ServerResponse) => {
        const { path, query } = splitTarget(request.url ?? "/");
        if (path === "/quarantine/release" && request.method === "POST") {
            releasePart(new URLSearchParams(query).get(PART_PARAMETER) ?? "", response);
            return;
        }
        if (path === EXPLAIN_PATH) {
            decodeExplainQuery(query)
                .andThen(explainRequest)
                .match(
                    explanation => sendJson(response, HttpStatus.Ok, explanation),
                    failure => sendFailure(response, failure),
                );
            return;
        }
        response.end(await formatOncePerTurn());
    };
    return http.createServer((request, response) => {
        request.resume();
        answerRequest(request, response).catch((error: unknown) => {
            reportFailure(FailureOwner.InternalRequest, error);
            endWithStatus(response, HttpStatus.InternalServerError);
        });
    });
}

function endWithStatus(response: ServerResponse, status: number): void {
    response.writeHead(status, { "content-length": 0 });
    response.end();
}

/** Splits a request target at its first question mark; a query may contain further ones. */
function splitTarget(target: string): { readonly path: string; readonly query: string } {
    const at = target.indexOf("?");
    return at < 0 ? { path: target, query: "" } : { path: target.slice(0, at), query: target.slice(at + 1) };
}
