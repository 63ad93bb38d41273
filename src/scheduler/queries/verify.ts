/**
 * Verifies the invariants of exported ledgers.
 */
import { z } from "zod";
import type { WorkerInstance } from "../../platform/instances.js";
import type { Configuration } from "../../rules/rule.js";
import { ENDED_STATES, HOLDING_STATES, WAITING_STATES } from "../ledger/task.js";
import type { Task, TaskSpec } from "../ledger/task.js";
import type { ExportedCell, ExportedState } from "./export.js";

/** The invariants that are checked. */
export const Invariant = z.enum(["capacity", "one-place", "resume-once", "no-job-without-rule", "ledger-whole"]);
export type Invariant = z.infer<typeof Invariant>;

/** An invariant that does not hold. */
export const Violation = z.strictObject({
    invariant: Invariant,
    cell: z.string(),
    subject: z.string(),
    message: z.string(),
});
export type Violation = z.infer<typeof Violation>;

/** What was checked: without anything to check, no violation says nothing. */
export const Verification = z.strictObject({
    cells: z.int(),
    tasks: z.int(),
    placed: z.int(),
    violations: z.array(Violation),
});
export type Verification = z.infer<typeof Verification>;

/** What is known besides the ledgers; a check without its source is left out. */
export interface VerifyInput {
    readonly state: ExportedState;
    readonly workers?: readonly WorkerInstance[];
    readonly configuration?: Configuration;
}

/** Checks all invariants. */
export function verifyState(input: VerifyInput): Verification {
    const tasks = input.state.cells.flatMap(({ tasks: all }) => all);
    return {
        cells: input.state.cells.length,
        tasks: tasks.length,
        placed: tasks.filter(({ state }) => HOLDING_STATES.has(state)).length,
        violations: [
            ...input.state.cells.flatMap(checkWhole),
            ...checkOnePlace(input.state.cells),
            ...input.state.cells.flatMap(checkResumption),
            ...input.workers === undefined ? [] : checkCapacity(input.state.cells, input.workers),
            ...input.configuration === undefined ? [] : checkRules(input.state.cells, input.configuration),
        ],
    };
}

/** Each task has its spec, and a worker exactly where it holds room. */
function checkWhole({ head, tasks, specs }: ExportedCell): Violation[] {
    const known = new Set(specs.map(({ specId }) => specId));
    return tasks.flatMap(task => {
        const violation = (message: string): Violation => ({
            invariant: "ledger-whole",
            cell: head.cell,
            subject: task.taskId,
            message,
        });
        return [
            ...known.has(task.specId) ? [] : [violation(`its spec ${task.specId} is not in the ledger`)],
            ...HOLDING_STATES.has(task.state) === (task.worker !== undefined)
                ? []
                : [violation(`state ${task.state} does not fit worker ${task.worker ?? "none"}`)],
        ];
    });
}

function checkOnePlace(cells: readonly ExportedCell[]): Violation[] {
    const places = new Map<string, string>();
    const violations: Violation[] = [];
    for (const { head, tasks } of cells) {
        for (const { taskId, state } of tasks) {
            const other = places.get(taskId);
            if (ENDED_STATES.has(state)) {
                continue;
            }
            if (other !== undefined) {
                const message = `also in the ledger of ${other}`;
                violations.push({ invariant: "one-place", cell: head.cell, subject: taskId, message });
            }
            places.set(taskId, head.cell);
        }
    }
    return violations;
}

/** An evicted task waits with the checkpoint that its next attempt begins from, and has run before. */
function checkResumption({ head, tasks }: ExportedCell): Violation[] {
    return tasks
        .filter(task => WAITING_STATES.has(task.state) && task.checkpoint !== undefined && task.attempt === 0)
        .map(task => ({
            invariant: "resume-once" as const,
            cell: head.cell,
            subject: task.taskId,
            message: "has a checkpoint, but no attempt was ever made",
        }));
}

function checkCapacity(cells: readonly ExportedCell[], workers: readonly WorkerInstance[]): Violation[] {
    const held = new Map<string, { cell: string; specs: TaskSpec[]; }>();
    for (const { head, tasks, specs } of cells) {
        const byId = new Map(specs.map(spec => [spec.specId, spec]));
        for (const task of tasks.filter(isHolding)) {
            const spec = byId.get(task.specId);
            const worker = held.get(task.worker ?? "") ?? { cell: head.cell, specs: [] };
            held.set(task.worker ?? "", {
                ...worker,
                specs: spec === undefined ? worker.specs : [...worker.specs, spec],
            });
        }
    }
    return workers.flatMap(({ name, shape }) => {
        const { cell, specs } = held.get(name) ?? { cell: "", specs: [] };
        const sum = (pick: (spec: TaskSpec) => number) => specs.reduce((total, spec) => total + pick(spec), 0);
        const over = [
            specs.length > shape.slots ? `${specs.length} tasks for ${shape.slots} slots` : "",
            sum(({ resources }) => resources.cores) > shape.cores + CORES_TOLERANCE ? "more cores than it has" : "",
            sum(({ resources }) => resources.memoryBytes) > shape.memoryBytes ? "more memory than it has" : "",
            sum(({ resources }) => resources.accelerators) > shape.accelerators ? "more accelerators than it has" : "",
        ].filter(text => text !== "");
        return over.map(message => ({ invariant: "capacity" as const, cell, subject: name, message }));
    });
}

const CORES_TOLERANCE = 1e-6;

function checkRules(cells: readonly ExportedCell[], configuration: Configuration): Violation[] {
    const rules = new Set(configuration.documents.flatMap(document => document.rules.map(({ name }) => name)));
    return cells.flatMap(({ head, tasks, specs }) => {
        const ruleOf = new Map(specs.map(({ specId, rule }) => [specId, rule]));
        return tasks
            // A task that is being stopped is on its way out.
            .filter(task => !ENDED_STATES.has(task.state) && task.state !== "stopping")
            .filter(task => !rules.has(ruleOf.get(task.specId) ?? ""))
            .map(task => ({
                invariant: "no-job-without-rule" as const,
                cell: head.cell,
                subject: task.taskId,
                message: `no rule ${ruleOf.get(task.specId) ?? "of its name"} exists`,
            }));
    });
}

function isHolding({ state, worker }: Task): boolean {
    return HOLDING_STATES.has(state) && worker !== undefined;
}
