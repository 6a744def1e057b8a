export { ConnectionLedger, type ConnectionAccount, type HeldKind } from "./connectionLedger.js";
export { computeConnectionLimits, type ConnectionLimits } from "./connectionLimits.js";
export { ConnectionPlaces, type ConnectionStage, type PlacedConnection } from "./connectionPlaces.js";
export { ReadTurns, type TurnReader } from "./readTurns.js";
