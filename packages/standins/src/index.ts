export { faultPlanSchema, faultSchema } from "./faults/faultSchema.js";
export type { Fault, FaultInput, FaultKind, FaultPlanInput } from "./faults/faultSchema.js";
export { FaultSwitches } from "./faults/faultSwitches.js";
export type { FaultTarget } from "./faults/faultSwitches.js";
export type { CallCounts } from "./faults/callCounter.js";
export { SeededRandom } from "./faults/seededRandom.js";
export type { ListenOptions, RunningStandIn } from "./program/standInServer.js";
export { startPlatform } from "./platform/platformStandIn.js";
export type { PlatformRecord, RunningPlatform } from "./platform/platformStandIn.js";
export type { PlatformOptions } from "./platform/platformOptions.js";
export type { ReceivedOrder } from "./platform/orderLog.js";
export type { ReceivedUsageReport } from "./platform/usageReportLog.js";
export { runPlatformProgram } from "./platform/platformProgram.js";
export { runEngineProgram, startEngine } from "./engine/engineStandIn.js";
export type { RunningEngine } from "./engine/engineStandIn.js";
export type { EngineOptions } from "./engine/engineOptions.js";
export type { EngineOrder, EngineOrderResult } from "./engine/engineOrders.js";
export type { EngineLoad } from "./engine/engine.js";
export { computePrefixBlocks } from "./engine/prefixCache.js";
export { renderPrompt } from "./engine/completionRequest.js";
export { countTokens, TokenGenerator } from "./engine/tokenGenerator.js";
export type { RecordedRequest } from "./program/requestRecorder.js";
export { runPlainServiceProgram, startPlainService } from "./plainService/plainServiceStandIn.js";
export type { RunningPlainService } from "./plainService/plainServiceStandIn.js";
export type { PlainServiceOptions } from "./plainService/plainServiceOptions.js";
export type { ExecutionCounts } from "./plainService/executionCounts.js";
export { launchFile, launchProgram } from "./launcher/launchProgram.js";
export type { LaunchedProgram, LaunchOptions, ProgramExit, StandInName } from "./launcher/launchProgram.js";
export { measureEngine, runMeasureEngine } from "./measure/measureEngine.js";
export { RowStore } from "./usersPlatform/rowStore.js";
export { UsersPlatformStandIn } from "./usersPlatform/usersPlatformStandIn.js";
export type {
    StoreMode,
    StoreRecovery,
    UsersPlatformOptions,
    WriteFault,
} from "./usersPlatform/usersPlatformStandIn.js";
export type { DutyFault, DutyPath } from "./usersPlatform/dutyEndpoint.js";
export type { DutyCall, DutyViolation, ReceivedDutyCall } from "./usersPlatform/dutyJudge.js";
export { endlessPlaces, type EndlessPlace } from "./usersPlatform/endlessAnswer.js";
export { UsersServerStandIn } from "./usersPlatform/usersServerStandIn.js";
export type { ReceivedRequest, ServerBehaviour } from "./usersPlatform/usersServerStandIn.js";
export { buildServerEntry, buildUsersConfiguration } from "./usersPlatform/usersConfiguration.js";
export {
    usersCustomerKey,
    usersRouteHost,
    usersStreamEventCount,
} from "./usersPlatform/usersConfiguration.js";
export { sendUsersCall, usersPrompt } from "./usersPlatform/usersCaller.js";
export { ServerLinks, type LinkState } from "./usersPlatform/serverLinks.js";
export type { ReceivedAnswer, UsersCallOptions } from "./usersPlatform/usersCaller.js";
export { findFreePort } from "./usersPlatform/freePort.js";
export { UsersDeployment } from "./usersPlatform/usersDeployment.js";
export type { UsersDeploymentOptions, UsersNode } from "./usersPlatform/usersDeployment.js";
export { runCrowdProgram } from "./crowd/crowdProgram.js";
export type { CrowdKindName } from "./crowd/crowdKinds.js";
