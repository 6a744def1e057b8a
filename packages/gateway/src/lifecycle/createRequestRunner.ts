/**
 * Connects the runner of requests to what decides where a request may be sent.
 *
 * @packageDocumentation
 */
import { OverloadControl, type RequestQuarantine, type ServerRestarts } from "@pimentocleat/policy";
import type { WaitingClock } from "@pimentocleat/types";
import type { ColdDirectory } from "../backends/coldDirectory.js";
import type { ServerDirectory } from "../backends/serverDirectory.js";
import type { ServerNotices } from "../backends/serverNotices.js";
import type { ServerPermits } from "../backends/serverPermits.js";
import type { ActiveConfiguration } from "../configuration/activeConfiguration.js";
import type { Evacuations } from "../configuration/evacuations.js";
import { AdmissionQueue } from "../dispatch/admissionQueue.js";
import { RequestGuard } from "../dispatch/requestGuard.js";
import { RequestRunner, type RequestRunnerOptions } from "../dispatch/requestRunner.js";
import { ServerSelection } from "../dispatch/serverSelection.js";
import { StartEstimator } from "../dispatch/startEstimator.js";
import { StreamResumption } from "../dispatch/streamResumption.js";
import type { ConnectionPool } from "@pimentocleat/upstream";
import type { CrashNews } from "../peers/crashNews.js";
import type { OriginDirectory } from "../peers/originDirectory.js";
import type { GatewaySettings } from "../settings/gatewaySettings.js";

/** Options of {@link createRequestRunner}: those that it passes on, and what it connects. */
export interface RunnerConnections extends Omit<
    RequestRunnerOptions,
    "resumption" | "guard" | "selection" | "admissions" | "control"
> {
    readonly settings: Pick<GatewaySettings, "overloadControl">;
    readonly directory: ServerDirectory;
    readonly configuration: ActiveConfiguration;
    readonly evacuations: Evacuations;
    readonly origins: OriginDirectory;
    readonly restarts: ServerRestarts;
    readonly quarantine: RequestQuarantine;
    readonly crashNews: CrashNews;
    readonly connections: ConnectionPool;
    readonly notices: ServerNotices;
    readonly cold: ColdDirectory;
    readonly permits: ServerPermits;
    readonly clock: WaitingClock;
}

/**
 * Creates the runner of a node.
 *
 * @param options - What the runner uses and what it depends on.
 * @returns The runner.
 */
export function createRequestRunner(options: RunnerConnections): RequestRunner {
    const control = new OverloadControl(options.clock);
    const selection = new ServerSelection(options);
    return new RequestRunner({
        ...options,
        control,
        admissions: createAdmissionQueue(options, control, selection),
        resumption: new StreamResumption(options.origins, options.restarts),
        guard: new RequestGuard(options),
        selection,
    });
}

function createAdmissionQueue(
    options: RunnerConnections,
    control: OverloadControl,
    selection: ServerSelection,
): AdmissionQueue {
    const estimator = new StartEstimator({ ...options, selection });
    const isEnabled = options.settings.overloadControl === "auto";
    return new AdmissionQueue({
        ...options,
        control,
        isControlled: (service) => isEnabled && options.dispatches.ensureService(service).placement.hasPace(),
        estimateStart: (state) => estimator.estimateStart(state),
        readLoad: (state) => estimator.readLoad(state),
    });
}
