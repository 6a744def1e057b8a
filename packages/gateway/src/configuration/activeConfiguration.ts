/**
 * The active configuration of this node; its version never decreases.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { CustomerRule, GatewayConfiguration, RouteRule, ServiceRule } from "./gatewayConfiguration.js";

/** Number of requests over whose timeouts a caller may spread one stream. */
const triesPerStream = 2;

interface ConfigurationIndex {
    readonly configuration: GatewayConfiguration;
    /** Routes by host, sorted by descending length of the path prefix. */
    readonly routes: ReadonlyMap<string, readonly RouteRule[]>;
    readonly customers: ReadonlyMap<string, CustomerRule>;
    readonly services: ReadonlyMap<string, ServiceRule>;
}

/** Holds the newest configuration and looks up its routes, customers and services. */
export class ActiveConfiguration {
    private index: ConfigurationIndex | undefined;
    private readonly listeners: ((configuration: GatewayConfiguration) => void)[] = [];

    /** @param logger - Records each version that becomes active. */
    constructor(private readonly logger: Logger) {}

    /** @param listener - Called with each version that becomes active. */
    addListener(listener: (configuration: GatewayConfiguration) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Activates a configuration if its version is newer than the active one.
     *
     * @param configuration - The configuration to activate.
     * @returns Whether it became active.
     */
    applyConfiguration(configuration: GatewayConfiguration): boolean {
        const current = this.index?.configuration.version;
        if (current !== undefined && configuration.version <= current) {
            return false;
        }
        this.index = buildIndex(configuration);
        this.logger.writeEvent("configurationApplied", {
            revision: configuration.version,
            routes: configuration.routes.length,
            customers: configuration.customers?.length,
        });
        this.listeners.forEach((listener) => listener(configuration));
        return true;
    }

    /** @returns The active configuration, or undefined before the first one. */
    readCurrent(): GatewayConfiguration | undefined {
        return this.index?.configuration;
    }

    /**
     * Finds the route of a request.
     *
     * @param host - Host without a port, in lower case.
     * @param path - Request path, with or without a query.
     * @returns The route with the longest matching path prefix, or undefined when none matches.
     */
    findRoute(host: string, path: string): RouteRule | undefined {
        return this.index?.routes.get(host)?.find((route) => path.startsWith(route.pathPrefix));
    }

    /**
     * Finds the customer to whom an API key belongs.
     *
     * @param key - The API key.
     * @returns The customer, or undefined for an unknown key.
     */
    findCustomer(key: string): CustomerRule | undefined {
        return this.index?.customers.get(key);
    }

    /**
     * Estimates how long ago a stream may have begun that a caller takes up.
     *
     * @param service - Service of the stream.
     * @returns The time, in milliseconds; infinite before the first configuration.
     */
    readLongestStreamMs(service: string): number {
        const timeouts = (this.readCurrent()?.routes ?? [])
            .filter(
                (route) =>
                    (route.isResumable || route.kind === "stream") &&
                    route.targets.some((target) => target.service === service),
            )
            .map(({ timeoutMs }) => timeoutMs);
        return timeouts.length === 0 ? Number.POSITIVE_INFINITY : triesPerStream * Math.max(...timeouts);
    }

    /**
     * Finds a service by its name.
     *
     * @param name - Name of the service.
     * @returns The service, or undefined when the configuration does not contain it.
     */
    findService(name: string): ServiceRule | undefined {
        return this.index?.services.get(name);
    }
}

function buildIndex(configuration: GatewayConfiguration): ConfigurationIndex {
    const routes = new Map<string, RouteRule[]>();
    for (const route of configuration.routes) {
        routes.set(route.host, [...(routes.get(route.host) ?? []), route]);
    }
    routes.forEach((list) => list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    const keys = (configuration.customers ?? []).flatMap((customer) =>
        customer.keys.map((key) => [key, customer] as const),
    );
    return {
        configuration,
        routes,
        customers: new Map(keys),
        services: new Map(configuration.services.map((service) => [service.name, service])),
    };
}
