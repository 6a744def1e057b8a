export type {
    AdmissionDecision,
    AdmissionRequest,
    ServiceLoad,
    StartReason,
    WaitReason,
} from "./admissionRequest.js";
export { OverloadControl } from "./overloadControl.js";
export { computeReturnAfterMs } from "./returnTime.js";
