/**
 * Finds a request's route, customer and service, or refuses it.
 *
 * @packageDocumentation
 */
import { ErrorKind, RouterError, type Clock } from "@pimentocleat/types";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { CustomerRule, RouteRule } from "../configuration/gatewayConfiguration.js";
import type { CallerHead, GatewayRequest } from "../dispatch/gatewayRequest.js";

/** When a caller should come back to a node that has no configuration yet, in milliseconds. */
const notReadyRetryAfterMs = 500;

/** Options of {@link RequestAdmission}. */
export interface RequestAdmissionOptions {
    readonly configuration: ActiveConfiguration;
    readonly clock: Clock;
    readonly random: () => number;
}

/** Admits requests. */
export class RequestAdmission {
    /** @param options - The configuration in force. */
    constructor(private readonly options: RequestAdmissionOptions) {}

    /**
     * Checks a request against the configuration in force.
     *
     * @param head - The request's head.
     * @param body - Its whole body.
     * @param arrivedMs - Monotonic time at which its head was read.
     * @returns The request as it may be dispatched.
     * @throws RouterError when it may not.
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
        const isKeyNeeded = current.customers !== undefined && !route.isOpen;
        const customer = isKeyNeeded ? this.findCustomer(head) : undefined;
        if ((body?.length ?? 0) > current.bounds.maximumBodyBytes) {
            throw new RouterError(ErrorKind.BodyTooLarge);
        }
        const waitMs = Math.min(head.timeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
        const service = this.chooseService(route);
        return { head, body, route, service, customer, arrivedMs, deadlineMs: arrivedMs + waitMs };
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
