/**
 * Histories in which tasks move between full cells while schedulers and the store fail.
 */
import { createRandom } from "../../../src/core/random.js";
import type { Random } from "../../../src/core/random.js";
import { applyModel, createModel, endFaults, failOnViolation } from "./commands.js";
import type { Model } from "./commands.js";
import { createWorld } from "./world.js";
import type { ModelScheduler, World } from "./world.js";

/** More than the slots of all workers, so that the smallest cell is full long before the others. */
const TASKS = 40;
const TASK_SECONDS = 3;
const FAULTS = 8;
const LONGEST_PAUSE_MILLISECONDS = 1_200;
const CHECKS = 40;
const CHECK_MILLISECONDS = 3_000;
const TRANSFERS = "scheduler/transfers/";

/** What the histories have seen. */
export interface OverflowOutcome {
    readonly finished: number;
    /** Tasks that another cell has taken. */
    readonly moved: number;
}

/** Plays histories one after another; throws where an invariant breaks, or a task or a transfer is left over. */
export async function checkOverflow(seed: number, runs: number): Promise<OverflowOutcome> {
    let finished = 0;
    let moved = 0;
    for (let run = 0; run < runs; run += 1) {
        const world = createWorld(seed + run);
        try {
            moved += await play(world, createRandom(seed + run));
            finished += world.invariants.finished.size;
        }
        finally {
            await world.close();
        }
    }
    return { finished, moved };
}

async function play(world: World, random: Random): Promise<number> {
    const moved = new Set<string>();
    const model: Model = { ...createModel(), replicas: 0, batches: new Map() };
    model.batches.set("prep-1", { tasks: TASKS, seconds: TASK_SECONDS });
    applyModel(model, world);
    await advance(world, 2_000, moved);
    for (let fault = 0; fault < FAULTS; fault += 1) {
        applyFault(world, random);
        await advance(world, Math.ceil(random() * LONGEST_PAUSE_MILLISECONDS), moved);
    }
    await endFaults(world);
    world.recordStep("all faults have ended");
    for (let check = 0; check < CHECKS; check += 1) {
        await advance(world, CHECK_MILLISECONDS, moved);
        if (world.invariants.finished.size === TASKS && listTransfers(world).length === 0) {
            return moved.size;
        }
    }
    const remaining = listTransfers(world).map(({ taskId }) => taskId).join(", ");
    throw new Error([
        `${world.invariants.finished.size} of ${TASKS} tasks finished; transfers left: ${remaining}`,
        ...world.history,
    ].join("\n"));
}

/** Lets time pass in short steps and notes which tasks have been taken by another cell. */
async function advance(world: World, milliseconds: number, moved: Set<string>): Promise<void> {
    const step = 100;
    for (let passed = 0; passed < milliseconds; passed += step) {
        await world.time.advance(step);
        for (const { taskId, from, to } of listTransfers(world)) {
            if (to !== undefined && to !== from) {
                moved.add(taskId);
            }
        }
        failOnViolation(world);
    }
}

function applyFault(world: World, random: Random): void {
    const scheduler = world.schedulers[Math.floor(random() * world.schedulers.length)];
    const faults: [string, (target: ModelScheduler) => void][] = [
        ["crash and start", target => {
            world.crash(target);
            world.start(target);
        }],
        ["pause", target => {
            if (target.state === "running") {
                target.gate.pause();
                target.state = "paused";
            }
        }],
        ["resume", target => {
            if (target.state === "paused") {
                target.gate.resume();
                target.state = "running";
            }
        }],
        ["lose answers", () => world.store.loseAnswers(1 + Math.floor(3 * random()))],
        ["delay writes", () => world.store.delayWrites(1 + Math.floor(2 * random()))],
        ["store down", () => world.store.setDown(true)],
        ["store up", () => world.store.setDown(false)],
    ];
    const [name, act] = faults[Math.floor(random() * faults.length)] ?? ["nothing", () => undefined];
    if (scheduler !== undefined) {
        world.recordStep(`${name} ${scheduler.instance}`);
        act(scheduler);
    }
}

interface StoredTransfer {
    readonly taskId: string;
    readonly from: string;
    readonly to?: string;
}

function listTransfers(world: World): StoredTransfer[] {
    return world.store.entries()
        .filter(({ key }) => key.startsWith(TRANSFERS))
        .map(({ value }) => JSON.parse(value) as StoredTransfer);
}
