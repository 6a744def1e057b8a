export { BackendConnection, ConnectionClosedError, isOwnClose } from "./backendConnection.js";
export type { BackendConnectionOptions, ConnectionObserver } from "./backendConnection.js";
export type { SocketOpener } from "./tcpOpener.js";
export { ConnectionPool } from "./connectionPool.js";
export type { ConnectionPoolOptions } from "./connectionPool.js";
export { isFramedAnswer } from "./isFramedAnswer.js";
export { isMalformedAnswer, UnboundedAnswerError } from "./unboundedAnswer.js";
