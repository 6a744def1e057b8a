/**
 * Measures how long a node takes to parse a changed configuration of the planned size: 35 pools,
 * 230 customers and 18 data centres.
 *
 * @packageDocumentation
 */
import { ConfigurationParser, type ConfigurationFile } from "@pimentocleat/schema";
import type { Clock } from "@pimentocleat/types";

const poolCount = 35;
const customerCount = 230;
const dataCentreCount = 18;
/** Hexadecimal digits of a SHA-256 digest. */
const digestLength = 64;

/** Size of the configuration and times to parse it. */
export interface ParseMeasurements {
    readonly files: number;
    readonly characters: number;
    readonly servers: number;
    /** Median time to parse the complete configuration, in milliseconds. */
    readonly wholeMs: number;
    /** Median time to parse after a change of one pool file, in milliseconds. */
    readonly poolFileMs: number;
    /** Median time to parse after a change of one customer file, in milliseconds. */
    readonly customerFileMs: number;
}

/** Options of {@link measureParse}. */
export interface ParseOptions {
    readonly clock: Clock;
    /** Number of backend servers, rounded up to a multiple of the number of pools. */
    readonly servers: number;
    /** Number of measurements of which each median is taken. */
    readonly rounds: number;
}

function buildPoolFile(pool: number, servers: number): ConfigurationFile {
    const lines = [...Array(servers).keys()].map((index) => {
        const number = pool * servers + index;
        const address = `10.${String(number >> 16)}.${String((number >> 8) & 255)}.${String(number & 255)}:9000`;
        const dataCentre = `dc-${String(number % dataCentreCount)}`;
        return `      - { name: server-${String(number)}, address: ${address}, dataCentre: ${dataCentre}, slots: 8, costPerHour: 2.5 }`;
    });
    const head = `pools:\n  - name: pool-${String(pool)}\n    kind: model\n    models: [model-${String(pool)}]\n    servers:\n`;
    return { name: `30-pool-${String(pool)}.yaml`, content: `${head}${lines.join("\n")}\n` };
}

function buildCustomerFile(customer: number): ConfigurationFile {
    const name = `customer-${String(customer)}`;
    const digest = customer.toString(16).padStart(digestLength, "0");
    const content = `customers:\n  - name: ${name}\nkeys:\n  - { id: key-${String(customer)}, customer: ${name}, digest: "${digest}" }\n`;
    return { name: `10-${name}.yaml`, content };
}

function computeMedian(times: readonly number[]): number {
    const sorted = [...times].sort((left, right) => left - right);
    return Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0);
}

/**
 * Measures parsing of the complete configuration, and parsing after a change of one file.
 *
 * @param options - Clock, number of backend servers and rounds.
 * @returns Size of the configuration and median times.
 * @throws Error when the generated configuration is invalid.
 */
export function measureParse(options: ParseOptions): ParseMeasurements {
    const serversPerPool = Math.ceil(options.servers / poolCount);
    const pools = [...Array(poolCount).keys()].map((pool) => buildPoolFile(pool, serversPerPool));
    const customers = [...Array(customerCount).keys()].map(buildCustomerFile);
    const files = [...pools, ...customers];
    const measure = (parser: ConfigurationParser, changed: readonly ConfigurationFile[]): number => {
        const startedMs = options.clock.monotonicMs();
        const { problems } = parser.parseFiles(changed);
        if (problems.length > 0) {
            throw new Error(`the generated configuration has ${String(problems.length)} problems`);
        }
        return options.clock.monotonicMs() - startedMs;
    };
    const rounds = [...Array(options.rounds).keys()];
    const measureChange = (fileIndex: number): number => {
        const parser = new ConfigurationParser();
        parser.parseFiles(files);
        return computeMedian(
            rounds.map((round) => measure(parser, appendText(files, fileIndex, `# ${String(round)}\n`))),
        );
    };
    return {
        files: files.length,
        characters: files.reduce((sum, file) => sum + file.content.length, 0),
        servers: serversPerPool * poolCount,
        wholeMs: computeMedian(rounds.map(() => measure(new ConfigurationParser(), files))),
        poolFileMs: measureChange(0),
        customerFileMs: measureChange(poolCount),
    };
}

function appendText(files: readonly ConfigurationFile[], index: number, suffix: string): ConfigurationFile[] {
    return files.map((file, position) =>
        position === index ? { name: file.name, content: `${file.content}${suffix}` } : file,
    );
}
