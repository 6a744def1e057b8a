/**
 * Reads settings from command-line flags and environment variables.
 *
 * @packageDocumentation
 */
import { parseArgs } from "node:util";
import { listSettings, secretFileSuffixes, type SettingDescription } from "./settingDescriptions.js";
import { settingsSchema, type Settings } from "./settingsSchema.js";

/** The sources of the settings. */
export interface SettingsInput {
    /** The command-line arguments without the program name. */
    readonly flags: readonly string[];
    readonly environment: Readonly<Record<string, string | undefined>>;
    /** Reads a file that contains a secret; throws when it cannot be read. */
    readonly readFile: (path: string) => string;
}

/** The mode that the command line requests, with the settings if the mode needs them. */
export type SettingsRequest =
    | { readonly type: "run"; readonly settings: Settings }
    | { readonly type: "check"; readonly settings: Settings }
    | { readonly type: "help" }
    | { readonly type: "version" };

/** Invalid settings; the message has one line per setting and never contains a secret. */
export class SettingsError extends Error {
    /** @param problems - The problems, one line each. */
    constructor(readonly problems: readonly string[]) {
        super(problems.join("\n"));
        this.name = "SettingsError";
    }
}

interface GivenValue {
    readonly source: string;
    readonly text: string;
}

type FlagValues = Readonly<Record<string, string | boolean | undefined>>;

const modeFlags = ["check", "help", "version"] as const;

function readFlags(flags: readonly string[]): FlagValues {
    const options: Record<string, { type: "string" | "boolean" }> = {};
    for (const mode of modeFlags) {
        options[mode] = { type: "boolean" };
    }
    for (const setting of listSettings()) {
        const flag = setting.flag.slice(2);
        options[flag] = { type: "string" };
        if (setting.secret) {
            options[`${flag}${secretFileSuffixes.flag}`] = { type: "string" };
        }
    }
    try {
        return parseArgs({ args: [...flags], options, strict: true, allowPositionals: false })
            .values as FlagValues;
    } catch (error) {
        throw new SettingsError([`${formatFlagError(error)}; use the flags that --help lists`]);
    }
}

function formatFlagError(error: unknown): string {
    if (!(error instanceof Error)) {
        return String(error);
    }
    if ("code" in error && error.code === "ERR_PARSE_ARGS_UNEXPECTED_POSITIONAL") {
        // The value may be a secret whose flag is missing, so it is not repeated.
        return "a value without a flag is not allowed";
    }
    return error.message.split("\n")[0] ?? "";
}

/** Lists the sources that give a setting a value. Environment variables are read only if no flag gives one. */
function listGivenValues(
    setting: SettingDescription,
    values: FlagValues,
    input: SettingsInput,
): GivenValue[] {
    const given: GivenValue[] = [];
    const addValue = (source: string, text: string | boolean | undefined, isFile: boolean): void => {
        if (typeof text !== "string") {
            return;
        }
        given.push({ source, text: isFile ? readSecretFile(source, text, input) : text });
    };
    const flag = setting.flag.slice(2);
    const fileFlag = `${flag}${secretFileSuffixes.flag}`;
    const fileVariable = `${setting.variable}${secretFileSuffixes.variable}`;
    addValue(setting.flag, values[flag], false);
    if (setting.secret) {
        addValue(`--${fileFlag}`, values[fileFlag], true);
    }
    if (given.length === 0) {
        addValue(setting.variable, input.environment[setting.variable], false);
        if (setting.secret) {
            addValue(fileVariable, input.environment[fileVariable], true);
        }
    }
    return given;
}

function readSecretFile(source: string, path: string, input: SettingsInput): string {
    try {
        return input.readFile(path).trim();
    } catch {
        throw new SettingsError([`${source}: the file "${path}" cannot be read; use a file with the secret`]);
    }
}

function formatProblem(setting: SettingDescription, given: GivenValue | undefined): string {
    if (given === undefined) {
        return `${setting.flag} (${setting.variable}) is missing; use ${setting.allowed}`;
    }
    const value = setting.secret ? "the given secret" : `"${given.text}"`;
    const source = given.source === setting.flag ? setting.flag : `${setting.flag} (${given.source})`;
    return `${source}: ${value} is not allowed; use ${setting.allowed}`;
}

function readValues(values: FlagValues, input: SettingsInput): Settings {
    const problems: string[] = [];
    const texts: Record<string, string> = {};
    for (const setting of listSettings()) {
        const given = listGivenValues(setting, values, input);
        const [first, second] = given;
        if (first !== undefined && second !== undefined) {
            problems.push(`${first.source} and ${second.source} are both given; use one of them`);
            continue;
        }
        if (!settingsSchema.shape[setting.name].safeParse(first?.text).success) {
            problems.push(formatProblem(setting, first));
            continue;
        }
        if (first !== undefined) {
            texts[setting.name] = first.text;
        }
    }
    if (problems.length > 0) {
        throw new SettingsError(problems);
    }
    return settingsSchema.parse(texts);
}

/**
 * Reads the settings of the daemon.
 *
 * @param input - Flags, environment and access to files with secrets.
 * @returns The requested mode, with the settings if the mode needs them.
 * @throws {@link SettingsError} when a setting is invalid; it lists all invalid settings.
 */
export function readSettings(input: SettingsInput): SettingsRequest {
    const values = readFlags(input.flags);
    if (values["help"] === true) {
        return { type: "help" };
    }
    if (values["version"] === true) {
        return { type: "version" };
    }
    return { type: values["check"] === true ? "check" : "run", settings: readValues(values, input) };
}
