/**
 * Base class of the HTTP clients of the platform's services.
 *
 * @packageDocumentation
 */
import { PlatformHttpClient, type PlatformHttpOptions } from "./platformHttpClient.js";

/** A client of one platform service over HTTP. */
export abstract class PlatformHttpService {
    protected readonly client: PlatformHttpClient;

    /**
     * @param serviceName - Name of the service in error messages.
     * @param options - Address and limits of the service.
     */
    constructor(serviceName: string, options: PlatformHttpOptions) {
        this.client = new PlatformHttpClient(serviceName, options);
    }

    /** Closes all connections; calls in progress fail. */
    async close(): Promise<void> {
        await this.client.close();
    }
}
