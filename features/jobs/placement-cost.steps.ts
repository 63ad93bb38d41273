/**
 * Steps for the number of searches that placements need, and for what they choose.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { EventLog } from "../../src/core/event-log.js";
import { createRandom } from "../../src/core/random.js";
import { addAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import { isServing } from "../../src/jobs/job-table/occupancy.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { chooseWorker, rankCandidates } from "../../src/jobs/policy/placement.js";
import {
    addTask,
    createEmptyJobTable,
    describeStep,
    describeWorker,
    NOW,
    QUEUE,
    runTask,
    tasksOfStep,
} from "./builders.js";
import { createTakeoverSimulation } from "./takeover-world.js";
import type { TakeoverSimulation } from "./takeover-world.js";

interface CostWorld {
    simulation: TakeoverSimulation;
    taskCount: number;
    loads: { readonly orderedTasks: number; readonly searches: number; }[];
    jobTable: JobTable;
    workerIds: string[];
    /** For each task, the worker that the shared ranking chose, and the one that a search of its own finds. */
    choices: { readonly shared: string | undefined; readonly own: string | undefined; }[];
}

type StepFields = Parameters<typeof describeStep>[0];

const LIMIT = { timeout: 60_000 };
const START_MILLISECONDS = 20_000;
/** The owner's log has a line on its load each second. */
const NEXT_LOAD_MILLISECONDS = 6_000;
const WORKER_CORES = 32;
const SEED = 31;
const SERVING: StepFields = { image: "watch", latencyObjectiveMilliseconds: 50, cores: 4 };
const FILLER: StepFields = { image: "booking", isFiller: true, cores: 3 };
const KINDS: readonly StepFields[] = [SERVING, FILLER, { image: "check", cores: 2 }];

After(LIMIT, async function(this: Partial<CostWorld>) {
    await this.simulation?.close();
});

function listCandidates({ jobTable, workerIds }: CostWorld): Candidate[] {
    return workerIds.map(id => ({ worker: describeWorker(id, WORKER_CORES), load: jobTable.occupancy.load(id) }));
}

function addTasks(jobTable: JobTable, id: string, taskCount: number, fields: StepFields): Task[] {
    const submission = { payload: "", steps: [describeStep({ ...fields, taskCount })] };
    acceptJob(jobTable, { id, queue: QUEUE.name, submission, acceptedAtMilliseconds: NOW });
    confirmJob(jobTable, id, NOW);
    return tasksOfStep(jobTable, id);
}

/** Places tasks of one step, as the dispatcher does in one pass. */
function placeTasks(world: CostWorld, tasks: readonly Task[]): void {
    const model = createInterference();
    const candidates = listCandidates(world);
    const [first] = tasks;
    assert.ok(first !== undefined);
    const ranking = rankCandidates(first, candidates, model, NOW);
    for (const task of tasks) {
        const own = chooseWorker(task, listCandidates(world), model, NOW);
        const shared = ranking.choose(task);
        world.choices.push({ shared: shared?.worker.id, own: own?.worker.id });
        if (shared === undefined) {
            continue;
        }
        if (task.step.isFiller) {
            shared.load.attempts.filter(({ task: { step } }) => isServing(step))
                .forEach(({ task: { step } }) => model.recordTrial(step.image, task.step.image, NOW));
        }
        addAttempt(world.jobTable, task, shared.worker.id, 1, NOW);
    }
}

Given(
    "a cell of {int} workers with a job of {int} tasks",
    function(this: CostWorld, workerCount: number, taskCount: number) {
        this.loads = [];
        this.taskCount = taskCount;
        const log: EventLog = {
            write: (event, fields) => {
                if (event === "cell-load") {
                    this.loads.push(fields as CostWorld["loads"][number]);
                }
            },
            flush: async () => undefined,
        };
        this.simulation = createTakeoverSimulation(workerCount, taskCount, log);
    },
);

When("an owner has started all of them", LIMIT, async function(this: CostWorld) {
    const { simulation, taskCount } = this;
    simulation.startOwner({ workers: new Set(simulation.workerNames), store: true });
    assert.ok(await simulation.passTime(START_MILLISECONDS, () => simulation.runs.length === taskCount));
    const { length } = this.loads;
    assert.ok(await simulation.passTime(NEXT_LOAD_MILLISECONDS, () => this.loads.length > length));
});

Then(
    "its log tells of {int} ordered tasks or more, and of at most {int} searches for a worker",
    function(this: CostWorld, orderedTasks: number, searches: number) {
        const sum = (amounts: readonly number[]): number => amounts.reduce((total, amount) => total + amount, 0);
        assert.ok(sum(this.loads.map(load => load.orderedTasks)) >= orderedTasks);
        const made = sum(this.loads.map(load => load.searches));
        assert.ok(made <= searches, `${made} searches`);
    },
);

Given("{int} workers with serving tasks and fillers of their own", function(this: CostWorld, count: number) {
    const random = createRandom(SEED);
    this.jobTable = createEmptyJobTable();
    this.workerIds = Array.from({ length: count }, (_, index) => `worker-${index}`);
    this.choices = [];
    for (const id of this.workerIds) {
        for (const [kind, fields] of KINDS.entries()) {
            for (let number = 0; random() < 0.4; number++) {
                runTask(this.jobTable, addTask(this.jobTable, `${id}-${kind}-${number}`, fields, NOW), id, NOW);
            }
        }
    }
});

When(
    "{int} tasks of each kind of step are placed one after the other",
    function(this: CostWorld, taskCount: number) {
        KINDS.forEach((fields, kind) => {
            placeTasks(this, addTasks(this.jobTable, `wide-${kind}`, taskCount, fields));
        });
    },
);

Then("each goes to the worker that a search of its own finds", function(this: CostWorld) {
    assert.ok(this.choices.some(({ shared }) => shared !== undefined));
    assert.deepEqual(this.choices.map(({ shared }) => shared), this.choices.map(({ own }) => own));
});

Given("{int} workers with a serving task of the same image each", function(this: CostWorld, count: number) {
    this.jobTable = createEmptyJobTable();
    this.workerIds = Array.from({ length: count }, (_, index) => `worker-${index}`);
    this.choices = [];
    for (const id of this.workerIds) {
        runTask(this.jobTable, addTask(this.jobTable, `serving-${id}`, SERVING, NOW), id, NOW);
    }
});

When(
    "tasks of a filler that has not been seen beside it are placed one after the other",
    function(this: CostWorld) {
        placeTasks(this, addTasks(this.jobTable, "fillers", this.workerIds.length, FILLER));
    },
);

Then("one of them is placed", function(this: CostWorld) {
    assert.equal(this.choices.filter(({ shared }) => shared !== undefined).length, 1);
});
