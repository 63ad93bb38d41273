/**
 * Plans a cell's tasks: admits the ones that rules ask for, and ends the ones that no rule asks for any more.
 */
import type { Configuration } from "../../rules/rule.js";
import { endTask } from "../cell/transitions.js";
import type { CellMap } from "../cells.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Admission, Task, TaskSpec } from "../ledger/task.js";
import { allowedCells, homeOfTask, homesOfReplicas } from "./home.js";
import { listRunnable, toSpec } from "./spec.js";
import type { RunnableRule } from "./spec.js";

/** Numbers of replicas of one slot differ by multiples of this. */
const REPLICA_STRIDE = 10_000;

/** What a plan is made from. */
export interface PlanInput {
    readonly cell: string;
    readonly cells: readonly CellMap[];
    readonly configuration: Configuration;
    readonly ledger: Ledger;
    /** Newest run of a scheduled rule that is due, in seconds since the Unix epoch; `undefined` where none is. */
    dueRun(runnable: RunnableRule, now: number): number | undefined;
}

/** Brings the ledger's draft in line with the rules. */
export function planCell(input: PlanInput, now: number): void {
    const runnable = listRunnable(input.configuration, now);
    const names = new Set(runnable.map(({ rule }) => rule.name));
    for (const task of [...input.ledger.draft.values()]) {
        if (!names.has(input.ledger.specOf(task).rule)) {
            endTask(input.ledger, task, "its rule has ended", now);
        }
    }
    for (const candidate of runnable) {
        if (candidate.rule.kind === "service") {
            planService(input, candidate, candidate.rule.replicas, now);
        }
        else {
            planBatch(input, candidate, candidate.rule.tasks, now);
        }
    }
}

function planService(input: PlanInput, runnable: RunnableRule, replicas: number, now: number): void {
    const { ledger, cell } = input;
    const { name, dataCentres } = runnable.rule;
    const homes = homesOfReplicas(name, replicas, allowedCells(input.cells, dataCentres));
    const wanted = new Set(homes.flatMap((home, slot) => home === cell ? [slot] : []));
    const spec = toSpec(runnable);
    let admission = ledger.admissions.get(name) ?? { rule: name, run: 0, replacements: 0, generation: 0 };
    for (const task of tasksOfRule(ledger, name)) {
        if (task.state === "stopping") {
            continue;
        }
        if (!wanted.delete(slotOf(task.taskId))) {
            endTask(ledger, task, "surplus replica", now);
        }
    }
    const first = !ledger.admissions.has(name);
    for (const slot of wanted) {
        if (!first) {
            admission = { ...admission, replacements: admission.replacements + 1 };
        }
        admit(ledger, spec, `${name}/${slot + REPLICA_STRIDE * admission.replacements}`, now);
    }
    if (wanted.size > 0) {
        ledger.putAdmission(admission);
    }
}

function planBatch(input: PlanInput, runnable: RunnableRule, tasks: number, now: number): void {
    const { ledger, cell } = input;
    const { rule } = runnable;
    const run = input.dueRun(runnable, now);
    const admission = ledger.admissions.get(rule.name);
    if (run === undefined || (admission !== undefined && run <= admission.run)) {
        return;
    }
    const cells = allowedCells(input.cells, rule.dataCentres).map(allowed => allowed.cell);
    const spec = toSpec(runnable);
    for (let index = 0; index < tasks; index += 1) {
        const taskId = `${rule.name}@${run === 0 ? "once" : run}/${index}`;
        if (homeOfTask(taskId, cells) === cell) {
            admit(ledger, spec, taskId, now);
        }
    }
    const next: Admission = { rule: rule.name, run, replacements: 0, generation: admission?.generation ?? 0 };
    ledger.putAdmission(next);
}

function admit(ledger: Ledger, spec: TaskSpec, taskId: string, now: number): void {
    ledger.putSpec(spec);
    ledger.put({
        taskId,
        specId: spec.specId,
        state: "pending",
        attempt: 0,
        checkpointProgress: 0,
        submittedAtMilliseconds: now,
        notBeforeMilliseconds: now,
        sinceMilliseconds: now,
        failures: 0,
        evictions: 0,
        throttleShare: 1,
        reason: "waits for a place",
    });
}

function tasksOfRule(ledger: Ledger, rule: string): Task[] {
    return [...ledger.draft.values()].filter(task => ledger.specOf(task).rule === rule);
}

function slotOf(taskId: string): number {
    return Number(taskId.slice(taskId.lastIndexOf("/") + 1)) % REPLICA_STRIDE;
}
