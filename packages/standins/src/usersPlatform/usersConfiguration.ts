/**
 * A configuration of the users' platform, as its operators write it, and entries of its backend servers.
 *
 * @packageDocumentation
 */

/** Host of all routes. */
export const usersRouteHost = "h.example";
/** Events of a whole stream of the engines. */
export const usersStreamEventCount = 4;
/** Key of the only customer. */
export const usersCustomerKey = "key-of-customer";

/**
 * Builds a configuration with a route of each kind, two services and one customer.
 *
 * @param version - Its version.
 * @param changes - Fields that differ.
 * @returns The configuration.
 */
export function buildUsersConfiguration(version: number, changes: Record<string, unknown> = {}) {
    const usual = {
        Host: usersRouteHost,
        TimeoutMs: 3_000,
        TargetLatencyMs: 200,
        Priority: 1,
        Public: false,
    };
    const plain = { ...usual, Service: "plain", MaxAttempts: 2 };
    const engines = { ...usual, Kind: "stream", Service: "engines", MaxAttempts: 2 };
    return {
        Version: version,
        Routes: [
            { ...plain, Name: "safe", PathPrefix: "/safe/", Kind: "safe" },
            { ...plain, Name: "unsafe", PathPrefix: "/unsafe/", Kind: "unsafe" },
            { ...usual, Name: "open", PathPrefix: "/open/", Kind: "safe", Service: "plain", Public: true },
            { ...engines, Name: "stream", PathPrefix: "/stream/" },
            {
                ...engines,
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
 * Builds the entry of a server as it registers itself.
 *
 * @param service - Its service.
 * @param address - IP address and port.
 * @param changes - Fields that differ.
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
