/**
 * What may befall the model's world, as commands of a stateful property.
 */
import fc from "fast-check";
import type { Rule } from "../../../src/rules/rule.js";
import { createBatch, createService } from "../support/rules.js";
import type { ModelWorker } from "./worker.js";
import type { ModelScheduler, World } from "./world.js";

const RESTART_MILLISECONDS = 1_500;

/** What the model itself keeps: the rules as last applied. */
export interface Model {
    replicas: number;
    /** Tasks and seconds of each batch rule, by name. */
    batches: Map<string, BatchPlan>;
    batchesEver: number;
    readonly cancelled: Set<string>;
}

interface BatchPlan {
    readonly tasks: number;
    readonly seconds: number;
}

type WorldCommand = fc.AsyncCommand<Model, World>;

/** Creates the model that each run begins with: something runs from the start. */
export function createModel(): Model {
    return {
        replicas: 2,
        batches: new Map([["prep-1", { tasks: 4, seconds: 10 }]]),
        batchesEver: 1,
        cancelled: new Set(),
    };
}

/** Applies the model's rules to the world. */
export function applyModel(model: Model, world: World): void {
    const rules: Rule[] = [...model.batches].map(([name, { tasks, seconds }]) =>
        createBatch(name, { tasks, expectedSeconds: seconds, retries: 3 })
    );
    if (model.replicas > 0) {
        rules.push(createService("desk", { replicas: model.replicas }));
    }
    world.configuration.apply(rules);
}

function command(
    name: string,
    act: (world: World, model: Model) => void | Promise<void>,
    check: (model: Readonly<Model>) => boolean = () => true,
): WorldCommand {
    return {
        check,
        async run(model, world) {
            world.recordStep(name);
            await act(world, model);
            failOnViolation(world);
        },
        toString: () => name,
    };
}

/** Throws with the history where an invariant does not hold. */
export function failOnViolation(world: World): void {
    if (world.invariants.violations.length > 0) {
        throw new Error([...world.invariants.violations, "after:", ...world.history].join("\n"));
    }
}

function pick<Value>(values: readonly Value[], index: number): Value | undefined {
    return values.length === 0 ? undefined : values[index % values.length];
}

function onScheduler(name: string, act: (world: World, scheduler: ModelScheduler) => void) {
    return fc.nat(2).map(index =>
        command(`${name} ${index}`, world => {
            const scheduler = pick(world.schedulers, index);
            if (scheduler !== undefined) {
                act(world, scheduler);
            }
        })
    );
}

function onWorker(name: string, act: (world: World, worker: ModelWorker) => void) {
    return fc.nat(4).map(index =>
        command(`${name} ${index}`, world => {
            const worker = pick(world.listWorkers(), index);
            if (worker !== undefined) {
                act(world, worker);
            }
        })
    );
}

const edits = [
    fc.integer({ min: 0, max: 5 }).map(replicas =>
        command(`replicas ${replicas}`, (world, model) => {
            model.replicas = replicas;
            applyModel(model, world);
        })
    ),
    fc.tuple(fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1, max: 12 })).map(([tasks, seconds]) =>
        command(`batch of ${tasks} for ${seconds} s`, (world, model) => {
            model.batchesEver += 1;
            model.batches.set(`prep-${model.batchesEver}`, { tasks, seconds });
            applyModel(model, world);
        })
    ),
    fc.nat(3).map(index =>
        command(`remove batch ${index}`, (world, model) => {
            const name = pick([...model.batches.keys()], index);
            if (name !== undefined) {
                model.batches.delete(name);
                applyModel(model, world);
            }
        })
    ),
    fc.nat(9).map(index =>
        command(`cancel ${index}`, async (world, model) => {
            const taskId = pick([...world.invariants.running().keys()].filter(id => id.includes("@")), index);
            if (taskId === undefined) {
                return;
            }
            model.cancelled.add(taskId);
            for (const { scheduler, state } of world.schedulers) {
                const handler = scheduler.handlers.find(({ name }) => name === "tasks.cancel");
                if (state === "running" && handler !== undefined) {
                    void handler.handle({ taskId, by: "Aino" }).catch(() => undefined);
                }
            }
        })
    ),
];

const schedulerFaults = [
    onScheduler("crash scheduler", (world, scheduler) => world.crash(scheduler)),
    onScheduler("start scheduler", (world, scheduler) => {
        if (scheduler.state === "dead") {
            world.start(scheduler);
        }
    }),
    onScheduler("crash and start scheduler", (world, scheduler) => {
        world.crash(scheduler);
        world.start(scheduler);
    }),
    onScheduler("pause scheduler", (world, scheduler) => {
        if (scheduler.state === "running") {
            scheduler.gate.pause();
            scheduler.state = "paused";
        }
    }),
    onScheduler("resume scheduler", (world, scheduler) => resume(scheduler)),
    onScheduler("hand over scheduler", (world, scheduler) => {
        if (scheduler.state === "running") {
            // A hand-over is the last thing that a process does.
            const { gate } = scheduler;
            void scheduler.scheduler.handOver(1_000).then(() => {
                if (scheduler.gate === gate) {
                    world.crash(scheduler);
                }
            });
        }
    }),
];

const storeFaults = [
    fc.constant(command("store down", world => world.store.setDown(true))),
    fc.constant(command("store up", world => world.store.setDown(false))),
    fc.integer({ min: 1, max: 4 }).map(count =>
        command(`lose ${count} store answers`, world => world.store.loseAnswers(count))
    ),
    fc.integer({ min: 1, max: 3 }).map(count =>
        command(`delay ${count} writes`, world => world.store.delayWrites(count))
    ),
];

const watchFaults = [true, false].map(areSilent =>
    fc.constant(command(`watches ${areSilent ? "silent" : "well"}`, world => world.store.silenceWatches(areSilent)))
);

const workerFaults = [
    onWorker("silence worker", (world, worker) => {
        worker.state = "silent";
    }),
    onWorker("pause worker", (world, worker) => {
        worker.state = "paused";
    }),
    onWorker("wake worker", (world, worker) => worker.wake()),
    onWorker("restart worker", (world, worker) => worker.restart()),
    onWorker("lose answers of worker", (world, worker) => {
        worker.answersToLose += 2;
    }),
    onWorker("replace worker", (world, worker) => {
        if (world.listWorkers().length > 3) {
            worker.die();
            world.removeWorker(worker.instance.name);
            world.addWorker(worker.instance.dataCentre, worker.instance.rack);
        }
    }),
    onWorker("worker leaves", (world, worker) => world.changeWorker(worker.instance.name, "leaving")),
    onWorker("worker stays", (world, worker) => world.changeWorker(worker.instance.name, "live")),
    fc.integer({ min: 0, max: 2 }).map(rack =>
        command(`new worker in rack ${rack}`, world => world.addWorker("levi", rack))
    ),
];

const time = fc.integer({ min: 1, max: 60 }).map(quarters =>
    command(`${quarters * 50} ms pass`, world => world.time.advance(quarters * 50))
);

/** Arbitrary sequences of commands; time passes after about every second one. */
export const commands = fc.commands(
    [
        ...edits,
        ...schedulerFaults,
        ...storeFaults,
        ...watchFaults,
        ...workerFaults,
        time,
        time,
        time,
        time,
        time,
        time,
        time,
        time,
    ],
    { size: "+1", maxCommands: 60 },
);

function resume(scheduler: ModelScheduler): void {
    if (scheduler.state === "paused") {
        scheduler.gate.resume();
        scheduler.state = "running";
    }
}

/** Ends all faults. */
export async function endFaults(world: World): Promise<void> {
    world.store.setDown(false);
    world.store.silenceWatches(false);
    world.listWorkers().forEach(worker => {
        worker.wake();
        worker.answersToLose = 0;
        world.changeWorker(worker.instance.name, "live");
    });
    for (const scheduler of world.schedulers) {
        resume(scheduler);
    }
    // Processes that were handing over have ended by now.
    await world.time.advance(RESTART_MILLISECONDS);
    for (const scheduler of world.schedulers) {
        if (scheduler.state === "dead") {
            world.start(scheduler);
        }
    }
}
