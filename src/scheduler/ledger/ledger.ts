/**
 * Ledger of one cell in memory: the draft that the owner changes, and the tasks as last committed.
 *
 * Orders to workers follow from committed tasks only, so a decision takes effect after its commit.
 */
import type { Segment } from "./head.js";
import type { Admission, Drain, Task, TaskSpec } from "./task.js";

/** Changes of a draft since the last commit. */
export interface Changes {
    readonly tasks: readonly Task[];
    readonly removed: readonly string[];
    readonly specs: readonly TaskSpec[];
    readonly admissions: readonly Admission[];
    readonly drains: readonly Drain[];
    readonly drainsEnded: readonly string[];
    /** Workers of the changed tasks, before and after the change. */
    readonly workers: ReadonlySet<string>;
}

/** Ledger of one cell in memory. */
export interface Ledger {
    /** Tasks with changes that are not committed yet. */
    readonly draft: ReadonlyMap<string, Task>;
    /** Tasks as last committed. */
    readonly committed: ReadonlyMap<string, Task>;
    readonly specs: ReadonlyMap<string, TaskSpec>;
    readonly admissions: ReadonlyMap<string, Admission>;
    readonly drains: ReadonlyMap<string, Drain>;
    /** Committed tasks that hold resources on a worker. */
    committedOn(worker: string): readonly Task[];
    /** Workers on which committed tasks hold resources. */
    workers(): readonly string[];
    specOf(task: Task): TaskSpec;
    put(task: Task): void;
    remove(taskId: string): void;
    putSpec(spec: TaskSpec): void;
    putAdmission(admission: Admission): void;
    putDrain(drain: Drain): void;
    endDrain(worker: string): void;
    hasChanges(): boolean;
    changes(): Changes;
    /** Marks all changes of the draft as committed. */
    markCommitted(): void;
    /** Applies a segment read from the store. */
    replay(segment: Segment): void;
    /** Returns the whole ledger for a snapshot; removes specs that no task refers to. */
    snapshot(): Changes;
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
    const draft = new Map<string, Task>();
    const committed = new Map<string, Task>();
    const byWorker = new Map<string, Set<string>>();
    const specs = new Map<string, TaskSpec>();
    const admissions = new Map<string, Admission>();
    const drains = new Map<string, Drain>();
    const changedTasks = new Set<string>();
    const changedSpecs = new Set<string>();
    const changedAdmissions = new Set<string>();
    const changedDrains = new Set<string>();

    const applyTask = (taskId: string, task: Task | undefined) => {
        const before = committed.get(taskId);
        if (before?.worker !== undefined && before.worker !== task?.worker) {
            const group = byWorker.get(before.worker);
            group?.delete(taskId);
            if (group?.size === 0) {
                byWorker.delete(before.worker);
            }
        }
        if (task?.worker !== undefined) {
            const group = byWorker.get(task.worker) ?? new Set();
            byWorker.set(task.worker, group.add(taskId));
        }
        if (task === undefined) {
            committed.delete(taskId);
        }
        else {
            committed.set(taskId, task);
        }
    };

    return {
        draft,
        committed,
        specs,
        admissions,
        drains,
        committedOn(worker) {
            return [...byWorker.get(worker) ?? []].flatMap(taskId => committed.get(taskId) ?? []);
        },
        workers() {
            return [...byWorker.keys()];
        },
        specOf(task) {
            const spec = specs.get(task.specId);
            if (spec === undefined) {
                throw new Error(`ledger has no spec ${task.specId} of task ${task.taskId}`);
            }
            return spec;
        },
        put(task) {
            draft.set(task.taskId, task);
            changedTasks.add(task.taskId);
        },
        remove(taskId) {
            draft.delete(taskId);
            changedTasks.add(taskId);
        },
        putSpec(spec) {
            if (!specs.has(spec.specId)) {
                specs.set(spec.specId, spec);
                changedSpecs.add(spec.specId);
            }
        },
        putAdmission(admission) {
            admissions.set(admission.rule, admission);
            changedAdmissions.add(admission.rule);
        },
        putDrain(drain) {
            drains.set(drain.worker, drain);
            changedDrains.add(drain.worker);
        },
        endDrain(worker) {
            drains.delete(worker);
            changedDrains.add(worker);
        },
        hasChanges() {
            return changedTasks.size + changedSpecs.size + changedAdmissions.size + changedDrains.size > 0;
        },
        changes() {
            return {
                tasks: pick(changedTasks, draft),
                removed: [...changedTasks].filter(taskId => !draft.has(taskId)),
                specs: pick(changedSpecs, specs),
                admissions: pick(changedAdmissions, admissions),
                drains: pick(changedDrains, drains),
                drainsEnded: [...changedDrains].filter(worker => !drains.has(worker)),
                workers: new Set([...changedTasks].flatMap(taskId =>
                    [
                        draft.get(taskId)?.worker ?? [],
                        committed.get(taskId)?.worker ?? [],
                    ].flat()
                )),
            };
        },
        markCommitted() {
            for (const taskId of changedTasks) {
                applyTask(taskId, draft.get(taskId));
            }
            changedTasks.clear();
            changedSpecs.clear();
            changedAdmissions.clear();
            changedDrains.clear();
        },
        replay(segment) {
            segment.specs.forEach(spec => specs.set(spec.specId, spec));
            segment.admissions.forEach(admission => admissions.set(admission.rule, admission));
            segment.drains.forEach(drain => drains.set(drain.worker, drain));
            segment.drainsEnded.forEach(worker => drains.delete(worker));
            for (const task of segment.tasks) {
                draft.set(task.taskId, task);
                applyTask(task.taskId, task);
            }
            for (const taskId of segment.removed) {
                draft.delete(taskId);
                applyTask(taskId, undefined);
            }
        },
        snapshot() {
            const used = new Set([...draft.values()].map(task => task.specId));
            for (const specId of [...specs.keys()]) {
                if (!used.has(specId)) {
                    specs.delete(specId);
                }
            }
            return {
                tasks: [...draft.values()],
                removed: [],
                specs: [...specs.values()],
                admissions: [...admissions.values()],
                drains: [...drains.values()],
                drainsEnded: [],
                workers: new Set(),
            };
        },
    };
}

function pick<Value>(keys: ReadonlySet<string>, values: ReadonlyMap<string, Value>): Value[] {
    return [...keys].flatMap(key => values.get(key) ?? []);
}
