/**
 * No instance is ever given more work than it can hold.
 */
import { groupBy, pick } from "./evidence.js";
import type { Evidence, Verdict } from "./evidence.js";
import { findTaskRuns } from "./runs.js";
import type { TaskRun } from "./runs.js";

interface Load {
    slots: number;
    cores: number;
    memoryBytes: number;
    accelerators: number;
}

const CORES_TOLERANCE = 1e-6;

/** Judges starts against slots, cores, memory and accelerators, and connections against the workers' limits. */
export function judgeCapacity(evidence: Evidence): Verdict {
    const shapes = new Map(pick(evidence.workers, "worker").map(shape => [shape.worker, shape]));
    const runs = findTaskRuns(evidence);
    const violations: string[] = [];
    for (const [worker, its] of groupBy(runs, run => run.worker)) {
        const shape = shapes.get(worker);
        if (shape === undefined) {
            violations.push(`${worker} runs tasks and is unknown`);
            continue;
        }
        violations.push(...findOverloads(worker, its, shape));
    }
    const refused = pick(evidence.workers, "connection-refused");
    violations.push(
        ...refused.map(record => `${record.worker} had ${record.open} connections and was offered another`),
    );
    return { promise: "no instance overloaded", opportunities: runs.length, violations, excused: [] };
}

function findOverloads(
    worker: string,
    runs: readonly TaskRun[],
    shape: Omit<Load, "slots"> & { slots: number; },
): string[] {
    const changes = runs.flatMap(run => [
        { at: run.startedAt, sign: 1, run },
        { at: run.endedAt, sign: -1, run },
    ]);
    // An end and a start at one moment: the end comes first.
    changes.sort((left, right) => left.at - right.at || left.sign - right.sign);
    const load: Load = { slots: 0, cores: 0, memoryBytes: 0, accelerators: 0 };
    const found: string[] = [];
    for (const { run, sign } of changes) {
        load.slots += sign;
        load.cores += sign * run.cores;
        load.memoryBytes += sign * run.memoryBytes;
        load.accelerators += sign * run.accelerators;
        const isOver = load.slots > shape.slots || load.cores > shape.cores + CORES_TOLERANCE
            || load.memoryBytes > shape.memoryBytes || load.accelerators > shape.accelerators;
        if (sign > 0 && isOver) {
            found.push(
                `${worker} at the start of ${run.taskId}#${run.attempt}: ${load.slots} slots, ${load.cores} cores, `
                    + `${load.memoryBytes} bytes, ${load.accelerators} accelerators`,
            );
        }
    }
    return found;
}
