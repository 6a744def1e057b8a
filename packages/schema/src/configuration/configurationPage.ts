/**
 * The reference page of the configuration.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { configurationSchema } from "./configurationSchema.js";

interface JsonSchema {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly enum?: readonly unknown[];
    readonly properties?: Readonly<Record<string, JsonSchema>>;
    readonly required?: readonly string[];
    readonly items?: JsonSchema;
}

function formatType(schema: JsonSchema): string {
    if (schema.enum !== undefined) {
        return schema.enum.map((value) => `\`${String(value)}\``).join(", ");
    }
    if (schema.type === "array") {
        return `list of ${formatType(schema.items ?? {})}`;
    }
    return schema.type ?? "any";
}

function formatDefault(schema: JsonSchema, isRequired: boolean): string {
    if (isRequired) {
        return "required";
    }
    return schema.default === undefined ? "none" : `\`${JSON.stringify(schema.default)}\``;
}

function formatSection(title: string, schema: JsonSchema): string[] {
    const properties = Object.entries(schema.properties ?? {});
    const rows = properties.map(([name, property]) => {
        const isRequired = property.default === undefined && (schema.required ?? []).includes(name);
        return `| \`${name}\` | ${formatType(property)} | ${formatDefault(property, isRequired)} | ${property.description ?? ""} |`;
    });
    const nested = properties.flatMap(([name, property]) => {
        const inner = property.type === "array" ? property.items : property;
        return inner?.properties === undefined ? [] : formatSection(`${title}: ${name}`, inner);
    });
    return [
        `## ${title}`,
        "",
        "| field | type | default | meaning |",
        "| --- | --- | --- | --- |",
        ...rows,
        "",
        ...nested,
    ];
}

/**
 * Formats the reference page of the configuration files.
 *
 * @returns The page in Markdown.
 */
export function formatConfigurationPage(): string {
    const root = z.toJSONSchema(configurationSchema, { io: "input" }) as JsonSchema;
    const sections = Object.entries(root.properties ?? {}).flatMap(([name, list]) =>
        formatSection(name, list.items ?? {}),
    );
    return [
        "# Configuration files",
        "",
        "Generated from `packages/schema/src/configuration/configurationSchema.ts` by `npm run generate`.",
        "",
        `Each file is a YAML mapping with any of the lists ${Object.keys(root.properties ?? {})
            .map((name) => `\`${name}\``)
            .join(", ")}. The lists of all files are joined in the order of the files' names.`,
        "",
        ...sections,
    ].join("\n");
}
