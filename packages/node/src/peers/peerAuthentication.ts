/**
 * Mutual authentication of peers by a shared secret: each request and each response carries a keyed digest
 * (HMAC) of its content, so the secret itself is never transmitted.
 *
 * @packageDocumentation
 */
import { toBinary } from "@bufbuild/protobuf";
import {
    Code,
    ConnectError,
    type Interceptor,
    type UnaryRequest,
    type UnaryResponse,
} from "@connectrpc/connect";
import type { Clock } from "@pimentocleat/types";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const authenticationHeader = "x-peer-authentication";
const nonceBytes = 12;

/** Maximum age of an accepted call, in milliseconds; covers clock differences between hosts. */
export const maximumCallAgeMs = 60_000;

/** Options of the authentication. */
export interface PeerAuthenticationOptions {
    readonly secret: string;
    readonly clock: Clock;
}

interface CallStamp {
    readonly timeMs: number;
    readonly nonce: string;
}

function computeDigest(secret: string, parts: readonly (string | Uint8Array)[]): string {
    const hmac = createHmac("sha256", secret);
    for (const part of parts) {
        hmac.update(part);
        hmac.update("\n");
    }
    return hmac.digest("base64url");
}

function computeRequestDigest(secret: string, request: UnaryRequest, stamp: CallStamp): string {
    const body = toBinary(request.method.input, request.message);
    return computeDigest(secret, ["request", request.method.name, `${stamp.timeMs}`, stamp.nonce, body]);
}

function computeResponseDigest(secret: string, response: UnaryResponse, stamp: CallStamp): string {
    const body = toBinary(response.method.output, response.message);
    return computeDigest(secret, ["response", response.method.name, `${stamp.timeMs}`, stamp.nonce, body]);
}

function isEqualDigest(received: string, expected: string): boolean {
    const left = Buffer.from(received);
    const right = Buffer.from(expected);
    return left.length === right.length && timingSafeEqual(left, right);
}

function buildAuthenticationError(): ConnectError {
    return new ConnectError("peer authentication failed", Code.Unauthenticated);
}

/**
 * Creates the client-side interceptor, which signs requests and verifies responses.
 *
 * @param options - Secret and clock.
 * @returns The interceptor.
 */
export function createCallSigner(options: PeerAuthenticationOptions): Interceptor {
    return (next) => async (request) => {
        if (request.stream) {
            throw buildAuthenticationError();
        }
        const stamp = {
            timeMs: Math.floor(options.clock.wallMs()),
            nonce: randomBytes(nonceBytes).toString("base64url"),
        };
        const digest = computeRequestDigest(options.secret, request, stamp);
        request.header.set(authenticationHeader, `${stamp.timeMs}.${stamp.nonce}.${digest}`);
        const response = await next(request);
        if (response.stream) {
            throw buildAuthenticationError();
        }
        const expected = computeResponseDigest(options.secret, response, stamp);
        if (!isEqualDigest(response.header.get(authenticationHeader) ?? "", expected)) {
            throw buildAuthenticationError();
        }
        return response;
    };
}

/**
 * Creates the server-side interceptor, which verifies requests and signs responses.
 *
 * @param options - Secret and clock.
 * @returns The interceptor.
 */
export function createCallVerifier(options: PeerAuthenticationOptions): Interceptor {
    return (next) => async (request) => {
        if (request.stream) {
            throw buildAuthenticationError();
        }
        const [time = "", nonce = "", digest = ""] = (request.header.get(authenticationHeader) ?? "").split(
            ".",
        );
        const stamp = { timeMs: Number(time), nonce };
        const ageMs = Math.abs(options.clock.wallMs() - stamp.timeMs);
        const expected = computeRequestDigest(options.secret, request, stamp);
        if (!(ageMs <= maximumCallAgeMs) || !isEqualDigest(digest, expected)) {
            throw buildAuthenticationError();
        }
        const response = await next(request);
        if (response.stream) {
            throw buildAuthenticationError();
        }
        response.header.set(authenticationHeader, computeResponseDigest(options.secret, response, stamp));
        return response;
    };
}
