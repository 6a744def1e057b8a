export { computePreferenceRank } from "./leases/dutyPlacement.js";
export { computeRendezvousWeight } from "./hashing/rendezvousWeight.js";
export {
    computeFirstSendMs,
    computeTakeoverMs,
    computeValidUntilMs,
    defaultLeaseTiming,
    isTakeoverDue,
    updateObservation,
} from "./leases/leaseTiming.js";
export type { LeaseTiming, ObservedLease, ReceiverTraits } from "./leases/leaseTiming.js";
export { compareServers, selectPoolConfiguration } from "./scheduling/poolScheduler.js";
export type {
    AttemptOutcome,
    CacheEvent,
    CancelReason,
    Decision,
    LeavingNotice,
    LoadReport,
    OfferResult,
    PoolConfiguration,
    PoolScheduler,
    PoolStatus,
    PoolSummary,
    QueuedRequest,
    ServerStatus,
} from "./scheduling/poolScheduler.js";
export * from "./membership/index.js";
export { FifoScheduler } from "./scheduling/fifoScheduler.js";
export type { SchedulerOptions } from "./scheduling/schedulerOptions.js";
export { createRandom } from "./random/random.js";
export { ServerPlanner, defaultPlannerSettings } from "./orders/serverPlanner.js";
export type { PlannedServers, PlannerInput, PlannerSettings, ServerOption } from "./orders/serverPlanner.js";
export { TieredScheduler } from "./scheduling/tieredScheduler.js";
export { QueueOrder } from "./scheduling/queueOrder.js";
export type { ChosenEntry } from "./scheduling/queueOrder.js";
export { LocalSlots } from "./capacity/localSlots.js";
export { LentSlots } from "./capacity/lentSlots.js";
export type { LentSlotsOptions } from "./capacity/lentSlots.js";
export type { ServerSlots, SlotPolicy, SlotsByNode, SlotSummary } from "./capacity/slotPolicy.js";
export { buildFailure, chooseRetryAction, maximumAttempts } from "./retries/retryTable.js";
export type { FailedAttempt, FailedOutcome, RetryAction } from "./retries/retryTable.js";
export { RetryBudget } from "./retries/retryBudget.js";
export {
    addUsage,
    computeRemainder,
    computeUnreportedStartMs,
    computeWindowStartMs,
    isEmptyUsage,
    mergeUsage,
} from "./usageSealing/usageWindows.js";
export type { UsageByCustomer, UsageCounters } from "./usageSealing/usageWindows.js";
export { computeLatestTimeMs, computeSealingTimeMs, updateWindowClock } from "./usageSealing/windowClock.js";
export type { ClockReading, WindowClock } from "./usageSealing/windowClock.js";
export { Limiter } from "./limits/limiter.js";
export type { LimitSummary } from "./limits/limiter.js";
export type { LimitRefusal, SubjectUsage } from "./limits/subjectLimits.js";
export type { InFlightRequest } from "./placement/inFlightRequests.js";
export { mergeParts } from "./placement/mergeParts.js";
export { PartMemory } from "./placement/partMemory.js";
export { PrefixCacheModel } from "./placement/prefixCacheModel.js";
export type { PromptPart } from "./placement/prefixCacheModel.js";
export { computeSlackPart, RetryAllowance } from "./placement/retryAllowance.js";
export type { RetryAllowanceSettings } from "./placement/retryAllowance.js";
export { defaultPlacementSettings } from "./placement/placementSettings.js";
export type { PlacementSettings } from "./placement/placementSettings.js";
export { ServerPlacement } from "./placement/serverPlacement.js";
export type { Placement } from "./placement/serverPlacement.js";
export type { PlacementNews } from "./placement/serverChoice.js";
export type { FreeRoom } from "./placement/serverRoom.js";
export type { ServerCostInputs } from "./placement/serverCostInputs.js";
export type { StartEstimate } from "./placement/startEstimate.js";
export type { PlacementRequest } from "./placement/serverCost.js";
export type { PlacementOutcome, PlacementServer } from "./placement/serverEstimate.js";
export { HashRing } from "./hashing/hashRing.js";
export { ServerRestarts } from "./streams/serverRestarts.js";
export { StreamOrigins } from "./streams/streamOrigins.js";
export type { StreamOrigin } from "./streams/streamOrigins.js";
export { StreamSpans } from "./streams/streamSpans.js";
export { VersionHistory } from "./streams/versionHistory.js";
export { RequestQuarantine } from "./quarantine/requestQuarantine.js";
export type { QuarantineDecision, RequestTraits, ServerLoss } from "./quarantine/requestQuarantine.js";
export { isRequestCause } from "./quarantine/crashRecord.js";
export type { CrashReport } from "./quarantine/crashRecord.js";
export * from "./coldServers/index.js";
export * from "./serverLimits/index.js";
export { RelayChoice } from "./reachability/relayChoice.js";
export type { RelayChoiceOptions } from "./reachability/relayChoice.js";
export { RelaySearch } from "./reachability/relaySearch.js";
export type { RelayCandidate, RelayObstacle } from "./reachability/relaySearch.js";
export { ServerReach } from "./reachability/serverReach.js";
export type { ServerLocation } from "./reachability/serverReach.js";
export { BrittleServices } from "./brittleness/brittleServices.js";
export { PlaceKeeper } from "./brittleness/placeKeeper.js";
export { PlaceQueue, type PlaceQueueOptions } from "./brittleness/placeQueue.js";
export * from "./overload/index.js";
export * from "./connections/index.js";
