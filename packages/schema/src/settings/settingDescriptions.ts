/**
 * Descriptions of the settings for help texts and the reference page.
 *
 * @packageDocumentation
 */
import { settingRegistry } from "./settingMetadata.js";
import { settingsSchema, type SettingName } from "./settingsSchema.js";

/** Description of a setting in the help text and on the reference page. */
export interface SettingDescription {
    readonly name: SettingName;
    readonly flag: string;
    readonly variable: string;
    readonly description: string;
    readonly allowed: string;
    readonly unit: string;
    /** `required`, `none` or the default value. */
    readonly defaultText: string;
    readonly secret: boolean;
}

/** Suffixes of the flag and the environment variable that name a file containing a secret. */
export const secretFileSuffixes = { flag: "-file", variable: "_FILE" } as const;

const variablePrefix = "PIMENTOCLEAT_";

function convertCase(name: string, separator: string): string {
    return name.replace(/[A-Z]/g, (letter) => `${separator}${letter.toLowerCase()}`);
}

function formatDefault(name: SettingName): string {
    const result = settingsSchema.shape[name].safeParse(undefined);
    if (!result.success) {
        return "required";
    }
    return result.data === undefined || String(result.data) === "" ? "none" : String(result.data);
}

function buildDescription(name: SettingName): SettingDescription {
    const metadata = settingRegistry.get(settingsSchema.shape[name]);
    if (metadata === undefined) {
        throw new TypeError(`setting ${name} has no metadata`);
    }
    return {
        name,
        flag: `--${convertCase(name, "-")}`,
        variable: `${variablePrefix}${convertCase(name, "_").toUpperCase()}`,
        description: metadata.description,
        allowed: metadata.allowed,
        unit: metadata.unit ?? "",
        defaultText: formatDefault(name),
        secret: metadata.secret ?? false,
    };
}

/**
 * Lists the settings in the order of the schema.
 *
 * @returns One description per setting.
 */
export function listSettings(): readonly SettingDescription[] {
    return (Object.keys(settingsSchema.shape) as SettingName[]).map(buildDescription);
}

/**
 * Formats the help text of the daemon.
 *
 * @returns The text, with flag, variable, unit and default of each setting.
 */
export function formatSettingsHelp(): string {
    const lines = [
        "pimentocleatd: the entry host's daemon",
        "",
        "Usage: pimentocleatd [flags]",
        "",
        "Each flag has an environment variable; the flag takes precedence.",
        "",
        "  --check    validate the settings and exit",
        "  --help     show this text and exit",
        "  --version  show the version and exit",
        "",
    ];
    for (const setting of listSettings()) {
        const unit = setting.unit === "" ? "" : `unit ${setting.unit}, `;
        const file = setting.secret
            ? `; from a file: ${setting.flag}${secretFileSuffixes.flag}, ${setting.variable}${secretFileSuffixes.variable}`
            : "";
        lines.push(`  ${setting.flag} <value>  ${setting.variable}${file}`);
        lines.push(
            `      ${setting.description} (${unit}default ${setting.defaultText}; ${setting.allowed})`,
        );
    }
    return `${lines.join("\n")}\n`;
}

/**
 * Formats the reference page of the settings.
 *
 * @returns The page in Markdown.
 */
export function formatSettingsPage(): string {
    const rows = listSettings().map((setting) => {
        const secret = setting.secret
            ? ` Secret; may be read from a file named by \`${setting.flag}${secretFileSuffixes.flag}\` or \`${setting.variable}${secretFileSuffixes.variable}\`.`
            : "";
        return `| \`${setting.flag}\` | \`${setting.variable}\` | ${setting.unit} | ${setting.defaultText} | ${setting.description}${secret} Use ${setting.allowed}. |`;
    });
    return [
        "# Settings of pimentocleatd",
        "",
        "Generated from `packages/schema/src/settings/settingsSchema.ts` by `npm run generate`. The flag takes precedence over the variable.",
        "",
        "| flag | variable | unit | default | meaning |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
}
