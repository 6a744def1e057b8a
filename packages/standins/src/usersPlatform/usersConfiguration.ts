/**
 * Builds a configuration of the users' platform in the operators' format, and registration entries of backend servers.
 *
 * @packageDocumentation
 */

/** Host name of all routes. */
export const usersRouteHost = "h.example";
/** Number of events in a complete stream of an engine stand-in. */
export const usersStreamEventCount = 4;
/** API key of the only customer. */
export const usersCustomerKey = "key-of-customer";

/**
 * Builds a configuration with a route of each kind, two services and one customer.
 *
 * @param version - Version of the configuration.
 * @param changes - Top-level fields that override the defaults.
 * @returns The configuration.
 */
export function buildUsersConfiguration(version: number, changes: Record<string, unknown> = {}) {
    const commonFields = {
        Host: usersRouteHost,
        TimeoutMs: 3_000,
        TargetLatencyMs: 200,
        Priority: 1,
        Public: false,
    };
    const plainFields = { ...commonFields, Service: "plain", MaxAttempts: 2 };
    const engineFields = { ...commonFields, Kind: "stream", Service: "engines", MaxAttempts: 2 };
    return {
        Version: version,
        Routes: [
            { ...plainFields, Name: "safe", PathPrefix: "/safe/", Kind: "safe" },
            { ...plainFields, Name: "unsafe", PathPrefix: "/unsafe/", Kind: "unsafe" },
            {
                ...commonFields,
                Name: "open",
                PathPrefix: "/open/",
                Kind: "safe",
                Service: "plain",
                Public: true,
            },
            { ...engineFields, Name: "stream", PathPrefix: "/stream/" },
            {
                ...engineFields,
                Name: "resumable",
                PathPrefix: "/resumable/",
                Resumable: true,
                GapAimMs: 500,
            },
        ],
        Services: [
            { Name: "plain", HealthPath: "/health", MaxConnections: 10 },
            { Name: "engines", HealthPath: "/health", MaxConnections: 10, Engine: { KvCapacity: 100_000 } },
        ],
        Limits: {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 100_000,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        },
        Tenants: [{ Name: "customer", ApiKeys: [usersCustomerKey], Priority: 1 }],
        ...changes,
    };
}

/**
 * Builds the registration entry that a backend server writes to the store.
 *
 * @param service - Name of the service that the server runs.
 * @param address - IP address and port.
 * @param changes - Fields that override the defaults.
 * @returns The entry.
 */
export function buildServerEntry(service: string, address: string, changes: Record<string, unknown> = {}) {
    return {
        Service: service,
        Address: address,
        Zone: "a",
        Version: "v1",
        Slots: 8,
        State: "ready",
        ColdRemainingMs: 0,
        Sequence: 1,
        born: 1_800_000_000_000,
        ...changes,
    };
}
