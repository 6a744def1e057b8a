/**
 * Client of the host list over HTTP; see docs/interfaces/host-list.md.
 *
 * @packageDocumentation
 */
import type { HostList, ListedHost } from "../hosts/hostList.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { hostListAnswerSchema } from "./wireSchemas.js";

/** HTTP client of the host list. */
export class HttpHostList extends PlatformHttpService implements HostList {
    /**
     * @param options - Address and limits of the service.
     */
    constructor(options: PlatformHttpOptions) {
        super("host list", options);
    }

    async listHosts(): Promise<readonly ListedHost[]> {
        const answer = await this.client.readJson("/hosts", hostListAnswerSchema);
        return answer.hosts;
    }
}
