/**
 * The catalogue of numbered log events; see docs/LOG-EVENTS.md.
 *
 * @packageDocumentation
 */

/** Severity of a log event. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** One entry of the catalogue. */
export interface LogEvent {
    /**
     * Stable number, grouped by area: 1000 process, 2000 requests, 3000 configuration and keys, 4000 leases and orders,
     * 5000 usage, 6000 peers, 7000 backend servers.
     */
    readonly number: number;
    readonly level: LogLevel;
    /** English text without values; values are logged as separate fields. */
    readonly text: string;
}

function defineEvent(number: number, level: LogLevel, text: string): LogEvent {
    return { number, level, text };
}

/** All events that the product logs. */
export const logEvents = {
    nodeStarted: defineEvent(1000, "info", "node started"),
    nodeReady: defineEvent(1001, "info", "node ready"),
    nodeStopping: defineEvent(1002, "info", "node stopping"),
    nodeStopped: defineEvent(1003, "info", "node stopped"),
    stopStepFailed: defineEvent(
        1004,
        "error",
        "a step of the graceful stop failed; continuing with the remaining steps",
    ),
    logLinesDropped: defineEvent(1005, "warn", "log lines dropped"),
    nodeStalled: defineEvent(1006, "warn", "the process was stalled and did not run for some time"),
    clockJumped: defineEvent(
        1007,
        "warn",
        "the wall clock diverged from the monotonic clock: the host was suspended or its clock was stepped",
    ),
    addressInUse: defineEvent(
        1008,
        "warn",
        "another program listens on an address of the node; trying again",
    ),
    nodeFailed: defineEvent(1009, "error", "the node could not start; the process ends"),
    codeCacheIgnored: defineEvent(
        1100,
        "warn",
        "the program was loaded without its code cache and started more slowly; run the build on this host",
    ),
    unexpectedError: defineEvent(1900, "error", "unexpected error"),
    requestFinished: defineEvent(2000, "debug", "request finished"),
    requestRefused: defineEvent(2001, "info", "request refused"),
    requestRetried: defineEvent(2002, "info", "request retried"),
    requestSent: defineEvent(2004, "info", "request sent to a backend server"),
    requestEnded: defineEvent(2005, "info", "request ended"),
    attemptLost: defineEvent(
        2007,
        "info",
        "connection to a backend server lost while a request was in flight on it",
    ),
    promptPartQuarantined: defineEvent(
        2008,
        "warn",
        "prompts with a part are refused: servers were lost just after they began to answer such prompts",
    ),
    promptPartCleared: defineEvent(2009, "info", "prompts with a part are no longer refused"),
    requestQuarantined: defineEvent(
        2011,
        "warn",
        "requests of one caller with the same path and body are refused: servers were lost while they ran them",
    ),
    requestCleared: defineEvent(2012, "info", "quarantined requests are no longer refused"),
    requestTested: defineEvent(2013, "info", "one quarantined request is sent as a test"),
    connectionLost: defineEvent(
        2014,
        "info",
        "a connection to a backend server was lost while others to it stay open; not a crash",
    ),
    requestWaiting: defineEvent(
        2400,
        "info",
        "request waits at this node: no server has room, or running streams would miss their pause targets",
    ),
    requestAdmitted: defineEvent(2401, "info", "request that waited at this node starts"),
    requestOverloaded: defineEvent(
        2402,
        "info",
        "request is refused because it cannot start in time; names when the caller should come back",
    ),
    requestNotRetried: defineEvent(
        2403,
        "info",
        "a server's failure is passed on, or a lost request ended, without another attempt; names the reason",
    ),
    promptPartTested: defineEvent(2010, "info", "one prompt with a quarantined part is sent as a test"),
    streamStalled: defineEvent(
        2300,
        "info",
        "a stream made no progress in events for as long as callers wait and was ended at its server",
    ),
    takeoverEnded: defineEvent(
        2301,
        "info",
        "a request whose server was silent was sent to another one, which has taken it over or not; names the result",
    ),
    callerConnectionBroken: defineEvent(
        2006,
        "info",
        "a caller's connection broke or carried an invalid HTTP request",
    ),
    leaseAcquired: defineEvent(4000, "info", "lease acquired"),
    leaseLost: defineEvent(4001, "warn", "lease lost to another node"),
    leaseStepFailed: defineEvent(4004, "info", "leases could not be read or renewed; retrying"),
    leaseNotReleased: defineEvent(
        4003,
        "info",
        "lease not released during a graceful stop; it expires on its own",
    ),
    leaseEraStarted: defineEvent(
        4005,
        "warn",
        "the table service came back from an older copy; all leases are given up and acquired anew",
    ),
    dutyStepFailed: defineEvent(4002, "warn", "step of a duty failed; retrying"),
    serversOrdered: defineEvent(4100, "info", "backend servers ordered"),
    serversNotAvailable: defineEvent(4101, "warn", "no backend servers of this kind are available"),
    orderFailed: defineEvent(4102, "info", "an order of backend servers failed; retrying"),
    claimOutcomeDelayed: defineEvent(4500, "warn", "outcome of a claim could not be stored yet; retrying"),
    claimOutcomeDropped: defineEvent(
        4501,
        "error",
        "too many claim outcomes are waiting to be stored; the oldest was dropped",
    ),
    keyRequestsEnded: defineEvent(2003, "info", "running requests of a withdrawn key were ended"),
    usageMoved: defineEvent(5000, "info", "usage missing from a sealed window was moved to a later window"),
    usageEraStarted: defineEvent(
        5009,
        "warn",
        "the table service came back from an older copy; windows before this one may have been reported and are left out",
    ),
    usageReportSent: defineEvent(
        5008,
        "info",
        "usage of a window is reported; names the rows, their newest version, the lease and the clocks behind the figures",
    ),
    usageReportAccepted: defineEvent(5011, "info", "the platform accepted the report of a window"),
    usageRowsNotRemoved: defineEvent(
        5012,
        "info",
        "expired usage rows were not removed, because they changed or the lease was lost",
    ),
    usageHandedOver: defineEvent(
        5010,
        "info",
        "the table service came back from an older copy; the reporter has recorded how far it had reported",
    ),
    usageNotForwarded: defineEvent(
        5003,
        "info",
        "forwarded usage of other nodes could not be written; those nodes write it themselves",
    ),
    usageNotStored: defineEvent(5004, "info", "usage could not be written; retrying"),
    usageNotCopied: defineEvent(5005, "info", "usage could not be copied to another node; retrying"),
    usageNotRecovered: defineEvent(
        5006,
        "info",
        "recovered usage of another node could not be written; retrying",
    ),
    usageStepFailed: defineEvent(5002, "warn", "usage could not be sealed or reported; retrying"),
    configurationApplied: defineEvent(3000, "info", "configuration applied"),
    configurationRefused: defineEvent(
        3001,
        "error",
        "configuration refused; the previous one remains active",
    ),
    storeUnreachable: defineEvent(3002, "warn", "table service unreachable; asking peers"),
    storeReachable: defineEvent(3003, "info", "table service reachable again"),
    nodeIsolated: defineEvent(
        3004,
        "error",
        "neither the table service nor any peer is reachable; no longer accepting requests",
    ),
    nodeInTouch: defineEvent(3005, "info", "the table service or a peer is reachable; accepting requests"),
    keyWithdrawn: defineEvent(3010, "info", "key withdrawn"),
    withdrawalNotRecorded: defineEvent(3011, "warn", "key withdrawal could not be recorded yet; retrying"),
    operatorCall: defineEvent(3100, "info", "operator call"),
    evacuationStarted: defineEvent(3200, "warn", "data centre evacuated: its servers get no requests"),
    evacuationEnded: defineEvent(3201, "info", "evacuation of a data centre ended"),
    operatorRefused: defineEvent(3101, "warn", "operator call refused"),
    hostListUnavailable: defineEvent(6000, "warn", "host list could not be read; using the last known list"),
    peerUnreachable: defineEvent(6001, "warn", "peer responded neither directly nor through other nodes"),
    peerDatagramsUnavailable: defineEvent(
        6003,
        "warn",
        "the UDP port of the peer interface could not be opened; soft state waits for the next exchange",
    ),
    peerRegistrationFailed: defineEvent(
        6004,
        "warn",
        "this node could not register its peer address; retrying",
    ),
    peerSocketFailed: defineEvent(
        6005,
        "warn",
        "the peer socket failed; announcements of peers are no longer received",
    ),
    peerMessageUnreadable: defineEvent(
        6006,
        "warn",
        "a message of a peer could not be decoded and was dropped",
    ),
    relayRefused: defineEvent(
        6007,
        "warn",
        "a request to relay was refused because its sender is not a node",
    ),
    relayUnavailable: defineEvent(
        6008,
        "warn",
        "the TCP port of the peer interface could not be opened; no requests of other nodes are relayed",
    ),
    relayDeclined: defineEvent(6009, "info", "another node did not relay a request"),
    peerGone: defineEvent(6002, "warn", "peer declared dead"),
    backendRegistered: defineEvent(7003, "info", "backend server registered"),
    backendGone: defineEvent(7004, "info", "backend server is no longer registered"),
    serverEntryUnreadable: defineEvent(
        7005,
        "warn",
        "registration of a backend server could not be decoded; the server is not used",
    ),
    backendPollFailed: defineEvent(7000, "warn", "poll of a backend server failed"),
    backendLeaving: defineEvent(7001, "warn", "backend server is leaving"),
    serverSaysLeaving: defineEvent(7006, "info", "backend server says in a response that it is leaving"),
    serverPaused: defineEvent(7007, "info", "backend server asked for a pause in its response"),
    serverPauseUnreadable: defineEvent(
        7008,
        "warn",
        "backend server asked for a pause that cannot be read; ignored",
    ),
    serverLimited: defineEvent(7009, "info", "backend server names a limit of its requests"),
    serverLimitEnded: defineEvent(7010, "info", "backend server no longer names a limit"),
    serverLimitUnreadable: defineEvent(7011, "warn", "backend server named a limit that cannot be read"),
    serverMayBeCold: defineEvent(
        7100,
        "info",
        "a backend server may be cold: it gets few requests a second from all nodes together",
    ),
    connectionNotOpened: defineEvent(7012, "info", "a connection to a backend server could not be opened"),
    serviceBrittle: defineEvent(7014, "warn", "servers of a service say that they are brittle"),
    serviceBrittleEnded: defineEvent(
        7015,
        "info",
        "servers of a service no longer say that they are brittle",
    ),
    serviceBrittleUnreadable: defineEvent(
        7016,
        "warn",
        "a server named a number of bearable rejections that cannot be read",
    ),
    serverReachedAgain: defineEvent(7013, "info", "a connection to a backend server could be opened again"),
    serversUnreachable: defineEvent(7017, "warn", "this node reaches no backend server"),
    serversReachable: defineEvent(7018, "info", "this node reaches backend servers again"),
    hostListFailed: defineEvent(7002, "warn", "host list could not be read"),
} as const satisfies Record<string, LogEvent>;

/** Name of a log event. */
export type LogEventName = keyof typeof logEvents;
