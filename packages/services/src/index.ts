export { PlatformError, PlatformErrorKind } from "./platformError.js";
export type { HostList, ListedHost } from "./hosts/hostList.js";
export type { ObjectStore } from "./objects/objectStore.js";
export type { OrderingService, OrderResult, ServerOrder } from "./ordering/orderingService.js";
export type {
    CommitResult,
    JsonValue,
    Row,
    RowCondition,
    RowWrite,
    ScanOptions,
    TableService,
    Transaction,
} from "./table/tableService.js";
export type { CustomerUsage, UsageReport, UsageReportService } from "./usageReports/usageReportService.js";
export type { WeightEntry, WeightStore } from "./weights/weightStore.js";
export { noEras } from "./table/eraSource.js";
export type { EraSource } from "./table/eraSource.js";
export { noStoreClock } from "./table/storeClock.js";
export type { StoreClock } from "./table/storeClock.js";
export { buildVersion, maximumEra, readCounter, readEra } from "./table/storeVersion.js";
export { parseBoundedJson } from "./table/boundedJson.js";
export { maximumTransactionEntries } from "./table/tableService.js";
export type { RowChange, RowFeed } from "./table/rowFeed.js";
export { MemoryTableService } from "./memory/memoryTableService.js";
export type { CallFault, FaultPlan, TableCallCounts, TableCopy } from "./memory/memoryTableService.js";
export { HttpHostList } from "./http/httpHostList.js";
export { HttpObjectStore } from "./http/httpObjectStore.js";
export { HttpOrderingService } from "./http/httpOrderingService.js";
export { HttpTableService } from "./http/httpTableService.js";
export { HttpUsageReportService } from "./http/httpUsageReportService.js";
export { HttpWeightStore } from "./http/httpWeightStore.js";
export { PlatformHttpClient } from "./http/platformHttpClient.js";
export type { PlatformCall, PlatformHttpOptions } from "./http/platformHttpClient.js";
export * from "./http/wireSchemas.js";
