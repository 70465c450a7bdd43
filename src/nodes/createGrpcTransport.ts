/**
 * @module Links between nodes over gRPC.
 */
import {
    type Client,
    Metadata,
    type sendUnaryData,
    Server,
    type ServerUnaryCall,
    type ServiceError,
    status,
} from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import type { ListenerSupervision } from "../http/retryListening";
import type { Clock } from "../base/clock";
import { createFailure } from "../base/createFailure";
import { Execution, type Failure, FailureKind } from "../base/failure";
import { FailureError } from "../base/failureError";
import { KEEPALIVE_PERIOD_MS, KEEPALIVE_TIMEOUT_MS, MESSAGE_MAX_BYTES } from "./_lib/constants";
import { createLinkPool } from "./_lib/createLinkPool";
import { createTrafficCounter } from "./_lib/createTrafficCounter";
import { METHODS, SERVICE } from "./_lib/methods";
import { openNodeServer } from "./_lib/openNodeServer";
import type { TlsWatcher } from "./createTlsWatcher";
import { type CallHandler, type CallOptions, type NodeAddress, NodeCall, type NodeTransport } from "./nodeTransport";

/** Where and how a node accepts calls. */
export interface GrpcTransportOptions {
    /** IP number to listen on. */
    readonly address: string;
    /** 0 lets the system choose. */
    readonly port: number;
    readonly clock: Clock;
    /** How long the address is tried; default: once. */
    readonly supervision?: ListenerSupervision;
    /** Keys and certificates for mutual TLS; absent for plain connections. */
    readonly tls?: TlsWatcher;
    /** Allows plain connections on other addresses than loopback (default false). */
    readonly allowsPlain?: boolean;
}

const SERVER_OPTIONS = {
    "grpc.max_receive_message_length": MESSAGE_MAX_BYTES,
    "grpc.keepalive_time_ms": KEEPALIVE_PERIOD_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.enable_channelz": 0,
};

/** A listening transport. */
export interface GrpcTransport extends NodeTransport {
    /** The port it listens on. */
    readonly port: number;
}

/**
 * Starts to listen for calls of other nodes, and makes calls to them. With TLS both ends show a certificate; what an
 * authority of the settings did not sign is refused.
 *
 * @param options - Address, port, clock and keys
 * @returns The transport, listening
 * @throws {FailureError} `InvalidSettings` for a plain listener beyond loopback; `AddressUnavailable` for an address that
 * can't be bound
 * @example
 * const transport = await createGrpcTransport({ address: "127.0.0.1", port: 0, clock });
 */
export async function createGrpcTransport(options: GrpcTransportOptions): Promise<GrpcTransport> {
    if (options.tls === undefined && options.allowsPlain !== true && !isLoopback(options.address)) {
        const message = `Node links on ${options.address} need TLS; plain ones are accepted on loopback only.`;
        throw new FailureError(createFailure(FailureKind.InvalidSettings, message));
    }
    if (options.tls?.readCurrent().authorities.length === 0) {
        const message = "Node links need an authority file: without it any certificate would be accepted.";
        throw new FailureError(createFailure(FailureKind.InvalidSettings, message));
    }
    const traffic = createTrafficCounter();
    const pool = createLinkPool({ clock: options.clock, tls: options.tls, onOpened: traffic.addConnection });
    let handler: CallHandler | undefined;

    const serveCall =
        (call: NodeCall) => async (request: ServerUnaryCall<Buffer, Buffer>, reply: sendUnaryData<Buffer>) => {
            traffic.addReceived(request.request.length);
            try {
                if (handler === undefined) {
                    throw new FailureError(createFailure(FailureKind.ShuttingDown, "The node takes no calls yet."));
                }
                const body = Buffer.from(await handler(call, request.request));
                traffic.addSent(body.length);
                reply(null, body); // eslint-disable-line no-restricted-syntax -- the library's signature
            } catch (error) {
                reply({ code: status.INTERNAL, details: error instanceof Error ? error.message : "failed" });
            }
        };
    const createServer = () => {
        const server = new Server(SERVER_OPTIONS);
        server.addService(SERVICE, Object.fromEntries(Object.values(NodeCall).map(call => [call, serveCall(call)])));
        return server;
    };
    const { server, port } = await openNodeServer(createServer, options);

    const sendCall = (link: Client, call: NodeCall, body: Uint8Array, timeoutMs: number) =>
        new Promise<Result<Uint8Array, Failure>>(resolve => {
            const { path, requestSerialize, responseDeserialize } = METHODS[call];
            traffic.addCall(call);
            traffic.addSent(body.length);
            link.makeUnaryRequest(
                path,
                requestSerialize,
                responseDeserialize,
                Buffer.from(body),
                new Metadata(),
                { deadline: Date.now() + timeoutMs },
                (error, reply) => resolve(convertReply(error, reply)),
            );
        });
    const callNode = async (target: NodeAddress, call: NodeCall, body: Uint8Array, callOptions: CallOptions) => {
        const link = callOptions.isNewConnection ? pool.openSeparateLink(target) : pool.getLink(target);
        const answer = await sendCall(link, call, body, callOptions.timeoutMs);
        if (answer.isOk()) {
            traffic.addReceived(answer.value.length);
        }
        if (callOptions.isNewConnection) {
            link.close();
        } else if (answer.isErr() && answer.error.kind === FailureKind.EndpointSilent) {
            pool.dropLink(target, link);
        }
        return answer;
    };
    return {
        port,
        callNode,
        setCallHandler: next => {
            handler = next;
        },
        countTraffic: traffic.readCount,
        dispose: () => {
            pool.dispose();
            server.forceShutdown();
        },
    };
}

const SILENT_CODES: readonly status[] = [status.DEADLINE_EXCEEDED, status.UNAVAILABLE, status.CANCELLED];

function convertReply(error: ServiceError | null, reply: Buffer | undefined): Result<Uint8Array, Failure> {
    if (!error) {
        return ok(reply ?? new Uint8Array());
    }
    const kind = SILENT_CODES.includes(error.code) ? FailureKind.EndpointSilent : FailureKind.EndpointFailed;
    return err(createFailure(kind, `Node call failed: ${error.details}`, { execution: Execution.Unknown }));
}

function isLoopback(address: string): boolean {
    return address === "::1" || address.startsWith("127.");
}
