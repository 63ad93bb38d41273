/**
 * Tasks that move from a full cell to another: time until they run, and store writes for each.
 *
 * Two cells, schedulers and stand-ins in one process. The same tasks run once with the first cell too small and once
 * with room everywhere; the difference in writes is what moving costs. Intervals are the short ones of the features.
 */
import { createFleet, waitUntil } from "../../features/scheduler/support/fleet.js";
import type { Fleet } from "../../features/scheduler/support/fleet.js";
import { createBatch } from "../../features/scheduler/support/rules.js";
import { checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const TASKS = 64;
const SMALL_WORKERS = 1;
const LARGE_WORKERS = 9;
const OVERFLOW_MILLISECONDS = 2_000;
/** As many writes as a reservation takes: reserve, confirm, note the end. */
const LARGEST_WRITES_PER_MOVE = 3;
const RULE = "season-prep";

/** What one run came to. */
interface Run {
    readonly writes: number;
    readonly startedAfterMilliseconds: readonly number[];
    readonly started: number;
    readonly tasks: number;
}

export const experiment: Experiment = {
    name: "overflow",
    summary: "time until tasks of a full cell run in another one, and store writes for each that moves",
    options: {},
    async run(context) {
        const roomy = await measure(LARGE_WORKERS, context);
        const tight = await measure(SMALL_WORKERS, context);
        const moved = tight.startedAfterMilliseconds.filter(time => time >= OVERFLOW_MILLISECONDS);
        const sorted = moved.sort((left, right) => left - right);
        context.progress(
            `${moved.length} tasks moved; after ${OVERFLOW_MILLISECONDS} ms they ran within `
                + `${Math.round((sorted[Math.floor(sorted.length / 2)] ?? 0) - OVERFLOW_MILLISECONDS)} ms (median), `
                + `${Math.round((sorted.at(-1) ?? 0) - OVERFLOW_MILLISECONDS)} ms (longest)`,
        );
        const perMove = (tight.writes - roomy.writes) / Math.max(1, moved.length);
        return toChecks(tight, moved.length, perMove);
    },
};

function toChecks(tight: Run, moved: number, perMove: number): Check[] {
    return [
        checkAtMost(`writes-per-move-of-${moved}`, perMove, "writes", LARGEST_WRITES_PER_MOVE),
        checkAtMost(`lost-of-${TASKS}`, TASKS - tight.tasks, "tasks", 0),
        checkAtMost(`doubled-of-${TASKS}`, tight.started - tight.tasks, "starts", 0),
    ];
}

async function measure(workersAtFirst: number, context: ExperimentContext): Promise<Run> {
    const fleet = await createFleet({ levi: workersAtFirst, rovaniemi: LARGE_WORKERS });
    try {
        const settings = { overflowAfterMilliseconds: OVERFLOW_MILLISECONDS, workerLeaseMilliseconds: 3_000 };
        const schedulers = [
            fleet.startScheduler("entry-1", "levi", settings),
            fleet.startScheduler("entry-2", "rovaniemi", settings),
        ];
        await waitUntil(
            "cells are owned",
            () => schedulers.every(({ scheduler }) => scheduler.ownedCells().length === 1),
        );
        const before = fleet.store.counts().writes;
        const appliedAt = Date.now();
        const resources = { cores: 4, memoryBytes: 1_000_000_000, accelerators: 0 };
        fleet.configuration.apply([createBatch(RULE, { tasks: TASKS, resources, expectedSeconds: 3_600 })]);
        await waitUntil("all tasks run", () => listStarts(fleet).length >= TASKS);
        const starts = listStarts(fleet);
        const run = {
            writes: fleet.store.counts().writes - before,
            startedAfterMilliseconds: starts.map(({ at }) => at - appliedAt),
            started: starts.length,
            tasks: new Set(starts.map(({ taskId }) => taskId)).size,
        };
        context.progress(`${workersAtFirst} workers in the first cell: ${run.writes} writes, ${run.started} starts`);
        return run;
    }
    finally {
        await fleet.close();
    }
}

function listStarts(fleet: Fleet): { readonly taskId: string; readonly at: number; }[] {
    return fleet.records.flatMap(record => record.event === "attempt-started" && record.rule === RULE ? [record] : []);
}
