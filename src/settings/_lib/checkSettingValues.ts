/**
 * @module Checks between settings.
 */
import { isLoopbackAddress } from "../../base/isLoopbackAddress";
import { SETTING_DEFINITIONS, type SettingName, type SettingValues } from "../settingDefinitions";
import { toFlagName } from "../settingNames";

/** Reads a file as text; throws if it can't be read. */
export type ReadFile = (file: string) => string;

/** What the checks found. */
export interface CheckedValues {
    readonly operatorKeyHashes: readonly string[];
    readonly problems: readonly string[];
}

interface ListenerNames {
    readonly address: SettingName;
    readonly allowPlain: SettingName;
    /** Files that are given all together or not at all. */
    readonly files: readonly SettingName[];
}

const LISTENERS: readonly ListenerNames[] = [
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

const ANY_ADDRESSES: readonly string[] = ["0.0.0.0", "::"];

const PLATFORM_URLS: readonly SettingName[] = [
    "platformTableUrl",
    "platformObjectsUrl",
    "platformCloudUrl",
    "platformVmListUrl",
];

/**
 * Checks settings against each other and reads the files they name.
 *
 * @param values - Settings, each checked by itself; one with a problem of its own is absent
 * @param readFile - Reads a file
 * @returns The operator key hashes and every problem
 * @example
 * checkSettingValues({ callerAddress: "0.0.0.0", callerAllowPlain: false }, file => fs.readFileSync(file, "utf8"));
 */
export function checkSettingValues(values: SettingValues, readFile: ReadFile): CheckedValues {
    const hashes = collectKeyHashes(values, readFile);
    const problems = [
        ...LISTENERS.flatMap(listener => checkListener(listener, values, readFile)),
        ...checkNodeAddress(values),
        ...PLATFORM_URLS.flatMap(name => checkPlatformUrl(name, values)),
        ...hashes.problems,
    ];
    return { operatorKeyHashes: hashes.operatorKeyHashes, problems };
}

function checkListener(names: ListenerNames, values: SettingValues, readFile: ReadFile): readonly string[] {
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
    const wanted = names.files.map(toFlag).join(", ");
    return [`${toFlag(names.address)}: plain only on loopback; give ${wanted}, or ${toFlag(names.allowPlain)}`];
}

// The other nodes are told this address, so it must be one that they can reach.
function checkNodeAddress(values: SettingValues): readonly string[] {
    const isAnyAddress = values.nodeAddress !== undefined && ANY_ADDRESSES.includes(values.nodeAddress);
    return isAnyAddress ? [`${toFlag("nodeAddress")}: must be an address of this VM that other nodes can reach`] : [];
}

function checkPlatformUrl(name: SettingName, values: SettingValues): readonly string[] {
    const text = values[name];
    if (typeof text !== "string" || values.platformAllowPlain !== false) {
        return [];
    }
    const url = new URL(text);
    const isSafe = url.protocol === "https:" || isLoopbackAddress(url.hostname);
    return isSafe ? [] : [`${toFlag(name)}: plain only to loopback; use https or give --platform-allow-plain`];
}

function collectKeyHashes(values: SettingValues, readFile: ReadFile): CheckedValues {
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

function readHashFile(file: string, readFile: ReadFile): CheckedValues {
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
