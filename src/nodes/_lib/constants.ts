/**
 * @module Limits and periods of the links between nodes.
 */

/** Bytes that a unary call adds to its bodies in each direction: HTTP/2 frames, TLS records, TCP and IP headers. */
export const CALL_OVERHEAD_BYTES = 250;
/** Bytes that opening a connection costs in each direction: TCP, mutual TLS and the first HTTP/2 frames. */
export const CONNECTION_OVERHEAD_BYTES = 2_000;
/** A link that carried no call for so long is closed. */
export const LINK_IDLE_MS = 30_000;
/** A silent peer is found by this ping at the latest; calls find it sooner by their own timeouts. */
export const KEEPALIVE_PERIOD_MS = 20_000;
/** Wait for the answer to a keepalive ping. */
export const KEEPALIVE_TIMEOUT_MS = 5_000;
/** Wait between two looks at the key and certificate files. */
export const TLS_RELOAD_PERIOD_MS = 5_000;
/** Largest message accepted from another node. */
export const MESSAGE_MAX_BYTES = 4 * 1024 * 1024;
/** Name that every node's certificate carries. VMs change addresses; the name stays. */
export const NODE_CERTIFICATE_NAME = "redwinglift-node";
/** Path prefix of the methods in nodeLink.proto. */
export const SERVICE_PATH = "/redwinglift.NodeLink/";
