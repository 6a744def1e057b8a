/**
 * Client of the usage report interface over HTTP; see docs/interfaces/usage-reports.md.
 *
 * @packageDocumentation
 */
import type { UsageReport, UsageReportService } from "../usageReports/usageReportService.js";
import type { PlatformHttpOptions } from "./platformHttpClient.js";
import { PlatformHttpService } from "./platformHttpService.js";
import { usageReportAnswerSchema } from "./wireSchemas.js";

/** The usage report interface over HTTP. */
export class HttpUsageReportService extends PlatformHttpService implements UsageReportService {
    /**
     * @param options - Where the service is.
     */
    constructor(options: PlatformHttpOptions) {
        super("usage report interface", options);
    }

    async reportUsage(report: UsageReport, timeoutMs: number, isSendAllowed?: () => boolean): Promise<void> {
        const bounds = { timeoutMs, isSendAllowed };
        await this.client.sendJson("/usage-reports", report, usageReportAnswerSchema, bounds);
    }
}
