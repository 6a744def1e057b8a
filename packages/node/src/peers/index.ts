export type { PeerConfiguration, PeerHandlers, PeerUsageCopy } from "./peerHandlers.js";
export { defaultPeerNetworkSettings, PeerNetwork } from "./peerNetwork.js";
export type { PeerNetworkOptions, PeerNetworkSettings, PeerTraffic } from "./peerNetwork.js";
export { PeerCalls } from "./peerCalls.js";
export type { PeerCallsOptions, PeerWithdrawals } from "./peerCalls.js";
