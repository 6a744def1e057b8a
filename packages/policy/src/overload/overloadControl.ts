/**
 * Admission control of one node: decides about requests, orders those that wait and learns from their outcomes.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";
import type { StartEstimate } from "../placement/startEstimate.js";
import { chooseAdmission, chooseAtLimit } from "./admissionDecision.js";
import type { AdmissionDecision, AdmissionRequest, FinalDecision, ServiceLoad } from "./admissionRequest.js";
import { KindProfile } from "./kindProfile.js";
import { RecentMap } from "./recentMap.js";
import { ServedShares } from "./servedShares.js";

/** Step in which slacks count as equal, in milliseconds; about a decoding step, below which the order changes nothing. */
const slackStepMs = 50;
/** Time in which the served tokens of a customer count half, in milliseconds. */
const servedHalfLifeMs = 10_000;

interface ServedTokens {
    readonly tokens: number;
    readonly atMs: number;
}

/** Decides for all services of a node. */
export class OverloadControl {
    private readonly shares = new ServedShares();
    private readonly profiles = new RecentMap<KindProfile>();
    private readonly served = new RecentMap<ServedTokens>();

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records that a request arrived.
     *
     * @param kind - Kind of the request.
     * @param promptTokens - Size of its prompt.
     * @returns Its rank among the recent requests of its kind, 0 to 1.
     */
    recordArrival(kind: string, promptTokens: number): number {
        return this.ensureProfile(kind).recordPrompt(promptTokens);
    }

    /**
     * Decides about a request.
     *
     * @param request - The request.
     * @param estimate - Its predicted start; undefined when it cannot be predicted.
     * @param readLoad - Reads the load of its service.
     * @returns The decision.
     */
    chooseAdmission(
        request: AdmissionRequest,
        estimate: StartEstimate | undefined,
        readLoad: () => ServiceLoad,
    ): AdmissionDecision {
        return chooseAdmission(request, estimate, {
            nowMs: this.clock.monotonicMs(),
            restMs: this.ensureProfile(request.kind).readRestMs(),
            isOwed: this.shares.isOwed(request),
            readLoad,
        });
    }

    /**
     * Decides about the last of too many waiting requests.
     *
     * @param request - The request.
     * @param readLoad - Reads the load of its service.
     * @returns The decision.
     */
    chooseAtLimit(request: AdmissionRequest, readLoad: () => ServiceLoad): FinalDecision {
        return chooseAtLimit(request, this.clock.monotonicMs(), readLoad());
    }

    /**
     * Compares two waiting requests: by priority, then streams that are continued, then the slack until the latency
     * target, and for equal slack the customer's served tokens.
     *
     * @param left - A request.
     * @param right - Another request.
     * @returns A negative number when the first one goes first.
     */
    compareRequests(left: AdmissionRequest, right: AdmissionRequest): number {
        return (
            left.priority - right.priority ||
            Number(right.isResumption) - Number(left.isResumption) ||
            computeSlackStep(left) - computeSlackStep(right) ||
            this.readServedTokens(left) - this.readServedTokens(right) ||
            left.arrivedMs - right.arrivedMs
        );
    }

    /** Records that a request starts. */
    recordStart(request: AdmissionRequest): void {
        this.shares.recordOutcome(request, true);
        const { customer, promptTokens } = request;
        if (customer === undefined) {
            return;
        }
        const tokens = this.readServedTokens(request) + promptTokens;
        this.served.set(customer, { tokens, atMs: this.clock.monotonicMs() });
    }

    /** Records that a request is refused. */
    recordRefusal(request: AdmissionRequest): void {
        this.shares.recordOutcome(request, false);
    }

    /**
     * Records a complete answer.
     *
     * @param kind - Kind of the request.
     * @param restMs - Time from its first event to its end, in milliseconds.
     */
    recordAnswer(kind: string, restMs: number): void {
        this.ensureProfile(kind).recordAnswer(restMs);
    }

    private readServedTokens({ customer }: AdmissionRequest): number {
        const known = customer === undefined ? undefined : this.served.get(customer);
        if (known === undefined) {
            return 0;
        }
        return known.tokens * 0.5 ** ((this.clock.monotonicMs() - known.atMs) / servedHalfLifeMs);
    }

    private ensureProfile(kind: string): KindProfile {
        const known = this.profiles.get(kind);
        if (known !== undefined) {
            return known;
        }
        const created = new KindProfile();
        this.profiles.set(kind, created);
        return created;
    }
}

function computeSlackStep({ arrivedMs, targetMs }: AdmissionRequest): number {
    return Math.floor((arrivedMs + targetMs) / slackStepMs);
}
