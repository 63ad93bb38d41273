/**
 * Plans a cell's tasks: admits the ones that rules ask for, and ends the ones that no rule asks for any more.
 */
import type { Configuration } from "../../rules/rule.js";
import { endTask } from "../cell/transitions.js";
import type { Ledger } from "../ledger/ledger.js";
import { ENDED_STATES, HOLDING_STATES } from "../ledger/task.js";
import type { Task, TaskSpec } from "../ledger/task.js";
import type { AssignedRun, Assignment } from "./assignment.js";
import { homeOfTask, homesOfReplicas } from "./home.js";
import { listRunnable, toSpec } from "./spec.js";
import type { RunnableRule } from "./spec.js";

/** Numbers of replicas of one slot differ by multiples of this. */
const REPLICA_STRIDE = 10_000;
/** Tasks that one plan admits or cancels at most; a commit's segment has to fit into one value of the store. */
const ADMISSIONS_PER_PLAN = 500;
const CANCELLATIONS_PER_PLAN = 500;

/** What a plan is made from. */
export interface PlanInput {
    readonly cell: string;
    readonly configuration: Configuration;
    readonly ledger: Ledger;
    findAssignment(rule: string): Assignment | undefined;
    /** Another cell may still have a task of this name from an earlier generation. */
    readonly isInOtherCell: (taskId: string, generation: number) => boolean;
    /** Running tasks that one plan may begin to stop. */
    readonly maxStops: number;
}

/** Brings the ledger's draft in line with the rules. */
export function planCell(input: PlanInput, now: number): void {
    const { ledger } = input;
    const runnable = listRunnable(input.configuration, now);
    const names = new Set(runnable.map(({ rule }) => rule.name));
    const replicas = new Map<string, Task[]>();
    const budget = { stops: input.maxStops, cancellations: CANCELLATIONS_PER_PLAN };
    for (const task of [...ledger.draft.values()]) {
        const { rule, kind } = ledger.specOf(task);
        if (!names.has(rule)) {
            endWithinBudget(budget, ledger, task, now);
        }
        else if (kind === "service" && !ENDED_STATES.has(task.state)) {
            replicas.set(rule, [...replicas.get(rule) ?? [], task]);
        }
    }
    for (const candidate of runnable) {
        const assignment = input.findAssignment(candidate.rule.name);
        if (assignment === undefined || assignment.removedRevision !== undefined) {
            continue;
        }
        if (candidate.rule.kind === "service") {
            planService(input, candidate, { assignment, replicas: replicas.get(candidate.rule.name) ?? [] }, now);
        }
        else {
            planBatch(input, candidate, assignment, now);
        }
    }
}

/** What one plan may still end, so that a wave of cancellations fits into commits and delays no start. */
interface EndBudget {
    stops: number;
    cancellations: number;
}

function endWithinBudget(budget: EndBudget, ledger: Ledger, task: Task, now: number): void {
    if (ENDED_STATES.has(task.state) || task.state === "stopping") {
        return;
    }
    const kind = HOLDING_STATES.has(task.state) ? "stops" : "cancellations";
    if (budget[kind] > 0) {
        budget[kind] -= 1;
        endTask(ledger, task, "its rule has ended", now);
    }
}

interface ServicePlan {
    readonly assignment: Assignment;
    /** Replicas that the ledger has. */
    readonly replicas: readonly Task[];
}

function planService(input: PlanInput, runnable: RunnableRule, plan: ServicePlan, now: number): void {
    const { ledger, cell } = input;
    if (runnable.rule.kind !== "service") {
        return;
    }
    const { name } = runnable.rule;
    const homes = homesOfReplicas(name, runnable.rule.replicas, plan.assignment.runs.at(-1)?.cells ?? []);
    const wanted = new Set(homes.flatMap((home, slot) => home === cell ? [slot] : []));
    for (const task of plan.replicas) {
        if (task.state !== "stopping" && !wanted.delete(slotOf(task.taskId))) {
            endTask(ledger, task, "surplus replica", now);
        }
    }
    const { generation } = plan.assignment;
    let admission = ledger.admissions.get(name);
    for (const slot of wanted) {
        const replacements = admission === undefined ? 0 : admission.replacements + 1;
        admission = { rule: name, run: 0, generation, tasks: 0, replacements };
        const taskId = `${name}/${slot + REPLICA_STRIDE * replacements}`;
        admitTask(ledger, toSpec(runnable), { taskId, now, submittedAtMilliseconds: now });
        ledger.putAdmission(admission);
    }
}

function planBatch(input: PlanInput, runnable: RunnableRule, assignment: Assignment, now: number): void {
    const { ledger } = input;
    const { name } = runnable.rule;
    const { generation } = assignment;
    for (const assigned of assignment.runs) {
        const admission = ledger.admissions.get(name);
        const isSame = admission?.generation === generation && admission.run === assigned.run;
        const isNew = admission === undefined || generation > admission.generation
            || (generation === admission.generation && assigned.run > admission.run);
        if (isNew || isSame) {
            const from = isSame ? admission.tasks : 0;
            const tasks = admitSlice(input, runnable, { assigned, generation, from }, now);
            if (tasks > from) {
                ledger.putAdmission({ rule: name, run: assigned.run, generation, tasks, replacements: 0 });
            }
            if (runnable.rule.kind === "batch" && tasks < runnable.rule.tasks) {
                return;
            }
        }
    }
}

/** Part of a run. */
interface Slice {
    readonly assigned: AssignedRun;
    readonly generation: number;
    /** Index of the first task that has not been looked at. */
    readonly from: number;
}

/** Admits the next tasks of this cell's share, and gives the index after the last one that was looked at. */
function admitSlice(input: PlanInput, runnable: RunnableRule, slice: Slice, now: number): number {
    const { assigned, generation, from } = slice;
    const { rule } = runnable;
    if (rule.kind !== "batch") {
        return from;
    }
    const cells = assigned.cells.map(({ cell }) => cell);
    const spec = toSpec(runnable);
    let admitted = 0;
    for (let index = from; index < rule.tasks; index += 1) {
        const taskId = `${rule.name}@${assigned.run === 0 ? "once" : assigned.run}/${index}`;
        if (homeOfTask(taskId, cells) !== input.cell) {
            continue;
        }
        const state = input.ledger.draft.get(taskId)?.state;
        const mustWait = (state !== undefined && !ENDED_STATES.has(state)) || input.isInOtherCell(taskId, generation);
        if (mustWait || admitted >= ADMISSIONS_PER_PLAN) {
            // Looked at again by the next plan.
            return index;
        }
        admitTask(input.ledger, spec, { taskId, now, submittedAtMilliseconds: now });
        admitted += 1;
    }
    return rule.tasks;
}

/** A task to be admitted. */
export interface NewTask {
    readonly taskId: string;
    readonly submittedAtMilliseconds: number;
    readonly now: number;
    /** Number of the last attempt under this name elsewhere. */
    readonly attempt?: number;
}

/** Admits a task to the ledger's draft. */
export function admitTask(ledger: Ledger, spec: TaskSpec, task: NewTask): void {
    const { taskId, now, submittedAtMilliseconds } = task;
    // Attempts of an earlier task of this name are told apart by their numbers.
    const attempt = Math.max(ledger.draft.get(taskId)?.attempt ?? 0, task.attempt ?? 0);
    ledger.putSpec(spec);
    ledger.put({
        taskId,
        specId: spec.specId,
        state: "pending",
        attempt,
        ...(attempt === 0 ? {} : { attemptsBefore: attempt }),
        checkpointProgress: 0,
        submittedAtMilliseconds,
        notBeforeMilliseconds: now,
        sinceMilliseconds: now,
        failures: 0,
        evictions: 0,
        throttleShare: 1,
        reason: "waits for a place",
    });
}

/** Number of the replica that a task is or replaces. */
export function slotOf(taskId: string): number {
    return Number(taskId.slice(taskId.lastIndexOf("/") + 1)) % REPLICA_STRIDE;
}
