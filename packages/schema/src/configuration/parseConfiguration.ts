/**
 * Parses, merges and validates configuration files.
 *
 * @packageDocumentation
 */
import type { z } from "zod";
import { configurationSchema, type Configuration } from "./configurationSchema.js";
import { ConfigurationDocument, formatPath, getValueAt, type ValuePath } from "./configurationDocument.js";
import {
    compareProblems,
    type ConfigurationFile,
    type ConfigurationProblem,
} from "./configurationProblem.js";
import { checkConfiguration } from "./checkConfiguration.js";
import type { ConfigurationEntry, EntryList } from "./configurationEntry.js";

/** The result of parsing the configuration files. */
export interface ParsedConfiguration {
    /** Undefined when there is a problem. */
    readonly configuration: Configuration | undefined;
    /** All problems, sorted by file and line. */
    readonly problems: readonly ConfigurationProblem[];
}

interface ParsedDocument {
    readonly problems: readonly ConfigurationProblem[];
    readonly entries: readonly ConfigurationEntry[];
}

/** Maximum length of a value in a problem's message, in characters. */
const maximumShownLength = 60;
const secretFields: ReadonlySet<string> = new Set(["digest"]);

function formatValue(value: unknown, path: ValuePath): string {
    if (value === undefined) {
        return "nothing";
    }
    if (secretFields.has(String(path.at(-1)))) {
        // An operator may have pasted the secret instead of its digest.
        return "the given text";
    }
    const text = JSON.stringify(value) ?? String(value);
    return text.length > maximumShownLength ? `${text.slice(0, maximumShownLength)}...` : text;
}

function formatIssue(issue: z.core.$ZodIssue, value: unknown): { message: string; mend: string } {
    if (issue.code === "unrecognized_keys") {
        return { message: `unknown field ${issue.keys.join(", ")}`, mend: "remove it or correct its name" };
    }
    const shown = formatValue(value, issue.path as ValuePath);
    const message = value === undefined ? "the field is missing" : `${shown} is not allowed`;
    switch (issue.code) {
        case "invalid_value":
            return { message, mend: `use one of ${issue.values.map(String).join(", ")}` };
        case "invalid_type":
            return { message, mend: `use a value of type ${issue.expected}` };
        case "too_small":
            return {
                message,
                mend: `use ${issue.inclusive ? "at least" : "more than"} ${String(issue.minimum)}`,
            };
        case "too_big":
            return {
                message,
                mend: `use ${issue.inclusive ? "at most" : "less than"} ${String(issue.maximum)}`,
            };
        default:
            return { message, mend: issue.message };
    }
}

function buildIssueProblems(
    document: ConfigurationDocument,
    root: unknown,
    issue: z.core.$ZodIssue,
): ConfigurationProblem[] {
    const path = issue.path as ValuePath;
    const paths = issue.code === "unrecognized_keys" ? issue.keys.map((key) => [...path, key]) : [path];
    return paths.map((problemPath) => ({
        file: document.file.name,
        line: document.findLine(problemPath),
        path: formatPath(path),
        ...formatIssue(
            issue.code === "unrecognized_keys" ? { ...issue, keys: [String(problemPath.at(-1))] } : issue,
            getValueAt(root, path),
        ),
    }));
}

function parseFile(file: ConfigurationFile): ParsedDocument {
    const document = new ConfigurationDocument(file);
    const syntaxProblems = document.listSyntaxProblems();
    if (syntaxProblems.length > 0) {
        return { problems: syntaxProblems, entries: [] };
    }
    const root = document.readValue();
    const result = configurationSchema.safeParse(root);
    const issues = result.success ? [] : result.error.issues;
    const problems = issues.flatMap((issue) => buildIssueProblems(document, root, issue));
    const entries = listEntries(document, root);
    document.releaseTree();
    return { problems, entries };
}

/** Lists the valid entries of a file, even if other entries of the file are invalid. */
function listEntries(document: ConfigurationDocument, root: unknown): ConfigurationEntry[] {
    const lists = Object.keys(configurationSchema.shape) as EntryList[];
    return lists.flatMap((list) => {
        const values = getValueAt(root, [list]);
        return (Array.isArray(values) ? values : []).flatMap((value: unknown, index) => {
            const result = configurationSchema.shape[list].unwrap().element.safeParse(value);
            if (!result.success) {
                return [];
            }
            const findLine = (...innerPath: ValuePath): number =>
                document.findLine([list, index, ...innerPath]);
            const path = formatPath([list, index]);
            return [
                { list, value: result.data, file: document.file.name, path, findLine } as ConfigurationEntry,
            ];
        });
    });
}

function mergeEntries(entries: readonly ConfigurationEntry[]): Configuration {
    const merged: Record<EntryList, unknown[]> = {
        customers: [],
        keys: [],
        classes: [],
        pools: [],
        routes: [],
    };
    for (const entry of entries) {
        merged[entry.list].push(entry.value);
    }
    return merged as Configuration;
}

interface CachedFile {
    readonly content: string;
    readonly parsed: ParsedDocument;
}

/** Parses successive versions of a configuration and reparses only the files that changed. */
export class ConfigurationParser {
    private cache = new Map<string, CachedFile>();

    /**
     * Parses, merges and validates the files of a configuration folder.
     *
     * @param files - The files, in any order; they are merged in the order of their names.
     * @returns The configuration, or all problems; entries of unchanged files are the same objects as in the previous
     * call.
     */
    parseFiles(files: readonly ConfigurationFile[]): ParsedConfiguration {
        const sorted = [...files].sort((left, right) => (left.name < right.name ? -1 : 1));
        const next = new Map(sorted.map((file) => [file.name, this.parseWithCache(file)]));
        this.cache = next;
        const documents = [...next.values()].map((cached) => cached.parsed);
        const entries = documents.flatMap((document) => document.entries);
        const problems = documents.flatMap((document) => document.problems);
        const hasInvalidFile = problems.length > 0;
        const checked = checkConfiguration(entries, { skipReferences: hasInvalidFile });
        const all = [...problems, ...checked].sort(compareProblems);
        return { configuration: all.length === 0 ? mergeEntries(entries) : undefined, problems: all };
    }

    private parseWithCache(file: ConfigurationFile): CachedFile {
        const cached = this.cache.get(file.name);
        return cached?.content === file.content ? cached : { content: file.content, parsed: parseFile(file) };
    }
}

/**
 * Parses, merges and validates the files of a configuration folder.
 *
 * @param files - The files, in any order; they are merged in the order of their names.
 * @returns The configuration, or all problems.
 */
export function parseConfiguration(files: readonly ConfigurationFile[]): ParsedConfiguration {
    return new ConfigurationParser().parseFiles(files);
}
