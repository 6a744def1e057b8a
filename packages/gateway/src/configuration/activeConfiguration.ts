/**
 * The configuration in force on this node; it never goes back to an older version.
 *
 * @packageDocumentation
 */
import type { Logger } from "@pimentocleat/telemetry";
import type { CustomerRule, GatewayConfiguration, RouteRule, ServiceRule } from "./gatewayConfiguration.js";

interface ConfigurationIndex {
    readonly configuration: GatewayConfiguration;
    /** Routes by host, the longest prefix first. */
    readonly routes: ReadonlyMap<string, readonly RouteRule[]>;
    readonly customers: ReadonlyMap<string, CustomerRule>;
    readonly services: ReadonlyMap<string, ServiceRule>;
}

/** Holds the newest configuration. */
export class ActiveConfiguration {
    private index: ConfigurationIndex | undefined;
    private readonly listeners: ((configuration: GatewayConfiguration) => void)[] = [];

    /** @param logger - Notes each version that comes into force. */
    constructor(private readonly logger: Logger) {}

    /** @param listener - Called with each version that comes into force. */
    addListener(listener: (configuration: GatewayConfiguration) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Brings a version into force if it is newer.
     *
     * @param configuration - The version.
     * @returns Whether it is now in force.
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

    /** @returns The configuration in force, or undefined before the first. */
    readCurrent(): GatewayConfiguration | undefined {
        return this.index?.configuration;
    }

    /**
     * Finds the route of a request.
     *
     * @param host - Host without a port, in lower case.
     * @param path - Path with or without a query.
     * @returns The route with the longest matching prefix.
     */
    findRoute(host: string, path: string): RouteRule | undefined {
        return this.index?.routes.get(host)?.find((route) => path.startsWith(route.pathPrefix));
    }

    /**
     * Finds the customer that holds a key.
     *
     * @param key - The key.
     * @returns The customer, or undefined for an unknown key.
     */
    findCustomer(key: string): CustomerRule | undefined {
        return this.index?.customers.get(key);
    }

    /**
     * Finds a service.
     *
     * @param name - Name of the service.
     * @returns The service, or undefined when the configuration does not name it.
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
