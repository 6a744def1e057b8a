/**
 * Structured logs with numbered events.
 *
 * @packageDocumentation
 */
import { createConsola, type ConsolaInstance, type ConsolaReporter } from "consola";
import { logEvents, type LogEventName, type LogLevel } from "./logEvents.js";

/** Fields of a log line; must not contain secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log events. */
export interface Logger {
    /**
     * Writes one event.
     *
     * @param name - The event's name in the catalogue.
     * @param fields - The values of this occurrence.
     */
    writeEvent(name: LogEventName, fields?: LogFields): void;
}

/** Options of {@link ConsolaLogger}. */
export interface ConsolaLoggerOptions {
    readonly format: "json" | "pretty";
    readonly level: LogLevel;
    /** Fields added to every line, such as the node's name. */
    readonly fields?: LogFields;
    /** Writes one line, given without its line break; defaults to writing to standard error. */
    readonly writeLine?: (line: string) => void;
}

const levelNumbers: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** Logs through consola; each event is one line, either a JSON object or human-readable text. */
export class ConsolaLogger implements Logger {
    private readonly consola: ConsolaInstance;

    /** @param options - Format, minimum level and fixed fields. */
    constructor(private readonly options: ConsolaLoggerOptions) {
        const writeLine =
            options.writeLine ?? ((line: string): void => void process.stderr.write(`${line}\n`));
        const reporter: ConsolaReporter = {
            log: (logObject) => writeLine(this.formatLine(logObject.type, logObject.date, logObject.args)),
        };
        this.consola = createConsola({ level: levelNumbers[options.level], reporters: [reporter] });
    }

    writeEvent(name: LogEventName, fields: LogFields = {}): void {
        const event = logEvents[name];
        const entry = { event: event.number, name, text: event.text, ...this.options.fields, ...fields };
        // The text comes first because consola unpacks a first argument that is an object with a "message" field.
        this.consola[event.level](event.text, entry);
    }

    private formatLine(level: string, date: Date, args: readonly unknown[]): string {
        const entry = args[1] as Record<string, unknown>;
        if (this.options.format === "json") {
            return JSON.stringify({ time: date.toISOString(), level, ...entry });
        }
        const { event, text, name: eventName, ...fields } = entry;
        const details = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
        return `${date.toISOString()} ${level} ${String(event)} ${String(eventName)}: ${String(text)} ${details.join(" ")}`.trimEnd();
    }
}

/** A logger that discards all events. */
export class SilentLogger implements Logger {
    writeEvent(): void {}
}
