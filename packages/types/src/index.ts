export { ByteCollector } from "./byteCollector.js";
export { computeTimerMs, ManualClock, SystemClock } from "./clock.js";
export type { Clock, WaitingClock } from "./clock.js";
export { ErrorKind, RouterError, errorAnswers } from "./errorKinds.js";
export type { ErrorAnswer, Executed, RouterErrorOptions } from "./errorKinds.js";
