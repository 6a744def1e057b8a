/**
 * Resolves the route, customer and service of a request, or refuses the request.
 *
 * @packageDocumentation
 */
import { mergeParts } from "@pimentocleat/policy";
import { ErrorKind, RouterError, type Clock } from "@pimentocleat/types";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { CustomerRule, RouteRule } from "../configuration/gatewayConfiguration.js";
import { buildBoundedKey } from "../dispatch/boundedKey.js";
import type { CallerHead, GatewayRequest } from "../dispatch/gatewayRequest.js";

/** Retry delay suggested to callers while the node has no configuration yet, in milliseconds. */
const notReadyRetryAfterMs = 500;

/** Options of {@link RequestAdmission}. */
export interface RequestAdmissionOptions {
    readonly configuration: ActiveConfiguration;
    readonly clock: Clock;
    readonly random: () => number;
}

/** Admits or refuses requests under the active configuration. */
export class RequestAdmission {
    /** @param options - Active configuration, clock and source of randomness. */
    constructor(private readonly options: RequestAdmissionOptions) {}

    /**
     * Checks a request against the active configuration.
     *
     * @param head - Head of the request.
     * @param body - Complete body of the request.
     * @param arrivedMs - Monotonic time at which the head was read, in milliseconds.
     * @returns The admitted request, ready to be dispatched.
     * @throws RouterError when the request is refused.
     */
    checkRequest(head: CallerHead, body: Buffer | undefined, arrivedMs: number): GatewayRequest {
        const { configuration } = this.options;
        const current = configuration.readCurrent();
        if (current === undefined) {
            throw new RouterError(ErrorKind.NotReady, undefined, { retryAfterMs: notReadyRetryAfterMs });
        }
        const route = configuration.findRoute(head.host, head.path);
        if (route === undefined) {
            throw new RouterError(ErrorKind.UnknownRoute);
        }
        const isKeyRequired = current.customers !== undefined && !route.isOpen;
        const customer = isKeyRequired ? this.findCustomer(head) : undefined;
        if ((body?.length ?? 0) > current.bounds.maximumBodyBytes) {
            throw new RouterError(ErrorKind.BodyTooLarge);
        }
        const timeoutMs = Math.min(head.timeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
        const service = this.chooseService(route);
        const parts = head.parts.map(({ id, tokens }) => ({ id: buildBoundedKey(id), tokens }));
        return {
            head: { ...head, parts },
            comparedParts: mergeParts(parts, buildBoundedKey),
            body,
            route,
            service,
            customer,
            arrivedMs,
            deadlineMs: arrivedMs + timeoutMs,
        };
    }

    private findCustomer(head: CallerHead): CustomerRule {
        const customer =
            head.key === undefined ? undefined : this.options.configuration.findCustomer(head.key);
        if (customer === undefined) {
            throw new RouterError(head.key === undefined ? ErrorKind.MissingKey : ErrorKind.InvalidKey);
        }
        return customer;
    }

    private chooseService(route: RouteRule): string {
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let draw = this.options.random() * total;
        for (const target of route.targets) {
            draw -= target.weight;
            if (draw < 0) {
                return target.service;
            }
        }
        return route.targets.at(-1)?.service ?? "";
    }
}
