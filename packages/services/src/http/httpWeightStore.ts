/**
 * Client of the weight store over HTTP; see docs/interfaces/weight-store.md.
 *
 * @packageDocumentation
 */
import type { WeightEntry, WeightStore } from "../weights/weightStore.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { weightListAnswerSchema } from "./wireSchemas.js";

/** HTTP client of the weight store. */
export class HttpWeightStore extends PlatformHttpService implements WeightStore {
    /**
     * @param options - Address and limits of the service.
     */
    constructor(options: PlatformHttpOptions) {
        super("weight store", options);
    }

    async listWeights(): Promise<readonly WeightEntry[]> {
        const answer = await this.client.readJson("/weights", weightListAnswerSchema);
        return answer.weights;
    }
}
