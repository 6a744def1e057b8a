import { describe, expect, it } from "vitest";
import { PauseModel } from "../pauseModel.js";

describe("PauseModel", () => {
    it("predicts the whole backlog until it has seen pauses that chunks limited", () => {
        const model = new PauseModel();
        Array.from({ length: 50 }, () => model.recordPause(100, 20));
        expect(model.predictPauseMs(3_000)).toBe(3_000);
    });

    it("overload: a backlog of seconds delays no event for longer than the pauses seen under such backlogs", () => {
        const model = new PauseModel();
        [680, 690, 640, 700, 690, 695].forEach((pauseMs) => model.recordPause(pauseMs, 2_500));
        expect(model.predictPauseMs(3_000)).toBeGreaterThan(640);
        expect(model.predictPauseMs(3_000)).toBeLessThanOrEqual(700);
        expect(model.predictPauseMs(200)).toBe(200);
    });

    it("follows longer pauses faster than shorter ones", () => {
        const model = new PauseModel();
        [400, 400, 400].forEach((pauseMs) => model.recordPause(pauseMs, 1_000));
        model.recordPause(800, 1_000);
        const raisedMs = model.predictPauseMs(5_000) - 400;
        model.recordPause(100, 1_000);
        expect(raisedMs).toBeGreaterThan(100);
        expect(400 + raisedMs - model.predictPauseMs(5_000)).toBeLessThan(raisedMs / 2);
    });
});
