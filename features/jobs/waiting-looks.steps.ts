/**
 * Steps for what a look at the workers finds, beside what a pass decides and what an owner writes.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { EventLog } from "../../src/core/event-log.js";
import { createRandom } from "../../src/core/random.js";
import { stepProgressOf } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import { planPass } from "../../src/jobs/policy/pass.js";
import { createKinds } from "../../src/jobs/policy/waiting-kind.js";
import { explainPlacement } from "../../src/jobs/policy/waiting.js";
import type { PlacementExplanation } from "../../src/jobs/policy/waiting.js";
import { addTask, NOW, QUEUE, runTask } from "./builders.js";
import type { describeStep } from "./builders.js";
import { createTakeoverSimulation } from "./takeover-world.js";
import type { TakeoverSimulation } from "./takeover-world.js";
import { occupy } from "./waiting-world.js";
import type { WaitingCell, WaitingLine } from "./waiting-world.js";

interface WaitingLooksWorld {
    jobTable: JobTable;
    waiting: WaitingCell;
    others: Attempt[];
    explanation: PlacementExplanation;
    /** A task that room is kept for. */
    reserving: Task;
    simulation?: TakeoverSimulation;
    ownerEvents: { readonly event: string; readonly fields: WaitingLine; }[];
}

type StepFields = Parameters<typeof describeStep>[0];

const LABEL = "rack-7";
const READY_TASKS = 200;
const LIMIT = { timeout: 60_000 };
const SEED = 17;

After(async function(this: Partial<WaitingLooksWorld>) {
    await this.simulation?.close();
});

function addTasksOfDifferentKinds(world: WaitingLooksWorld): void {
    const random = createRandom(SEED);
    const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)] as Value;
    const describeAny = (): StepFields => ({
        cores: pick([1, 2, 4, 6, 9]),
        limitPerWorker: pick([0, 0, 1]),
        ...pick<StepFields>([
            {},
            { isLasting: true },
            { requiredLabel: LABEL },
            { isFiller: true, image: "booking" },
            { image: "desk", latencyObjectiveMilliseconds: 100 },
        ]),
    });
    for (const worker of world.waiting.workers.keys()) {
        occupy(world, worker, { image: "desk", latencyObjectiveMilliseconds: 100, cores: 2 });
        occupy(world, worker, { isFiller: true, image: "other", cores: 1 });
    }
    // Fillers wait for the result of a trial, unless they starve.
    world.waiting.cell.interference.recordTrial("desk", "booking", NOW);
    for (let index = 0; index < READY_TASKS; index++) {
        addTask(world.jobTable, `any-${index}`, describeAny(), NOW - pick([0, 3_500, 5_000]));
    }
}

When("tasks of different kinds are ready at workers that run others", function(this: WaitingLooksWorld) {
    addTasksOfDifferentKinds(this);
});

When(
    "tasks of different kinds are ready at workers that run others, and room is kept on one of them",
    function(this: WaitingLooksWorld) {
        const { jobTable } = this;
        addTasksOfDifferentKinds(this);
        const variants: readonly StepFields[] = [
            ...[100, 300, 1_000, 3_000].map(estimateMilliseconds => ({ cores: 4, estimateMilliseconds })),
            ...["booking", "other"].flatMap(image => [
                { image },
                { image, isFiller: true },
                { image, isFiller: true, latencyObjectiveMilliseconds: 100 },
            ]),
            { isGang: true, taskCount: 2 },
            { isLasting: true },
        ];
        for (let index = 0; index < READY_TASKS; index++) {
            addTask(jobTable, `variant-${index}`, variants[index % variants.length] ?? {}, NOW);
        }
        const limits = { limitPerWorker: 1, taskCount: 2 };
        runTask(jobTable, addTask(jobTable, "at-limit", limits, NOW), "worker-1", NOW);
        addTask(jobTable, "below-limit", limits, NOW);
        this.reserving = addTask(jobTable, "reserving", { cores: 4, estimateMilliseconds: 3_000 }, NOW);
    },
);

Then("looks for each task find the same for all tasks of a kind, which are fewer", function(this: WaitingLooksWorld) {
    const { jobTable, reserving, waiting } = this;
    const { durations, interference } = waiting.cell;
    const candidates = waiting.pools().get(QUEUE.pool) ?? [];
    assert.ok(candidates[0] !== undefined);
    candidates[0].reservation = {
        step: stepProgressOf(reserving),
        size: reserving.step.size,
        expectedAtMilliseconds: NOW + 1_500,
    };
    const { queues } = waiting.cell.catalog();
    const pool = { candidates, unavailable: new Map(), durations, interference, queues };
    const kindOf = createKinds(pool, NOW);
    const explanations = new Map<string, PlacementExplanation>();
    for (const task of jobTable.readyTasks) {
        const explanation = explainPlacement(task, pool, NOW);
        const known = explanations.get(kindOf(task)) ?? explanation;
        explanations.set(kindOf(task), known);
        assert.deepEqual(explanation, known, task.key);
    }
    const reasons = new Set([...explanations.values()].map(({ reason }) => reason));
    assert.ok(explanations.size < jobTable.readyTasks.size && reasons.size > 2, `${explanations.size} kinds`);
});

Then("a pass starts a task exactly where a look tells of a worker that suits", function(this: WaitingLooksWorld) {
    const { jobTable, waiting } = this;
    const { durations, epoch, interference } = waiting.cell;
    const tasks = [...jobTable.readyTasks];
    let started = 0;
    for (const task of tasks) {
        const { queues } = waiting.cell.catalog();
        const { reason, suitableWorkers } = explainPlacement(task, {
            candidates: waiting.pools().get(QUEUE.pool) ?? [],
            unavailable: new Map(),
            durations,
            interference,
            queues,
        }, NOW);
        const { starts } = planPass({
            epoch,
            startableTasks: [task],
            pools: waiting.pools(),
            queues,
            reviewedWorkers: [],
            attemptsToStop: new Set(),
            interference,
            durations,
            startLimit: Infinity,
            stopLimitMilliseconds: 0,
            mayGiveWay: false,
            mayStartCopies: false,
            isUnderReview: () => false,
        }, NOW);
        assert.equal(starts.length > 0, suitableWorkers > 0, task.key);
        assert.equal(starts.length > 0, reason === "worker-suits", task.key);
        started += starts.length;
    }
    assert.ok(started > 0 && started < tasks.length, `${started} of ${tasks.length}`);
});

When(
    "all room is kept for another task that gets it in {int} ms, and a task of {int} ms becomes ready",
    function(this: WaitingLooksWorld, milliseconds: number, estimateMilliseconds: number) {
        const reserving = addTask(this.jobTable, "reserving", { cores: 8 }, NOW);
        const task = addTask(this.jobTable, "task", { estimateMilliseconds }, NOW);
        const { durations, interference } = this.waiting.cell;
        const candidates = this.waiting.pools().get(QUEUE.pool) ?? [];
        for (const candidate of candidates) {
            candidate.reservation = {
                step: stepProgressOf(reserving),
                size: reserving.step.size,
                expectedAtMilliseconds: NOW + milliseconds,
            };
        }
        const { queues } = this.waiting.cell.catalog();
        const pool = { candidates, unavailable: new Map(), durations, interference, queues };
        this.explanation = explainPlacement(task, pool, NOW);
    },
);

Then("a look at the workers says {string}, and names {int} tasks that room is kept for", function(
    this: WaitingLooksWorld,
    reason: string,
    tasks: number,
) {
    assert.equal(this.explanation.reason, reason);
    assert.equal(this.explanation.reservedFor.length, tasks);
    assert.ok(this.explanation.reservedFor.every(key => key.startsWith("reserving.")));
});

Given("a cell of {int} workers with a job of {int} tasks, of which a worker may run one", function(
    this: WaitingLooksWorld,
    workers: number,
    tasks: number,
) {
    this.ownerEvents = [];
    const log: EventLog = {
        write: (event, fields) => void this.ownerEvents.push({ event, fields }),
        flush: async () => undefined,
    };
    this.simulation = createTakeoverSimulation(workers, tasks, log);
});

function findEvents({ ownerEvents }: WaitingLooksWorld, event: string): WaitingLine[] {
    return ownerEvents.filter(written => written.event === event).map(({ fields }) => fields);
}

When("an owner has had it for {int} simulated seconds", LIMIT, async function(
    this: WaitingLooksWorld,
    seconds: number,
) {
    const { simulation } = this;
    assert.ok(simulation !== undefined);
    simulation.startOwner({ workers: new Set(simulation.workerNames), store: true });
    await simulation.passTime(seconds * 1_000);
});

Then("it has written a line on the third task that says {string}", function(this: WaitingLooksWorld, reason: string) {
    const line = findEvents(this, "task-waiting").at(-1);
    assert.equal(line?.["reason"], reason);
    assert.equal(line["tasks"], 1);
    const started = new Set(findEvents(this, "start-ordered").map(({ task }) => task));
    assert.equal(started.size, 2);
    assert.ok(!started.has(line["task"]));
});

Then("its load counts {int} task that waits for {string}", function(
    this: WaitingLooksWorld,
    tasks: number,
    reason: string,
) {
    assert.deepEqual(findEvents(this, "cell-load").at(-1)?.["waitingByReason"], { [reason]: tasks });
});
