/**
 * @module Definitions of all settings: schema, default and description.
 */
import net from "node:net";
import { z } from "zod";
import { LogFormat, LogLevel } from "../base/log/log";

const MAXIMUM_PORT = 65_535;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

const identifier = z
    .string()
    .regex(
        NAME_PATTERN,
        "must be 1 to 128 letters, digits, dots, colons, hyphens or underscores, and begin with a letter or digit",
    );
const address = z.string().refine(text => net.isIP(text) !== 0, "must be an IP number");
const port = buildIntegerSchema(0, MAXIMUM_PORT);
const file = z.string().min(1, "must name a file");
const httpUrl = z.string().refine(isHttpUrl, "must be an http or https URL without user, password or query");
const booleanText = z.enum(["true", "false"], "must be true or false").transform(text => text === "true");
const keyHashes = z
    .string()
    .transform(text => text.split(/[\s,]+/).filter(hash => hash !== ""))
    .refine(
        hashes => hashes.every(hash => SHA256_PATTERN.test(hash)),
        "must be SHA-256 hashes of 64 hexadecimal digits",
    );

/** Definition of one setting. */
export interface SettingDefinition<T = unknown> {
    /** Validates the text and converts it to the value. */
    readonly schema: z.ZodType<T, string>;
    readonly description: string;
    /** Used if neither a flag nor a variable is given; a setting without a default that is not required is optional. */
    readonly defaultText?: string;
    readonly isRequired?: boolean;
    /** Whether the value is hidden wherever settings are shown. */
    readonly isSecret?: boolean;
    /** Whether the flag may be given without a value, which means `true`. */
    readonly isSwitch?: boolean;
}

/** All settings of `redwinglift serve` by name. The names of flags and variables are derived from it. */
export const SETTING_DEFINITIONS = {
    nodeId: define(identifier, "Name of this node, unique over all nodes", { isRequired: true }),
    vmId: define(identifier, "Id of the VM this node runs on, as the platform lists it", { isRequired: true }),
    region: define(identifier, "Region of the VM", { isRequired: true }),
    failureDomain: define(identifier, "Failure domain of the VM", { isRequired: true }),
    callerAddress: define(address, "IP number of the callers' listener", { defaultText: "127.0.0.1" }),
    callerPort: define(port, "Port of the callers' listener; 0 lets the system choose", { defaultText: "8080" }),
    callerCertificateFile: define(file, "Certificate of the callers' listener (PEM)"),
    callerKeyFile: define(file, "Private key of the callers' listener (PEM)"),
    callerAllowPlain: define(
        booleanText,
        "Allow plain HTTP for callers beyond loopback, for example behind a balancer that ends TLS",
        {
            defaultText: "false",
            isSwitch: true,
        },
    ),
    callerBodyBytes: define(buildIntegerSchema(1_024, 1_073_741_824), "Largest request body", {
        defaultText: "4194304",
    }),
    callerHeaderMs: define(buildIntegerSchema(100, 600_000), "Longest time for the headers of a request to arrive", {
        defaultText: "10000",
    }),
    callerIdleMs: define(buildIntegerSchema(100, 3_600_000), "Longest silence of a caller inside a request", {
        defaultText: "30000",
    }),
    callerConnections: define(buildIntegerSchema(1, 1_000_000), "Most open connections of callers", {
        defaultText: "10000",
    }),
    callerOpenRequests: define(buildIntegerSchema(1, 1_000_000), "Most requests in progress", { defaultText: "5000" }),
    operatorAddress: define(address, "IP number of the operators' listener", { defaultText: "127.0.0.1" }),
    operatorPort: define(port, "Port of the operators' listener; 0 lets the system choose", { defaultText: "8081" }),
    operatorCertificateFile: define(file, "Certificate of the operators' listener (PEM)"),
    operatorKeyFile: define(file, "Private key of the operators' listener (PEM)"),
    operatorAllowPlain: define(booleanText, "Allow plain HTTP for operators beyond loopback", {
        defaultText: "false",
        isSwitch: true,
    }),
    operatorKeyHashes: define(keyHashes, "SHA-256 hashes of operator keys, separated by commas", { isSecret: true }),
    operatorKeyHashesFile: define(file, "File with one SHA-256 hash of an operator key a line"),
    nodeAddress: define(address, "IP number of the listener for other nodes", { defaultText: "127.0.0.1" }),
    nodePort: define(port, "Port of the listener for other nodes; 0 lets the system choose", { defaultText: "8082" }),
    nodeCertificateFile: define(file, "Certificate of this node towards other nodes (PEM)"),
    nodeKeyFile: define(file, "Private key of this node towards other nodes (PEM)"),
    nodeAuthorityFile: define(file, "Certificates of the authorities that sign nodes' certificates (PEM)"),
    nodeAllowPlain: define(booleanText, "Allow plain links between nodes beyond loopback", {
        defaultText: "false",
        isSwitch: true,
    }),
    platformTableUrl: define(httpUrl, "URL of the platform's table service", { isRequired: true }),
    platformObjectsUrl: define(httpUrl, "URL of the platform's object store", { isRequired: true }),
    platformCloudUrl: define(httpUrl, "URL of the platform's cloud API", { isRequired: true }),
    platformVmListUrl: define(httpUrl, "URL of the platform's VM list", { isRequired: true }),
    platformAllowPlain: define(booleanText, "Allow plain HTTP to the platform beyond loopback", {
        defaultText: "false",
        isSwitch: true,
    }),
    logLevel: define(
        z.enum(LogLevel, "must be debug, info, warn or error"),
        "What is logged at least: debug, info, warn or error",
        {
            defaultText: LogLevel.Info,
        },
    ),
    logFormat: define(z.enum(LogFormat, "must be text or json"), "Log lines as text or json", {
        defaultText: LogFormat.Text,
    }),
    statsdAddress: define(address, "IP number that metrics are sent to; none are sent without it"),
    statsdPort: define(buildIntegerSchema(1, MAXIMUM_PORT), "UDP port that metrics are sent to", {
        defaultText: "8125",
    }),
    drainMs: define(buildIntegerSchema(0, 3_600_000), "Longest time that a leaving node finishes what it holds", {
        defaultText: "25000",
    }),
};

/** Name of a setting. */
export type SettingName = keyof typeof SETTING_DEFINITIONS;

/** Parsed values of the settings, each checked on its own; a setting that failed its check is absent. */
export type SettingValues = {
    readonly [Name in SettingName]?: (typeof SETTING_DEFINITIONS)[Name] extends SettingDefinition<infer Value>
        ? Value
        : never;
};

function define<T>(
    schema: z.ZodType<T, string>,
    description: string,
    options: Omit<SettingDefinition, "schema" | "description"> = {},
): SettingDefinition<T> {
    return { schema, description, ...options };
}

function buildIntegerSchema(low: number, high: number): z.ZodType<number, string> {
    const message = `must be a whole number from ${low} to ${high}`;
    return z
        .string()
        .regex(/^\d{1,15}$/, message)
        .transform(Number)
        .refine(number => number >= low && number <= high, message);
}

function isHttpUrl(text: string): boolean {
    if (!URL.canParse(text)) {
        return false;
    }
    const url = new URL(text);
    const isBare = url.username === "" && url.password === "" && url.search === "" && url.hash === "";
    return isBare && (url.protocol === "http:" || url.protocol === "https:");
}
