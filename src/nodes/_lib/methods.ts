/**
 * @module The methods of the node link as gRPC definitions. Bodies are encoded and decoded by `nodeMessages.ts`.
 */
import type { MethodDefinition, ServiceDefinition } from "@grpc/grpc-js";
import { NodeCall } from "../nodeTransport";
import { SERVICE_PATH } from "./constants";

/** A method whose bodies pass as bytes. */
export type BytesMethod = MethodDefinition<Buffer, Buffer>;

const passBytes = (body: Buffer): Buffer => body;

/** The methods by call. */
export const METHODS = Object.fromEntries(
    Object.values(NodeCall).map(call => [
        call,
        {
            path: SERVICE_PATH + call,
            requestStream: false,
            responseStream: false,
            requestSerialize: passBytes,
            requestDeserialize: passBytes,
            responseSerialize: passBytes,
            responseDeserialize: passBytes,
        } satisfies BytesMethod,
    ]),
) as Readonly<Record<NodeCall, BytesMethod>>;

/** The service definition for the server. */
export const SERVICE: ServiceDefinition = METHODS;
