/**
 * What clients send that do not behave.
 *
 * @packageDocumentation
 */
import { usersCustomerKey, usersRouteHost } from "../usersPlatform/usersConfiguration.js";

/** What each client of a crowd sends on its connection, which it keeps open unless it says otherwise. */
export interface CrowdKind {
    /** Sent first. */
    readonly start: string;
    /** Sent again and again after that. */
    readonly part: string;
    /** How often the part is sent; without end when infinite. */
    readonly parts: number;
    /** Whether the client reads what it receives. */
    readonly isReading: boolean;
    /** Time after which the client resets its connection and opens another one, in milliseconds; undefined for never. */
    readonly leaveMs?: number;
}

const largeBytes = 4 * 1_024 * 1_024;
const largeChunkBytes = 64 * 1_024;
const mediumChunkBytes = 1_000;
const smallChunkBytes = 9;
const headFillerBytes = 60_000;
const requestsOfConnection = 20_000;
const answersOfConnection = 4;
const leaveMs = 200;

const identity = `host: ${usersRouteHost}\r\nx-request-id: crowd\r\nauthorization: Bearer ${usersCustomerKey}\r\n`;
const read = `GET /safe/crowd HTTP/1.1\r\n${identity}\r\n`;
const chunkedStart = `POST /unsafe/crowd HTTP/1.1\r\n${identity}transfer-encoding: chunked\r\n\r\n`;

function buildLengthStart(bytes: number, others = ""): string {
    return `POST /unsafe/crowd HTTP/1.1\r\n${identity}${others}content-length: ${String(bytes)}\r\n\r\n`;
}

function buildChunk(bytes: number): string {
    return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
}

/** Chunks whose bytes stop short of a body's limit, and of its end. */
function buildUnfinished(chunkBytes: number): CrowdKind {
    const parts = Math.floor(largeBytes / chunkBytes) - 1;
    return { start: chunkedStart, part: buildChunk(chunkBytes), parts, isReading: true };
}

/** Chunks of a size without end, several in a write. */
function buildEndless(chunkBytes: number): CrowdKind {
    const chunk = buildChunk(chunkBytes);
    const part = chunk.repeat(Math.ceil(largeChunkBytes / chunk.length));
    return { start: chunkedStart, part, parts: Number.POSITIVE_INFINITY, isReading: true };
}

/** All kinds by name. */
export const crowdKinds = {
    /** Requests in a row whose answers are not read. */
    requestsInARow: { start: "", part: read, parts: requestsOfConnection, isReading: false },
    /** Requests for large answers that are not read. */
    unreadAnswers: { start: "", part: read, parts: answersOfConnection, isReading: false },
    /** Heads that stop short of their end. */
    unfinishedHeads: {
        start: `GET /safe/crowd HTTP/1.1\r\n${identity}x-filler: `,
        part: "x".repeat(headFillerBytes),
        parts: 1,
        isReading: true,
    },
    /** Bodies in chunks that stop short of their end. */
    unfinishedLargeChunks: buildUnfinished(largeChunkBytes),
    unfinishedMediumChunks: buildUnfinished(mediumChunkBytes),
    /** Bodies in chunks of a few bytes that never end. */
    endlessSmallChunks: buildEndless(smallChunkBytes),
    endlessByteChunks: buildEndless(1),
    /** Bodies of which the length is announced, and one byte sent. */
    announcedBodies: { start: buildLengthStart(largeBytes), part: "x", parts: 1, isReading: true },
    expectedBodies: {
        start: buildLengthStart(largeBytes, "expect: 100-continue\r\n"),
        part: "x",
        parts: 1,
        isReading: true,
    },
    /** Bodies far over the limit, announced or not. */
    oversizedAnnounced: {
        start: buildLengthStart(largeBytes * largeBytes),
        part: "x".repeat(largeChunkBytes),
        parts: Number.POSITIVE_INFINITY,
        isReading: true,
    },
    oversizedChunked: buildEndless(largeChunkBytes),
    /** Connections on which nothing is sent. */
    idleConnections: { start: "", part: "", parts: 0, isReading: true },
    /** Connections that begin a body, are reset, and come again. */
    leavingConnections: {
        start: buildLengthStart(largeBytes),
        part: "x".repeat(largeChunkBytes),
        parts: 1,
        isReading: true,
        leaveMs,
    },
} as const satisfies Readonly<Record<string, CrowdKind>>;

/** Name of a kind. */
export type CrowdKindName = keyof typeof crowdKinds;

/**
 * Reads the name of a kind.
 *
 * @param name - The text.
 * @returns The kind.
 * @throws Error when there is none of that name.
 */
export function findCrowdKind(name: string): CrowdKind {
    const kind = Object.entries(crowdKinds).find(([known]) => known === name)?.[1];
    if (kind === undefined) {
        throw new Error(`${name}: no such crowd; choose one of ${Object.keys(crowdKinds).join(", ")}`);
    }
    return kind;
}
