/**
 * Client of the ordering interface over HTTP; see docs/interfaces/ordering.md.
 *
 * @packageDocumentation
 */
import type { OrderingService, OrderResult, ServerOrder } from "../ordering/orderingService.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { orderResultSchema } from "./wireSchemas.js";

/** HTTP client of the ordering interface. */
export class HttpOrderingService extends PlatformHttpService implements OrderingService {
    /**
     * @param options - Address and limits of the service.
     */
    constructor(options: PlatformHttpOptions) {
        super("ordering interface", options);
    }

    async orderServers(
        order: ServerOrder,
        timeoutMs: number,
        isSendAllowed?: () => boolean,
    ): Promise<OrderResult> {
        const callOptions = { timeoutMs, isSendAllowed };
        return this.client.sendJson("/orders", order, orderResultSchema, callOptions);
    }
}
