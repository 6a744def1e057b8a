/**
 * Dispatch state of this node per service: server placement and retry allowance.
 *
 * @packageDocumentation
 */
import {
    defaultPlacementSettings,
    RetryAllowance,
    PartMemory,
    ServerPlacement,
    type PlacementNews,
    type PlacementServer,
    type RetryAllowanceSettings,
} from "@pimentocleat/policy";
import type { Metrics } from "@pimentocleat/telemetry";
import type { Clock } from "@pimentocleat/types";
import type { RegisteredServer } from "../backends/backendServer.js";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";

/** Dispatch state of a service. */
export interface ServiceDispatch {
    readonly placement: ServerPlacement;
    readonly retries: RetryAllowance;
}

/** Options of {@link ServiceDispatchRegistry}. */
export interface ServiceDispatchRegistryOptions {
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly clock: Clock;
    readonly dataCentre: string;
    /** Reads the limits of retries, which change with the number of nodes. */
    readonly readRetrySettings: () => RetryAllowanceSettings;
    readonly news: PlacementNews;
}

/** Creates the dispatch state of each service and updates its servers. */
export class ServiceDispatchRegistry {
    private readonly services = new Map<string, ServiceDispatch>();
    private readonly partMemory = new PartMemory();

    /** @param options - Servers, configuration and retry limits. */
    constructor(private readonly options: ServiceDispatchRegistryOptions) {
        const { directory } = options;
        directory.addReadyListener((service) => this.updateService(service));
        directory.addRestartListener((server) =>
            this.services.get(server.service)?.placement.removeServer(server.id),
        );
        options.configuration.addListener(() => {
            [...this.services.keys()].forEach((service) => this.updateService(service));
        });
    }

    /**
     * Finds or creates the state of a service.
     *
     * @param service - Name of the service.
     * @returns The state.
     */
    ensureService(service: string): ServiceDispatch {
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const { clock, dataCentre, readRetrySettings, news } = this.options;
        const created = {
            placement: new ServerPlacement(
                { ...defaultPlacementSettings, dataCentre },
                clock,
                news,
                this.partMemory,
            ),
            retries: new RetryAllowance(readRetrySettings),
        };
        this.services.set(service, created);
        this.updateService(service);
        return created;
    }

    /**
     * Reports the predicted room of the services whose servers report their pace.
     *
     * @param metrics - Where it is reported.
     */
    reportRoom(metrics: Metrics): void {
        for (const [service, { placement }] of this.services) {
            if (!placement.hasPace()) {
                continue;
            }
            const { freeSlots, freeTokens, busiestFactor } = placement.summarizeRoom(
                this.listServers(service),
            );
            metrics.setGauge("service.freeSlots", Math.round(freeSlots), { service });
            metrics.setGauge("service.freeTokens", Math.round(freeTokens), { service });
            metrics.setGauge("service.busiestServer", busiestFactor, { service });
            metrics.addCount("service.noRoom", placement.takeDispatchesWithoutRoom(), { service });
        }
    }

    private updateService(service: string): void {
        this.ensureService(service).placement.updateServers(this.listServers(service));
    }

    private listServers(service: string): readonly PlacementServer[] {
        const { directory, configuration } = this.options;
        const capacityTokens = configuration.findService(service)?.engine?.capacityTokens;
        return directory
            .listReadyServers(service)
            .map((server) => convertToPlacementServer(server, capacityTokens));
    }
}

/**
 * Converts a registered server to the form that placement uses.
 *
 * @param server - The server.
 * @param capacityTokens - Token capacity of an engine of its service; undefined for services without engines.
 * @returns The server for placement.
 */
export function convertToPlacementServer(
    server: RegisteredServer,
    capacityTokens: number | undefined,
): PlacementServer {
    const { id, dataCentre, slots, isReclaimable } = server;
    return { id, dataCentre, slots, capacityTokens, isReclaimable };
}
