/**
 * @module Checks settings against each other, and the files that they name.
 */
import { isLoopbackAddress } from "../../base/isLoopbackAddress";
import { SETTING_DEFINITIONS, type SettingName, type SettingValues } from "../settingDefinitions";
import { toFlagName } from "../settingNames";

/** Reads a file as text; throws if it can't be read. */
export type ReadFile = (file: string) => string;

/** Result of the checks. */
export interface CheckResult {
    /** The hashes from the setting itself and from the file it names. */
    readonly operatorKeyHashes: readonly string[];
    /** One line for each problem. */
    readonly problems: readonly string[];
}

/** Names of the settings of one listener. */
interface ListenerSettingNames {
    readonly address: SettingName;
    readonly allowPlain: SettingName;
    /** TLS files, of which all or none must be given. */
    readonly files: readonly SettingName[];
}

const LISTENERS: readonly ListenerSettingNames[] = [
    { address: "callerAddress", allowPlain: "callerAllowPlain", files: ["callerCertificateFile", "callerKeyFile"] },
    {
        address: "operatorAddress",
        allowPlain: "operatorAllowPlain",
        files: ["operatorCertificateFile", "operatorKeyFile"],
    },
    {
        address: "nodeAddress",
        allowPlain: "nodeAllowPlain",
        files: ["nodeCertificateFile", "nodeKeyFile", "nodeAuthorityFile"],
    },
];

/** Addresses that make a listener accept connections on all interfaces. */
const UNSPECIFIED_ADDRESSES: readonly string[] = ["0.0.0.0", "::"];

const PLATFORM_URLS: readonly SettingName[] = [
    "platformTableUrl",
    "platformObjectsUrl",
    "platformCloudUrl",
    "platformVmListUrl",
];

/**
 * Checks settings against each other, and checks that the files they name can be read.
 *
 * @param values - Settings that passed their own check; a setting that did not is absent
 * @param readFile - Reads a file as text
 * @returns The operator key hashes and all problems found
 * @example
 * checkSettingValues({ callerAddress: "0.0.0.0", callerAllowPlain: false }, file => fs.readFileSync(file, "utf8"));
 */
export function checkSettingValues(values: SettingValues, readFile: ReadFile): CheckResult {
    const hashes = collectKeyHashes(values, readFile);
    const problems = [
        ...LISTENERS.flatMap(listener => checkListener(listener, values, readFile)),
        ...checkNodeAddress(values),
        ...PLATFORM_URLS.flatMap(name => checkPlatformUrl(name, values)),
        ...hashes.problems,
    ];
    return { operatorKeyHashes: hashes.operatorKeyHashes, problems };
}

function checkListener(names: ListenerSettingNames, values: SettingValues, readFile: ReadFile): readonly string[] {
    const given = names.files.filter(name => values[name] !== undefined);
    const missing = names.files.filter(name => values[name] === undefined);
    const unreadable = given.flatMap(name => checkFile(name, String(values[name]), readFile));
    if (given.length > 0) {
        return [...missing.map(name => `${toFlag(name)}: must be given too, as ${toFlag(given[0])} is`), ...unreadable];
    }
    const address = values[names.address];
    if (address === undefined || values[names.allowPlain] !== false || isLoopbackAddress(String(address))) {
        return [];
    }
    const fileFlags = names.files.map(toFlag).join(", ");
    return [`${toFlag(names.address)}: plain only on loopback; give ${fileFlags}, or ${toFlag(names.allowPlain)}`];
}

// This address is advertised to the other nodes, so it must be one that they can connect to.
function checkNodeAddress(values: SettingValues): readonly string[] {
    const isUnspecified = values.nodeAddress !== undefined && UNSPECIFIED_ADDRESSES.includes(values.nodeAddress);
    return isUnspecified ? [`${toFlag("nodeAddress")}: must be an address of this VM that other nodes can reach`] : [];
}

function checkPlatformUrl(name: SettingName, values: SettingValues): readonly string[] {
    const text = values[name];
    if (typeof text !== "string" || values.platformAllowPlain !== false) {
        return [];
    }
    const url = new URL(text);
    const isAllowed = url.protocol === "https:" || isLoopbackAddress(url.hostname);
    return isAllowed ? [] : [`${toFlag(name)}: plain only to loopback; use https or give --platform-allow-plain`];
}

function collectKeyHashes(values: SettingValues, readFile: ReadFile): CheckResult {
    const file = values.operatorKeyHashesFile;
    const fromFile = file === undefined ? undefined : readHashFile(file, readFile);
    const operatorKeyHashes = [...(values.operatorKeyHashes ?? []), ...(fromFile?.operatorKeyHashes ?? [])];
    const problems = fromFile?.problems ?? [];
    if (operatorKeyHashes.length > 0 || problems.length > 0) {
        return { operatorKeyHashes, problems };
    }
    const problem = `${toFlag("operatorKeyHashes")} or ${toFlag("operatorKeyHashesFile")}: must give at least one hash`;
    return { operatorKeyHashes, problems: [problem] };
}

function readHashFile(file: string, readFile: ReadFile): CheckResult {
    const unreadable = checkFile("operatorKeyHashesFile", file, readFile);
    if (unreadable.length > 0) {
        return { operatorKeyHashes: [], problems: unreadable };
    }
    const result = SETTING_DEFINITIONS.operatorKeyHashes.schema.safeParse(readFile(file));
    return result.success
        ? { operatorKeyHashes: result.data, problems: [] }
        : {
              operatorKeyHashes: [],
              problems: [`${toFlag("operatorKeyHashesFile")}: ${result.error.issues[0]?.message ?? "is not valid"}`],
          };
}

function checkFile(name: SettingName, file: string, readFile: ReadFile): readonly string[] {
    try {
        readFile(file);
        return [];
    } catch (error) {
        const code = (error as NodeJS.ErrnoException).code ?? "unreadable";
        return [`${toFlag(name)}: the file can't be read (${code})`];
    }
}

function toFlag(name: SettingName | undefined): string {
    return `--${toFlagName(name ?? "")}`;
}
