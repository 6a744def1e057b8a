export type {
    AdmissionDecision,
    AdmissionRequest,
    FinalDecision,
    RefusalReason,
    ServiceLoad,
    StartReason,
    WaitReason,
} from "./admissionRequest.js";
export { OverloadControl } from "./overloadControl.js";
export { computeReturnAfterMs } from "./returnTime.js";
