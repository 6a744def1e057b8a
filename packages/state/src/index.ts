export type {
    Claim,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimStore,
    StoredAnswer,
} from "./claims/claimStore.js";
export { defaultClaimRetentionMs, removeExpiredClaims } from "./claims/claimExpiry.js";
export type { ClaimExpiryOptions, ClaimExpiryResult } from "./claims/claimExpiry.js";
export { TableClaimStore, defaultClaimStoreSettings } from "./claims/tableClaimStore.js";
export type { ClaimStoreSettings, TableClaimStoreOptions } from "./claims/tableClaimStore.js";
export type { AppliedConfiguration, ConfigurationSource } from "./configuration/configurationSource.js";
export type { KeyLookup, KeyRegistry } from "./keys/keyRegistry.js";
export type { UsageAmount, UsageRecorder } from "./usage/usageRecorder.js";
export { LeaseManager } from "./leases/leaseManager.js";
export type { LeaseManagerOptions } from "./leases/leaseManager.js";
export type { LeaseHandle } from "./leases/heldLease.js";
export { buildSnapshot, computeContentDigest } from "./configuration/configurationSnapshot.js";
export type { ConfigurationSnapshot } from "./configuration/configurationSnapshot.js";
export type {
    ApplyRequest,
    ApplyResult,
    ConfigurationStore,
    FileChange,
    FileConflict,
} from "./configuration/configurationStore.js";
export { TableConfigurationStore } from "./configuration/tableConfigurationStore.js";
export type { TableConfigurationStoreOptions } from "./configuration/tableConfigurationStore.js";
export { OrderSender } from "./orders/orderSender.js";
export type { OrderSenderOptions, SendResult } from "./orders/orderSender.js";
export type { OrderIntent, DesiredServers } from "./orders/orderRecord.js";
export { ConfigurationFollower } from "./configuration/configurationFollower.js";
export type { ConfigurationPeers } from "./configuration/configurationPeers.js";
export { NoPeers } from "./configuration/noPeers.js";
export { CallRetrier, defaultRetryDelays, defaultCallTimeoutMs } from "./configuration/callRetrier.js";
export { StoreFollower } from "./configuration/storeFollower.js";
export type { NotReadyReason, StoreFollowerOptions } from "./configuration/storeFollower.js";
export { ConfiguredKeyRegistry } from "./keys/configuredKeyRegistry.js";
export { keyWithdrawalSchema } from "./keys/withdrawal.js";
export type { KeyWithdrawal } from "./keys/withdrawal.js";
export { WithdrawalFollower } from "./keys/withdrawalFollower.js";
export type { WithdrawResult } from "./keys/withdrawalFollower.js";
export type { WithdrawalPeers } from "./keys/withdrawalPeers.js";
export { WithdrawalStore } from "./keys/withdrawalStore.js";
export { UsageCollector } from "./usage/usageCollector.js";
export type { ForwardedUsage, UsageCollectorOptions } from "./usage/usageCollector.js";
export { UsageCopyStore } from "./usage/usageCopyStore.js";
export type { UsageCopyStoreOptions } from "./usage/usageCopyStore.js";
export type { UsageCopy, UsageCopySink } from "./usage/usageCopySink.js";
export { UsageLedger } from "./usage/usageLedger.js";
export type { UnstoredUsage, UsageLedgerOptions } from "./usage/usageLedger.js";
export { UsageReporter } from "./usage/usageReporter.js";
export type { UsageReporterOptions } from "./usage/usageReporter.js";
export { UsageRowWriter } from "./usage/usageRowWriter.js";
export type { UsageRowWriterOptions } from "./usage/usageRowWriter.js";
export { BoundedTableService } from "./retrying/boundedTableService.js";
export { runEvery } from "./retrying/runEvery.js";
export type { RepeatedStepOptions } from "./retrying/runEvery.js";
export { EraObservation } from "./usage/eraObservation.js";
export type { ObservedEra } from "./usage/eraObservation.js";
