/**
 * Commands that read the log files of any number of nodes and call no node.
 *
 * @packageDocumentation
 */

import { readFileSync } from "node:fs";
import { CommandError, ExitCode } from "../output/exitCodes.js";
import type { Output } from "../output/output.js";

/** File descriptor of standard input. */
const standardInputDescriptor = 0;

/** A parsed log line. */
interface LogLine {
    readonly time: string;
    readonly node: string;
    readonly name: string;
    readonly text: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that are not printed as details of an event: they have their own place in the line or are omitted. */
const commonFields: ReadonlySet<string> = new Set([
    "time",
    "node",
    "name",
    "text",
    "level",
    "event",
    "requestId",
]);
/** Events that change a node's view of a backend server; those close to a request help to explain its outcome. */
const serverEvents: ReadonlySet<string> = new Set([
    "backendRegistered",
    "backendLeaving",
    "backendGone",
    "serverEntryUnreadable",
    "serverSaysLeaving",
    "serverPaused",
    "serverPauseUnreadable",
    "serverLimited",
    "serverLimitEnded",
    "serverLimitUnreadable",
    "connectionLost",
]);
/** Events about what is held back because servers crash on it; they name it as `cause`. */
const causeEvents: ReadonlySet<string> = new Set([
    "promptPartQuarantined",
    "promptPartCleared",
    "promptPartTested",
    "requestQuarantined",
    "requestCleared",
    "requestTested",
]);
/** Begins the cause of an event that is a request, before its digest. */
const requestCausePrefix = "#";
/** Server events are shown within this time before a request's first line and after its last, in milliseconds. */
const serverEventWindowMs = 5_000;

/**
 * Formats the log lines of one request on all nodes, with the events around that time of its backend servers and of what
 * it holds on which servers crash.
 *
 * @param requestId - The request.
 * @param text - Log lines of any number of nodes, in any order.
 * @returns One line per event, ordered by time; empty when no line names the request.
 */
export function formatExplanation(requestId: string, text: string): readonly string[] {
    const lines = parseLines(text);
    const requestLines = lines.filter(({ fields }) => fields["requestId"] === requestId);
    const [first, last] = [requestLines.at(0), requestLines.at(-1)];
    if (first === undefined || last === undefined) {
        return [];
    }
    const servers = new Set(
        requestLines.map(({ fields }) => fields["server"]).filter((server) => server !== undefined),
    );
    const fromMs = Date.parse(first.time) - serverEventWindowMs;
    const toMs = Date.parse(last.time) + serverEventWindowMs;
    const nodes = new Set(requestLines.map(({ node }) => node));
    const isWithinWindow = (line: LogLine): boolean => {
        const atMs = Date.parse(line.time);
        return atMs >= fromMs && atMs <= toMs;
    };
    const nearbyServerEvents = lines.filter(
        (line) =>
            serverEvents.has(line.name) &&
            nodes.has(line.node) &&
            servers.has(line.fields["server"] ?? "") &&
            isWithinWindow(line),
    );
    const requestTexts = requestLines.map(formatLine);
    const nearbyCauseEvents = lines.filter((line) => {
        const cause = String(line.fields["cause"]).replace(requestCausePrefix, "");
        const isNamed = requestTexts.some((requestText) => requestText.includes(cause));
        return causeEvents.has(line.name) && isNamed && nodes.has(line.node) && isWithinWindow(line);
    });
    return [...new Set([...requestLines, ...nearbyServerEvents, ...nearbyCauseEvents])]
        .sort((left, right) => (left.time < right.time ? -1 : Number(left.time > right.time)))
        .map(formatLine);
}

/**
 * Prints the log events of a request from files, or from standard input when no files are given.
 *
 * @param output - Prints the events.
 * @param requestId - The request.
 * @param files - Files with log lines.
 * @returns The exit code.
 * @throws {@link CommandError} when a file cannot be read or no line names the request.
 */
export function printExplanation(output: Output, requestId: string, files: readonly string[]): ExitCode {
    const texts = files.length === 0 ? [readText(standardInputDescriptor)] : files.map(readText);
    const lines = formatExplanation(requestId, texts.join("\n"));
    if (lines.length === 0) {
        throw new CommandError(
            ExitCode.Failure,
            `no log line names the request "${requestId}"; pass the logs that all nodes wrote at that time`,
        );
    }
    output.printResult(lines, lines);
    return ExitCode.Success;
}

function readText(file: string | number): string {
    try {
        return readFileSync(file, "utf8");
    } catch (error) {
        throw new CommandError(
            ExitCode.WrongUsage,
            `${String(file)} cannot be read: ${String(error)}; name a log file`,
        );
    }
}

/**
 * Parses log lines and sorts them by time. Text before the JSON, such as a log collector's timestamp, and lines
 * without JSON are skipped.
 */
function parseLines(text: string): readonly LogLine[] {
    const lines: LogLine[] = [];
    for (const line of text.split("\n")) {
        const start = line.indexOf("{");
        if (start < 0) {
            continue;
        }
        try {
            const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
            const [time, node, name, description] = ["time", "node", "name", "text"].map((key) =>
                String(fields[key]),
            );
            lines.push({ time: time!, node: node!, name: name!, text: description!, fields });
        } catch {
            // Incomplete line of a process that was killed while it wrote.
            continue;
        }
    }
    return lines.sort((left, right) => (left.time < right.time ? -1 : Number(left.time > right.time)));
}

function formatLine({ time, node, text, fields }: LogLine): string {
    const details = Object.entries(fields)
        .filter(([key, value]) => !commonFields.has(key) && value !== undefined)
        .map(([key, value]) => `${key}=${String(value)}`);
    return `${time} ${node}: ${text} ${details.join(" ")}`.trimEnd();
}
