/**
 * Client of the object store over HTTP; see docs/interfaces/object-store.md.
 *
 * @packageDocumentation
 */
import type { ObjectStore } from "../objects/objectStore.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { objectStoredAnswerSchema } from "./wireSchemas.js";

const notFoundStatus = 404;

/** HTTP client of the object store. */
export class HttpObjectStore extends PlatformHttpService implements ObjectStore {
    /**
     * @param options - Address and limits of the service.
     */
    constructor(options: PlatformHttpOptions) {
        super("object store", options);
    }

    async putObject(name: string, content: Uint8Array): Promise<void> {
        const answer = await this.client.sendCall({
            method: "PUT",
            path: buildObjectPath(name),
            body: content,
            contentType: "application/octet-stream",
        });
        this.client.parseAnswer(answer, objectStoredAnswerSchema);
    }

    async getObject(name: string): Promise<Uint8Array | undefined> {
        const call = { method: "GET", path: buildObjectPath(name) } as const;
        const answer = await this.client.sendCall(call, notFoundStatus);
        return answer.status === notFoundStatus ? undefined : answer.body;
    }
}

function buildObjectPath(name: string): string {
    return `/objects/${encodeURIComponent(name)}`;
}
