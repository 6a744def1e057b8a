export { BackendConnection, ConnectionClosedError } from "./backendConnection.js";
export type { BackendConnectionOptions, ConnectionObserver, SocketOpener } from "./backendConnection.js";
export { ConnectionPool } from "./connectionPool.js";
export type { ConnectionPoolOptions } from "./connectionPool.js";
export { isFramedAnswer } from "./isFramedAnswer.js";
export { isMalformedAnswer, UnboundedAnswerError } from "./unboundedAnswer.js";
