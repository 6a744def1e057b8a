export { runBenchCommand } from "./bench/benchCommand.js";
export { runSlopes } from "./slopes/runSlopes.js";
export { runExperimentCommand } from "./experiments/experimentCommand.js";
export { listExperiments, runExperiment } from "./experiments/runExperiment.js";
export type { ExperimentOptions } from "./experiments/runExperiment.js";
export { formatReport } from "./report/formatReport.js";
export type { Report } from "./report/formatReport.js";
export { computeMaxMinShares } from "./report/measures.js";
export type { ClassMeasures, RunMeasures } from "./report/measures.js";
