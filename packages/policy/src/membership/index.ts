export { isNewerStatement, MembershipState } from "./member.js";
export type { MemberIdentity, MemberStatement } from "./member.js";
export { defaultMemberTableSettings, MemberTable } from "./memberTable.js";
export type { DiscoveredHost, MemberTableOptions, MemberTableSettings } from "./memberTable.js";
export { RecordTable } from "./recordTable.js";
export type { NodeRecord, RecordTableOptions } from "./recordTable.js";
export { computeTransmissionLimit, RumorQueue } from "./rumorQueue.js";
