/**
 * The catalogue of numbered log events; see docs/LOG-EVENTS.md.
 *
 * @packageDocumentation
 */

/** Severity of a log event. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** One entry of the catalogue. */
export interface LogEvent {
    /** Stable number; 1000 process, 2000 requests, 3000 configuration and keys, 4000 leases and orders, 5000 usage, 6000 peers, 7000 backend servers. */
    readonly number: number;
    readonly level: LogLevel;
    /** English text without values; values are fields. */
    readonly text: string;
}

function defineEvent(number: number, level: LogLevel, text: string): LogEvent {
    return { number, level, text };
}

/** Every event that the product logs. */
export const logEvents = {
    nodeStarted: defineEvent(1000, "info", "node started"),
    nodeReady: defineEvent(1001, "info", "node ready"),
    nodeStopping: defineEvent(1002, "info", "node stopping"),
    nodeStopped: defineEvent(1003, "info", "node stopped"),
    stopStepFailed: defineEvent(1004, "error", "a step of the planned stop failed; the later ones go on"),
    logLinesDropped: defineEvent(1005, "warn", "log lines left out"),
    nodeStalled: defineEvent(1006, "warn", "this process did not run for a while"),
    clockJumped: defineEvent(
        1007,
        "warn",
        "the wall clock moved apart from the steady one: the host was suspended or its clock was stepped",
    ),
    unexpectedError: defineEvent(1900, "error", "unexpected error"),
    requestFinished: defineEvent(2000, "debug", "request finished"),
    requestRefused: defineEvent(2001, "info", "request refused"),
    requestRetried: defineEvent(2002, "info", "request retried"),
    requestSent: defineEvent(2004, "info", "request sent to a backend server"),
    requestEnded: defineEvent(2005, "info", "request ended"),
    callerConnectionBroken: defineEvent(
        2006,
        "info",
        "a caller's connection broke or sent no proper request",
    ),
    leaseAcquired: defineEvent(4000, "info", "lease acquired"),
    leaseLost: defineEvent(4001, "warn", "lease lost to another node"),
    leaseStepFailed: defineEvent(4004, "info", "leases could not be read or renewed; it is tried again"),
    leaseNotReleased: defineEvent(4003, "info", "lease not given up at a planned stop; it lapses by itself"),
    dutyStepFailed: defineEvent(4002, "warn", "step of a duty failed; it is tried again"),
    serversOrdered: defineEvent(4100, "info", "backend servers ordered"),
    serversNotAvailable: defineEvent(4101, "warn", "no backend servers of this kind to be had"),
    orderFailed: defineEvent(4102, "info", "an order failed; it is tried again"),
    claimOutcomeDelayed: defineEvent(4500, "warn", "outcome of a claim not stored yet; retrying"),
    claimOutcomeDropped: defineEvent(4501, "error", "too many outcomes wait; the oldest was dropped"),
    keyRequestsEnded: defineEvent(2003, "info", "requests of a withdrawn key ended"),
    usageMoved: defineEvent(5000, "info", "usage that a sealed window lacks moved to a later one"),
    usageNotForwarded: defineEvent(5003, "info", "usage of other nodes could not be written; they write it"),
    usageNotStored: defineEvent(5004, "info", "usage could not be written; it is tried again"),
    usageNotCopied: defineEvent(5005, "info", "usage could not be copied to another node; it is tried again"),
    usageNotRecovered: defineEvent(
        5006,
        "info",
        "usage of another node could not be written; it is tried again",
    ),
    usageStepFailed: defineEvent(5002, "warn", "usage could not be sealed or reported; it is tried again"),
    configurationApplied: defineEvent(3000, "info", "configuration applied"),
    configurationRefused: defineEvent(3001, "error", "configuration refused; the last one stays in force"),
    storeUnreachable: defineEvent(3002, "warn", "table service not reached; asking peers"),
    storeReachable: defineEvent(3003, "info", "table service reached again"),
    nodeIsolated: defineEvent(3004, "error", "neither table service nor peers reached; taking no requests"),
    nodeInTouch: defineEvent(3005, "info", "table service or a peer reached; taking requests"),
    keyWithdrawn: defineEvent(3010, "info", "key withdrawn"),
    withdrawalNotRecorded: defineEvent(3011, "warn", "withdrawal not recorded yet; retrying"),
    operatorCall: defineEvent(3100, "info", "operator call"),
    operatorRefused: defineEvent(3101, "warn", "operator call refused"),
    hostListUnavailable: defineEvent(6000, "warn", "host list could not be read; the last one is kept"),
    peerUnreachable: defineEvent(6001, "warn", "peer did not answer, directly or through others"),
    peerDatagramsUnavailable: defineEvent(
        6003,
        "warn",
        "the UDP port of the peer interface is not free; soft state arrives later",
    ),
    peerRegistrationFailed: defineEvent(
        6004,
        "warn",
        "this node could not register for its peers; it is tried again",
    ),
    peerSocketFailed: defineEvent(
        6005,
        "warn",
        "the socket for peers failed; nothing is heard of their sends",
    ),
    peerMessageUnreadable: defineEvent(6006, "warn", "a peer's message cannot be read; it is dropped"),
    peerGone: defineEvent(6002, "warn", "peer declared gone"),
    backendRegistered: defineEvent(7003, "info", "backend server registered"),
    backendGone: defineEvent(7004, "info", "backend server is no longer registered"),
    serverEntryUnreadable: defineEvent(
        7005,
        "warn",
        "registration of a backend server cannot be read; it is not used",
    ),
    backendPollFailed: defineEvent(7000, "warn", "poll of a backend server failed"),
    backendLeaving: defineEvent(7001, "warn", "backend server is leaving"),
    hostListFailed: defineEvent(7002, "warn", "host list could not be read"),
} as const satisfies Record<string, LogEvent>;

/** Name of a log event. */
export type LogEventName = keyof typeof logEvents;
