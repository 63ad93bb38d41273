/**
 * Verifies the invariants of exported ledgers.
 */
import * as z from "zod";
import type { WorkerInstance } from "../../platform/instances.js";
import type { Configuration } from "../../rules/rule.js";
import { ENDED_STATES, HOLDING_STATES } from "../ledger/task.js";
import type { Task, TaskSpec } from "../ledger/task.js";
import type { ExportedCell, ExportedState } from "./export.js";

/** The invariants that are checked. */
export const Invariant = z.enum([
    "capacity",
    "one-place",
    "resume-once",
    "admitted-once",
    "no-job-without-rule",
    "ledger-whole",
]);
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
            ...input.state.cells.flatMap(checkSegments),
            ...input.state.cells.flatMap(checkTasks),
            ...checkOnePlace(input.state.cells),
            ...input.state.cells.flatMap(checkResumption),
            ...input.state.cells.flatMap(checkAdmissions),
            ...input.workers === undefined ? [] : checkCapacity(input.state.cells, input.workers),
            ...input.configuration === undefined ? [] : checkRules(input.state.cells, input.configuration),
        ],
    };
}

/** The snapshot is whole, and the log goes on without a gap from there to the newest commit. */
function checkSegments({ head, segments, chunks }: ExportedCell): Violation[] {
    const present = new Set(segments);
    const missing: number[] = [];
    for (let sequence = head.snapshotSequence + 1; sequence <= head.sequence; sequence += 1) {
        if (!present.has(sequence)) {
            missing.push(sequence);
        }
    }
    const isShort = head.snapshotSequence > 0 && chunks < head.snapshotChunks;
    const faults = [
        missing.length === 0 ? "" : `segments ${missing.join(", ")} of its log are missing`,
        isShort ? `${chunks} of ${head.snapshotChunks} chunks of its snapshot are there` : "",
    ];
    return toViolations("ledger-whole", head.cell, head.cell, faults);
}

/** Each task has its spec, a worker exactly where it holds room, and an attempt where it has a worker. */
function checkTasks({ head, tasks, specs }: ExportedCell): Violation[] {
    const specIds = new Set(specs.map(({ specId }) => specId));
    return tasks.flatMap(task => {
        const isHeld = HOLDING_STATES.has(task.state);
        const faults = [
            specIds.has(task.specId) ? "" : `its spec ${task.specId} is not in the ledger`,
            isHeld === (task.worker !== undefined)
                ? ""
                : `state ${task.state} does not fit worker ${task.worker ?? "none"}`,
            isHeld && task.attempt === 0 ? `state ${task.state} without an attempt` : "",
            task.sinceMilliseconds < task.submittedAtMilliseconds ? "in its state since before it was submitted" : "",
        ];
        return toViolations("ledger-whole", head.cell, task.taskId, faults);
    });
}

function toViolations(invariant: Invariant, cell: string, subject: string, faults: readonly string[]): Violation[] {
    return faults.filter(message => message !== "").map(message => ({ invariant, cell, subject, message }));
}

function checkOnePlace(cells: readonly ExportedCell[]): Violation[] {
    const cellByTask = new Map<string, string>();
    const violations: Violation[] = [];
    for (const { head, tasks } of cells) {
        for (const { taskId, state } of tasks) {
            const other = cellByTask.get(taskId);
            if (ENDED_STATES.has(state)) {
                continue;
            }
            if (other !== undefined) {
                const message = other === head.cell ? "twice in its ledger" : `also in the ledger of ${other}`;
                violations.push({ invariant: "one-place", cell: head.cell, subject: taskId, message });
            }
            cellByTask.set(taskId, head.cell);
        }
    }
    return violations;
}

/** An evicted task waits with the checkpoint that its next attempt begins from; nothing that has ended has one. */
function checkResumption({ head, tasks }: ExportedCell): Violation[] {
    return tasks.flatMap(task => {
        const hasCheckpoint = task.checkpoint !== undefined;
        const faults = [
            hasCheckpoint && task.attempt === 0 ? "has a checkpoint, but no attempt was ever made" : "",
            task.state === "evicted" && task.attempt === 0 ? "evicted, but no attempt was ever made" : "",
            hasCheckpoint && ENDED_STATES.has(task.state) ? `${task.state}, but has a checkpoint to resume from` : "",
            !hasCheckpoint && !ENDED_STATES.has(task.state) && task.checkpointProgress > 0
                ? "its progress is kept, but not the checkpoint"
                : "",
        ];
        return toViolations("resume-once", head.cell, task.taskId, faults);
    });
}

/** A task of a run that the cell has not noted as admitted would be admitted, and run, a second time. */
function checkAdmissions({ head, tasks, specs, admissions }: ExportedCell): Violation[] {
    const ruleOf = new Map(specs.map(({ specId, rule }) => [specId, rule]));
    const admitted = new Map(admissions.map(admission => [admission.rule, admission]));
    return tasks.filter(({ state }) => !ENDED_STATES.has(state)).flatMap(task => {
        const rule = ruleOf.get(task.specId);
        const admission = admitted.get(rule ?? "");
        const run = readRun(task.taskId);
        const faults = [
            rule !== undefined && admission === undefined ? `rule ${rule} is not noted as admitted` : "",
            admission !== undefined && run > admission.run ? `run ${run} is not noted as admitted` : "",
        ];
        return toViolations("admitted-once", head.cell, task.taskId, faults);
    });
}

/** Run of a batch task, `RULE@RUN/INDEX`; 0 for tasks that run once and for replicas. */
function readRun(taskId: string): number {
    return Number(/@(\d+)\//.exec(taskId)?.[1] ?? 0);
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
        const excesses = [
            specs.length > shape.slots ? `${specs.length} tasks for ${shape.slots} slots` : "",
            sum(({ resources }) => resources.cores) > shape.cores + CORES_TOLERANCE ? "more cores than it has" : "",
            sum(({ resources }) => resources.memoryBytes) > shape.memoryBytes ? "more memory than it has" : "",
            sum(({ resources }) => resources.accelerators) > shape.accelerators ? "more accelerators than it has" : "",
        ].filter(text => text !== "");
        return excesses.map(message => ({ invariant: "capacity" as const, cell, subject: name, message }));
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
            .flatMap(task => {
                const rule = ruleOf.get(task.specId);
                const isOrphan = rule !== undefined && !rules.has(rule);
                const faults = [isOrphan ? `no rule ${rule} exists` : ""];
                return toViolations("no-job-without-rule", head.cell, task.taskId, faults);
            });
    });
}

function isHolding({ state, worker }: Task): boolean {
    return HOLDING_STATES.has(state) && worker !== undefined;
}
