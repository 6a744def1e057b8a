/**
 * What the clients of all platform services share.
 *
 * @packageDocumentation
 */
import { PlatformHttpClient, type PlatformHttpOptions } from "./platformHttpClient.js";

/** A client of one platform service over HTTP. */
export abstract class PlatformHttpService {
    protected readonly client: PlatformHttpClient;

    /**
     * @param serviceName - Name of the service for messages.
     * @param options - Where the service is.
     */
    constructor(serviceName: string, options: PlatformHttpOptions) {
        this.client = new PlatformHttpClient(serviceName, options);
    }

    /** Closes all connections; running calls fail. */
    async close(): Promise<void> {
        await this.client.close();
    }
}
