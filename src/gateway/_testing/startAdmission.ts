/**
 * @module A request path whose endpoints hold requests until a test answers them, for the tests of admission.
 */
import type { Socket } from "node:net";
import { waitUntil } from "../../adapters/contracts/waitUntil";
import type { GatewayRoute } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "./createGatewayHarness";
import { type EndpointScript, formatAnswer } from "./startScriptedEndpoint";

/** Load with a pace, of an idle endpoint with four slots. */
export const IDLE_LOAD = "0,0,4,100";

/** A request path with held requests. */
export interface AdmissionSubject {
    readonly harness: GatewayHarness;
    /** The paths of the requests that have reached an endpoint, in their order. */
    readonly reached: readonly string[];
    /** Answers the held requests at an endpoint, the first ones first. */
    answer(count: number, endpoint?: number): void;
    /** Sends requests that the endpoints hold, and waits until they have reached them. */
    occupy(count: number): Promise<void>;
    /** Gives the lines of the metrics of admission, without those that are 0. */
    readMetrics(): Promise<string>;
}

/**
 * Starts it. Each endpoint has four slots; one request to each has been answered with the load already.
 *
 * @param route - The route
 * @param load - The load that endpoints name in their answers
 * @param options - As those of the harness; `endpoints` is their number, default: 1
 * @returns The request path
 * @example
 * const subject = await startAdmission(makeRoute(), IDLE_LOAD);
 */
export async function startAdmission(
    route: GatewayRoute,
    load: string,
    options: Parameters<typeof createGatewayHarness>[2] & { readonly endpoints?: number } = {},
): Promise<AdmissionSubject> {
    const { endpoints = 1 } = options;
    const reached: string[] = [];
    const held: Socket[][] = Array.from({ length: endpoints }, () => []);
    const formatLoaded = (request: string) => {
        const id = /^redwinglift-attempt-id: (\S+)/im.exec(request)?.[1] ?? "";
        return formatAnswer("hello", {
            headers: [`Redwinglift-Attempt-Id: ${id}`, `Redwinglift-Instance-Load: ${load}`],
        });
    };
    const answers = new Map<Socket, string>();
    let isHolding = false;
    const createScript =
        (index: number): EndpointScript =>
        (request, socket) => {
            if (isHolding) {
                reached.push(/^\S+ (\S+)/.exec(request)?.[1] ?? "");
                held[index]?.push(socket);
                answers.set(socket, formatLoaded(request));
            } else {
                socket.write(formatLoaded(request));
            }
        };
    const harness = await createGatewayHarness(
        route,
        Array.from({ length: endpoints }, (_none, index) => createScript(index)),
        options,
    );
    const records = harness.directory.listAll("chat");
    // Each endpoint names its load once: those before it count as unreachable meanwhile.
    for (let index = 0; index < endpoints; index++) {
        records.forEach((record, other) => (record.suspectUntilMs = other === index ? 0 : Number.POSITIVE_INFINITY));
        await harness.send();
    }
    records.forEach(record => (record.suspectUntilMs = 0));
    isHolding = true;
    return {
        harness,
        reached,
        answer: (count, endpoint = 0) =>
            held[endpoint]?.splice(0, count).forEach(socket => socket.write(answers.get(socket) ?? "")),
        occupy: async count => {
            const before = reached.length;
            for (let index = 0; index < count; index++) {
                void harness.send({ path: "/a/occupied" });
                await waitUntil(() => reached.length === before + index + 1, "the endpoint has the request");
            }
        },
        readMetrics: async () => {
            const text = await harness.components.metrics.formatMetrics();
            return text
                .split("\n")
                .filter(line => /^redwinglift_admission_(decisions|waiting)/.test(line) && !line.endsWith(" 0"))
                .join("\n");
        },
    };
}
