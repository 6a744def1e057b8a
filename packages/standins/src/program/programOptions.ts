/**
 * Reads the settings of a stand-in program from flags and environment variables.
 *
 * @packageDocumentation
 */
import { cac } from "cac";
import { z } from "zod";

const environmentPrefix = "PIMENTOCLEAT_STANDIN_";
const maximumPort = 65_535;

/** A setting that is true or false, also as text. */
export const booleanSettingSchema = z.union([z.boolean(), z.stringbool()]);

/** Settings that every stand-in has. */
export const listenFields = {
    host: z.string().default("127.0.0.1").describe("IP address to listen on"),
    port: z.coerce
        .number()
        .int()
        .min(0)
        .max(maximumPort)
        .default(0)
        .describe("port to listen on, 0 for one that the system picks"),
};

/** Where settings come from; a flag wins over the environment. */
export interface ProgramInput {
    readonly parameters: readonly string[];
    readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Reads the settings of a program.
 *
 * @param name - Name of the program.
 * @param schema - Schema of the settings; each has a description.
 * @param input - Flags and environment.
 * @returns The settings, or undefined when only the help was asked for and printed.
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

/** The parser joins words at a hyphen between letters only. */
function convertToOptionName(field: string): string {
    return convertToKebabCase(field).replace(/([a-z])-([a-z])/g, (...[, before, after]: string[]) => {
        return `${before}${after?.toUpperCase()}`;
    });
}
