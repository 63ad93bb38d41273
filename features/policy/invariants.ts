/**
 * Assertions on decisions, independent of the policy's own computations.
 */
import assert from "node:assert/strict";
import type { CellView, Decision, PendingTask, WorkerView } from "../../src/policy/policy.js";

const CORES_TOLERANCE = 1e-6;

/** Returns the tasks that the decisions place, by worker. */
export function collectPlacements(view: CellView, decisions: readonly Decision[]): Map<WorkerView, PendingTask[]> {
    const placements = new Map<WorkerView, PendingTask[]>();
    for (const decision of decisions) {
        if (decision.kind !== "place") {
            continue;
        }
        const target = view.workers.find(candidate => candidate.instance.name === decision.worker);
        const task = view.pending.find(candidate => candidate.taskId === decision.taskId);
        assert.ok(
            target !== undefined && task !== undefined,
            `decision on an unknown task or worker: ${decision.taskId}`,
        );
        placements.set(target, [...placements.get(target) ?? [], task]);
    }
    return placements;
}

/** Asserts that placements go to live workers in allowed data centres and don't exceed the workers' shapes. */
export function assertCapacity(view: CellView, decisions: readonly Decision[]): void {
    for (const [target, added] of collectPlacements(view, decisions)) {
        const { shape, name, dataCentre } = target.instance;
        const all = [...target.tasks, ...added];
        assert.equal(target.state, "live", `${name} is ${target.state}`);
        assert.ok(all.length <= shape.slots, `${name}: ${all.length} tasks on ${shape.slots} slots`);
        assert.ok(sum(all, task => task.resources.cores) <= shape.cores + CORES_TOLERANCE, `${name}: cores`);
        assert.ok(sum(all, task => task.resources.memoryBytes) <= shape.memoryBytes, `${name}: memory`);
        assert.ok(sum(all, task => task.resources.accelerators) <= shape.accelerators, `${name}: accelerators`);
        for (const task of added) {
            assert.ok(task.dataCentres.length === 0 || task.dataCentres.includes(dataCentre), `${name}: data centre`);
        }
    }
}

/** Asserts that placements don't exceed the teams' quota slices. */
export function assertQuotas(view: CellView, decisions: readonly Decision[]): void {
    const added = [...collectPlacements(view, decisions).values()].flat();
    for (const quota of view.quotas) {
        const own = added.filter(task => task.team === quota.team);
        assert.ok(sum(own, task => task.resources.cores) <= quota.cores + CORES_TOLERANCE, `${quota.team}: cores`);
        assert.ok(sum(own, task => task.resources.memoryBytes) <= quota.memoryBytes, `${quota.team}: memory`);
        assert.ok(sum(own, task => task.resources.accelerators) <= quota.accelerators, `${quota.team}: accelerators`);
    }
}

/** Asserts that each task has at most one decision and that none starts before its earliest start. */
export function assertOnce(view: CellView, decisions: readonly Decision[], now: number): void {
    const seen = new Set<string>();
    for (const decision of decisions) {
        if (!("taskId" in decision)) {
            continue;
        }
        assert.ok(!seen.has(decision.taskId), `two decisions on ${decision.taskId}`);
        seen.add(decision.taskId);
    }
    for (const task of [...collectPlacements(view, decisions).values()].flat()) {
        assert.ok(task.notBeforeMilliseconds <= now, `${task.taskId} started before its time`);
    }
}

function sum<Value>(values: readonly Value[], measure: (value: Value) => number): number {
    return values.reduce((total, value) => total + measure(value), 0);
}
