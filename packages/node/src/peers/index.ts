export type { PeerConfiguration, PeerHandlers, PeerUsageCopy } from "./peerHandlers.js";
export { defaultPeerNetworkSettings, PeerNetwork } from "./peerNetwork.js";
export type { PeerNetworkOptions, PeerNetworkSettings, PeerTraffic, PeerWithdrawals } from "./peerNetwork.js";
