/**
 * Client of the host list over HTTP; see docs/interfaces/host-list.md.
 *
 * @packageDocumentation
 */
import type { HostList, ListedHost } from "../hosts/hostList.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { hostListAnswerSchema } from "./wireSchemas.js";

/** The host list over HTTP. */
export class HttpHostList extends PlatformHttpService implements HostList {
    /**
     * @param options - Where the service is.
     */
    constructor(options: PlatformHttpOptions) {
        super("host list", options);
    }

    async listHosts(): Promise<readonly ListedHost[]> {
        const answer = await this.client.readJson("/hosts", hostListAnswerSchema);
        return answer.hosts;
    }
}
