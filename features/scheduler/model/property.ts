/**
 * The stateful property: whatever befalls, no invariant breaks, and once all faults have ended every job runs or has run.
 */
import fc from "fast-check";
import { applyModel, commands, createModel, endFaults, failOnViolation } from "./commands.js";
import type { Model } from "./commands.js";
import { createWorld, HORIZON_MILLISECONDS } from "./world.js";
import type { World } from "./world.js";

/** Longer than a horizon, two leases, and the longest batch task. */
const RECOVERY_MILLISECONDS = HORIZON_MILLISECONDS + 30_000;
/** Batch tasks that run when recovery begins need this much longer at most. */
const SETTLE_CHECKS = 6;

/** What all runs of a property have seen. */
export interface PropertyOutcome {
    readonly runs: number;
    readonly starts: number;
    readonly resumptions: number;
}

/** Runs the property; throws with seed and shrunk commands where it does not hold. */
export async function checkProperty(seed: number, runs: number, path?: string): Promise<PropertyOutcome> {
    let starts = 0;
    let resumptions = 0;
    const property = fc.asyncProperty(commands, fc.integer(), async (sequence, worldSeed) => {
        const world = createWorld(worldSeed);
        try {
            const model = createModel();
            applyModel(model, world);
            await world.time.advance(1_000);
            await fc.asyncModelRun(() => ({ model, real: world }), sequence);
            await recover(model, world);
        }
        finally {
            starts += world.invariants.opportunities.starts;
            resumptions += world.invariants.opportunities.resumptions;
            await world.close();
        }
    });
    await fc.assert(property, { seed, numRuns: runs, endOnFailure: true, ...(path === undefined ? {} : { path }) });
    return { runs, starts, resumptions };
}

async function recover(model: Model, world: World): Promise<void> {
    await endFaults(world);
    applyModel(model, world);
    world.recordStep("all faults have ended");
    for (let check = 0; check < SETTLE_CHECKS; check += 1) {
        await world.time.advance(RECOVERY_MILLISECONDS / SETTLE_CHECKS);
        failOnViolation(world);
        if (listWrongTasks(model, world).length === 0) {
            return;
        }
    }
    const wrongTasks = listWrongTasks(model, world);
    if (wrongTasks.length > 0) {
        throw new Error([...wrongTasks, "after:", ...world.history].join("\n"));
    }
}

/** Lists jobs that neither run nor have run, and what runs without a rule. */
function listWrongTasks(model: Model, world: World): string[] {
    const running = world.invariants.running();
    const replicas = [...running.values()].filter(rule => rule === "desk").length;
    const wrong = replicas === model.replicas ? [] : [`desk runs ${replicas} replicas of ${model.replicas}`];
    for (const [name, { tasks }] of model.batches) {
        for (let index = 0; index < tasks; index += 1) {
            const taskId = `${name}@once/${index}`;
            if (!running.has(taskId) && !world.invariants.finished.has(taskId) && !model.cancelled.has(taskId)) {
                wrong.push(`${taskId} is forgotten`);
            }
        }
    }
    for (const [taskId, rule] of running) {
        if (rule !== "desk" && !model.batches.has(rule)) {
            wrong.push(`${taskId} runs without a rule`);
        }
    }
    return wrong;
}
