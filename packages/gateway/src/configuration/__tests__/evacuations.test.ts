import { buildVersion } from "@pimentocleat/services";
import { SilentLogger, TextMetrics } from "@pimentocleat/telemetry";
import { describe, expect, it } from "vitest";
import { Evacuations } from "../evacuations.js";

const build = () =>
    new Evacuations({ isEnabled: true, logger: new SilentLogger(), metrics: new TextMetrics() });
const start = (version: number) => ({ dataCentre: "b", version, isEvacuated: true });

describe("Evacuations", () => {
    // Guards against an evacuation that never ends, because the removal of its row was missed.
    it("end when a complete read no longer has them", () => {
        const evacuations = build();
        evacuations.setEvacuations([start(3)], 4);
        expect([...evacuations.listEvacuated()]).toEqual(["b"]);
        evacuations.setEvacuations([], 6);
        expect(evacuations.isOpen("b")).toBe(true);
        evacuations.mergeStates([start(3)]);
        expect(evacuations.isOpen("b")).toBe(true);
    });

    // Guards against a read that began before a change that a neighbour has relayed since.
    it("are not ended by a read of an older version", () => {
        const evacuations = build();
        evacuations.mergeRelayedStates([start(9)]);
        evacuations.setEvacuations([], 8);
        expect(evacuations.isOpen("b")).toBe(false);
    });

    // Guards against requests to an evacuated data centre after the store lost its row with an older copy.
    it("hold when the store comes back from a copy without them, until their row changes", () => {
        const evacuations = build();
        evacuations.setEvacuations([start(buildVersion(1, 50))], buildVersion(1, 60));
        evacuations.setEvacuations([], buildVersion(2, 40));
        expect(evacuations.isOpen("b")).toBe(false);
        evacuations.mergeStates([{ ...start(buildVersion(2, 41)), isEvacuated: false }]);
        expect(evacuations.isOpen("b")).toBe(true);
    });
});
