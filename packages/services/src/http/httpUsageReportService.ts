/**
 * Client of the usage report interface over HTTP; see docs/interfaces/usage-reports.md.
 *
 * @packageDocumentation
 */
import type { UsageReport, UsageReportService } from "../usageReports/usageReportService.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { usageReportAnswerSchema } from "./wireSchemas.js";

/** HTTP client of the usage report interface. */
export class HttpUsageReportService extends PlatformHttpService implements UsageReportService {
    /**
     * @param options - Address and limits of the service.
     */
    constructor(options: PlatformHttpOptions) {
        super("usage report interface", options);
    }

    async reportUsage(report: UsageReport, timeoutMs: number, isSendAllowed?: () => boolean): Promise<void> {
        const callOptions = { timeoutMs, isSendAllowed };
        await this.client.sendJson("/usage-reports", report, usageReportAnswerSchema, callOptions);
    }
}
