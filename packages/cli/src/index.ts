export { runDaemonProgram } from "./commands/daemonProgram.js";
export type { DaemonInput } from "./commands/daemonProgram.js";
export { runOperatorProgram } from "./commands/operatorProgram.js";
export type { ProgramInput } from "./commands/operatorProgram.js";
export { runDaemonProcess, runOperatorProcess } from "./commands/processSurroundings.js";
export { CommandError, ExitCode } from "./output/exitCodes.js";
