/**
 * Steps for tasks that wait beside many suspects of crashes, in simulated time.
 */
import { Given } from "@cucumber/cucumber";
import { createAttempt, recordCrash } from "../../src/jobs/job-table/attempts.js";
import { NOW, tasksOfStep } from "./builders.js";
import type { Play } from "./look-ahead-play.js";

interface SuspectsWorld {
    play: Play;
    /** Lets time pass while short tasks arrive. */
    advance(milliseconds: number): void;
}

const PATIENCE_MILLISECONDS = 2_000;

Given(
    "{int} tasks of {int} cores under which workers have crashed have waited for 2 seconds",
    function(this: SuspectsWorld, count: number, cores: number) {
        for (let index = 0; index < count; index++) {
            const id = `eeeeeeeeeeee${index.toString(16).padStart(4, "0")}`;
            this.play.submit({ id, fields: { cores }, runMilliseconds: PATIENCE_MILLISECONDS });
            for (const task of tasksOfStep(this.play.jobTable, id)) {
                recordCrash(this.play.jobTable, createAttempt(task, "worker-0", 1, NOW), NOW);
            }
        }
        this.advance(PATIENCE_MILLISECONDS);
    },
);
