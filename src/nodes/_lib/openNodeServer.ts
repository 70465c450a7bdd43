/**
 * @module Opens the server for calls of other nodes.
 */
import { experimental, type Server, ServerCredentials } from "@grpc/grpc-js";
import { createFailure } from "../../base/createFailure";
import { FailureKind } from "../../base/failure";
import { FailureError } from "../../base/failureError";
import { createProblemLog } from "../../http/createProblemLog";
import { type ListenerSupervision, retryListening } from "../../http/retryListening";
import type { ListenAddress } from "../../http/startListening";
import type { TlsWatcher } from "../createTlsWatcher";
import { createCertificateProvider } from "./createCertificateProvider";

const LISTENER_NAME = "node-link";

/** A server that listens. */
export interface NodeServer {
    readonly server: Server;
    readonly port: number;
}

/** Where a server listens, and how its address is tried. */
export interface NodeServerOptions extends ListenAddress {
    /** Keys and certificates for mutual TLS; absent for plain connections. */
    readonly tls?: TlsWatcher;
    /** Default: the address is tried once. */
    readonly supervision?: ListenerSupervision;
}

/**
 * Opens a server. Each attempt uses a new one, since the library keeps the outcome of the first attempt for an address.
 *
 * @param createServer - Creates a server that doesn't listen yet
 * @param options - Its address, keys and supervision
 * @returns The server, listening
 * @throws {FailureError} `AddressUnavailable`, or `ShuttingDown` if the supervision is ended
 * @example
 * const { server, port } = await openNodeServer(createServer, { address: "127.0.0.1", port: 0 });
 */
export async function openNodeServer(createServer: () => Server, options: NodeServerOptions): Promise<NodeServer> {
    const { address, port, tls, supervision } = options;
    const credentials = createCredentials(tls);
    const listen = () => startServer(createServer(), options, credentials);
    if (supervision === undefined) {
        return listen();
    }
    const { clock, log } = supervision;
    const fields = { listener: LISTENER_NAME, address, port };
    const problems = createProblemLog(clock, log);
    const reportProblem = (error: Error) => problems.logProblem("listener can't listen", error, fields);
    const started = await retryListening({ name: LISTENER_NAME, address, port, listen, reportProblem }, supervision);
    if (started.isErr()) {
        throw new FailureError(started.error);
    }
    log.info("listener listens", fields);
    return started.value;
}

function createCredentials(tls: TlsWatcher | undefined): ServerCredentials {
    if (tls === undefined) {
        return ServerCredentials.createInsecure();
    }
    const provider = createCertificateProvider(tls);
    return experimental.createCertificateProviderServerCredentials(provider, provider, true);
}

function startServer(
    server: Server,
    { address, port }: ListenAddress,
    credentials: ServerCredentials,
): Promise<NodeServer> {
    const target = address.includes(":") ? `[${address}]:${port}` : `${address}:${port}`;
    return new Promise((resolve, reject) => {
        server.bindAsync(target, credentials, (error, boundPort) => {
            if (error) {
                server.forceShutdown();
                reject(new FailureError(createFailure(FailureKind.AddressUnavailable, error.message)));
            } else {
                resolve({ server, port: boundPort });
            }
        });
    });
}
