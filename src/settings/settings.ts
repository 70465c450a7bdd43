/**
 * @module The settings of a node, after validation.
 */
import type { LogFormat, LogLevel } from "../base/log/log";

/** Paths of the files of a TLS key pair, in PEM format. The files are reloaded whenever they change. */
export interface TlsFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
    /** Certificates of the authorities that sign the certificates of accepted peers; for links between nodes only. */
    readonly authorityFile?: string;
}

/** Address and TLS files of a listener. */
export interface ListenerSettings {
    /** IP address to listen on. */
    readonly address: string;
    /** With 0 the operating system chooses a free port. */
    readonly port: number;
    /** Absent for unencrypted connections. */
    readonly tls?: TlsFiles;
}

/** Limits that protect the callers' listener. */
export interface CallerLimits {
    /** Largest request body, in bytes. */
    readonly bodyBytes: number;
    /** Longest time for the headers of a request to arrive, in milliseconds. */
    readonly headerMs: number;
    /** Longest time without data from a caller in the middle of a request, in milliseconds. */
    readonly idleMs: number;
    /** Maximum number of open connections. */
    readonly connections: number;
    /** Maximum number of requests in progress. */
    readonly openRequests: number;
}

/** URLs of the platform's services. */
export interface PlatformSettings {
    readonly tableUrl: string;
    readonly objectsUrl: string;
    readonly cloudUrl: string;
    readonly vmListUrl: string;
}

/** IP address and UDP port that datagrams are sent to. */
export interface DatagramTarget {
    readonly address: string;
    readonly port: number;
}

/** All settings of `redwinglift serve`. */
export interface Settings {
    readonly nodeId: string;
    readonly vmId: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly callers: ListenerSettings;
    readonly callerLimits: CallerLimits;
    readonly operators: ListenerSettings;
    /** SHA-256 of each operator key, lower-case hexadecimal. */
    readonly operatorKeyHashes: readonly string[];
    /** The listener for other nodes. */
    readonly nodeLink: ListenerSettings;
    readonly platform: PlatformSettings;
    readonly logLevel: LogLevel;
    readonly logFormat: LogFormat;
    /** Where metrics are sent; if absent, none are sent. */
    readonly statsd?: DatagramTarget;
    /** Longest time that a node which shuts down waits for its requests in progress, in milliseconds. */
    readonly drainMs: number;
}
