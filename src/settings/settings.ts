/**
 * @module The settings of a node, after every one of them was checked.
 */
import type { LogFormat, LogLevel } from "../base/log/log";

/** Files of a TLS key pair, in PEM. They are read again whenever they change. */
export interface TlsFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
    /** Certificates of the authorities whose peers are accepted; asked for on node links only. */
    readonly authorityFile?: string;
}

/** Where a listener stands. */
export interface ListenerSettings {
    /** IP number. */
    readonly address: string;
    /** 0 lets the system choose. */
    readonly port: number;
    /** Absent for plain connections. */
    readonly tls?: TlsFiles;
}

/** Limits that protect the callers' listener. */
export interface CallerLimits {
    readonly bodyBytes: number;
    /** Longest time for the headers of a request to arrive, in milliseconds. */
    readonly headerMs: number;
    /** Longest silence of a caller in the middle of a request, in milliseconds. */
    readonly idleMs: number;
    readonly connections: number;
    readonly openRequests: number;
}

/** Where the platform's services are. */
export interface PlatformSettings {
    readonly tableUrl: string;
    readonly objectsUrl: string;
    readonly cloudUrl: string;
    readonly vmListUrl: string;
}

/** An address that datagrams are sent to. */
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
    readonly nodeLink: ListenerSettings;
    readonly platform: PlatformSettings;
    readonly logLevel: LogLevel;
    readonly logFormat: LogFormat;
    /** Absent: no metrics are sent. */
    readonly statsd?: DatagramTarget;
    /** Longest time that a leaving node finishes what it holds, in milliseconds. */
    readonly drainMs: number;
}
