/**
 * Reads the settings of a stand-in program from command-line flags and environment variables.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { z } from "zod";

const environmentPrefix = "PIMENTOCLEAT_STANDIN_";
const maximumPort = 65_535;

/** Schema of a boolean setting, which may also be given as text. */
export const booleanSettingSchema = z.union([z.boolean(), z.stringbool()]);

/** Schemas of the settings that all stand-ins share. */
export const listenFields = {
    host: z.string().default("127.0.0.1").describe("IP address to listen on"),
    port: z.coerce
        .number()
        .int()
        .min(0)
        .max(maximumPort)
        .default(0)
        .describe("port to listen on; 0 lets the operating system choose one"),
};

/** Sources of the settings; a flag takes precedence over an environment variable. */
export interface ProgramInput {
    /** Command-line arguments, without the interpreter and the script. */
    readonly parameters: readonly string[];
    readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Reads the settings of a program.
 *
 * @param name - Name of the program.
 * @param schema - Schema of the settings; each description is shown by `--help`.
 * @param input - Command-line arguments and environment variables.
 * @returns The settings, or undefined when `--help` was given and the help text was printed.
 * @throws Error when a setting is unknown or invalid; the message names all such flags.
 */
export function readProgramOptions<Shape extends z.ZodRawShape>(
    name: string,
    schema: z.ZodObject<Shape>,
    input: ProgramInput,
): z.infer<z.ZodObject<Shape>> | undefined {
    const cli = cac(name);
    for (const [field, fieldSchema] of Object.entries(schema.shape)) {
        const variable = buildVariableName(field);
        const description = (fieldSchema as z.ZodType).description ?? "";
        cli.option(`--${convertToKebabCase(field)} <value>`, `${description} [${variable}]`);
    }
    cli.help();
    const { options } = cli.parse(["", name, ...input.parameters], { run: false });
    if (options["help"] === true) {
        return undefined;
    }
    const fields = Object.keys(schema.shape);
    const result = schema.safeParse({
        ...readEnvironment(fields, input.environment),
        ...readFlags(fields, options),
    });
    if (!result.success) {
        throw new Error(result.error.issues.map((issue) => formatIssue(issue)).join("; "));
    }
    return result.data;
}

function readFlags(
    fields: readonly string[],
    options: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
    const fieldByOption = new Map(fields.map((field) => [convertToOptionName(field), field]));
    const given = Object.entries(options).filter(([option]) => option !== "--");
    return Object.fromEntries(given.map(([option, value]) => [fieldByOption.get(option) ?? option, value]));
}

function formatIssue(issue: z.core.$ZodIssue): string {
    const flags = issue.code === "unrecognized_keys" ? issue.keys : [String(issue.path[0] ?? "")];
    return `${flags.map((flag) => `--${convertToKebabCase(flag)}`).join(", ")}: ${issue.message}`;
}

function readEnvironment(
    fields: readonly string[],
    environment: ProgramInput["environment"],
): Record<string, string> {
    const entries = fields.map((field) => [field, environment[buildVariableName(field)]] as const);
    return Object.fromEntries(entries.filter((entry): entry is [string, string] => entry[1] !== undefined));
}

function buildVariableName(field: string): string {
    return environmentPrefix + convertToKebabCase(field).replaceAll("-", "_").toUpperCase();
}

function convertToKebabCase(field: string): string {
    return field.replace(/[A-Z]|\d+/g, (part) => `-${part.toLowerCase()}`);
}

/** Returns the key under which cac reports an option; it camel-cases a hyphen only between two letters. */
function convertToOptionName(field: string): string {
    return convertToKebabCase(field).replace(/([a-z])-([a-z])/g, (...[, before, after]: string[]) => {
        return `${before}${after?.toUpperCase()}`;
    });
}
