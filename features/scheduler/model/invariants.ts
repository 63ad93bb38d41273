/**
 * Checker of invariants: it sees only what workers do, and shares no code with the scheduler.
 */
import type { WorkerRecord } from "../../../stand-ins/worker/index.js";
import type { ModelWorkers } from "./worker.js";

/** What the checker has seen. */
export interface Invariants {
    readonly observe: (record: WorkerRecord) => void;
    readonly violations: readonly string[];
    /** Starts of attempts, restarts of evicted ones, and takeovers of running ones: what could have gone wrong. */
    readonly opportunities: { starts: number; resumptions: number; };
    readonly finished: ReadonlyMap<string, Finish>;
    /** Tasks that run now, with their rules. */
    running(): ReadonlyMap<string, string>;
}

/** Where and when a task finished. */
interface Finish {
    readonly worker: string;
    readonly at: number;
}

/** An owner that has not heard of a worker for about two leases may take its tasks for lost, finished ones too. */
const SILENCE_MILLISECONDS = 5_000;

type Started = Extract<WorkerRecord, { event: "attempt-started"; }>;

/** Creates the checker. */
export function createInvariants(workers: ModelWorkers, clock: () => number): Invariants {
    const violations: string[] = [];
    const finished = new Map<string, Finish>();
    const lastAttempt = new Map<string, number>();
    const checkpoints = new Map<string, number>();
    const opportunities = { starts: 0, resumptions: 0 };

    /** Attempts that run anywhere at this moment; leases that have lapsed by now count as ended. */
    const listActive = () =>
        [...workers.all.values()].flatMap(worker =>
            worker.attempts.active()
                .filter(({ leaseUntilMilliseconds }) => leaseUntilMilliseconds > clock())
                .map(attempt => ({ worker: worker.instance, attempt }))
        );

    const checkPlace = (record: Started) => {
        const others = listActive().filter(({ worker, attempt }) =>
            attempt.order.taskId === record.taskId
            && !(worker.name === record.worker && attempt.order.attempt === record.attempt)
        );
        for (const { worker, attempt } of others) {
            violations.push(
                `one place: ${record.taskId}#${record.attempt} started on ${record.worker}`
                    + ` while #${attempt.order.attempt} runs on ${worker.name}`,
            );
        }
    };

    const couldReport = ({ worker, at }: Finish) => {
        const finisher = [...workers.all.values()].find(({ instance }) => instance.name === worker);
        return finisher?.state === "well" && finisher.lastFaultAtMilliseconds < at - SILENCE_MILLISECONDS;
    };

    const checkOnce = (record: Started) => {
        const before = lastAttempt.get(record.taskId) ?? 0;
        if (record.attempt <= before) {
            violations.push(`resume once: ${record.taskId}#${record.attempt} started after #${before}`);
        }
        const end = finished.get(record.taskId);
        if (end !== undefined && couldReport(end)) {
            violations.push(`once: ${record.taskId}#${record.attempt} started after it had finished`);
        }
        lastAttempt.set(record.taskId, Math.max(before, record.attempt));
        const checkpoint = checkpoints.get(record.taskId);
        if (checkpoint !== undefined) {
            opportunities.resumptions += 1;
            if (record.resumedProgress > checkpoint) {
                violations.push(
                    `checkpoint: ${record.taskId} resumed at ${record.resumedProgress} beyond ${checkpoint}`,
                );
            }
        }
    };

    const checkCapacity = (record: Started) => {
        const here = listActive().filter(({ worker }) => worker.name === record.worker);
        const shape = here[0]?.worker.shape;
        const cores = here.reduce((sum, { attempt }) => sum + attempt.order.resources.cores, 0);
        if (shape !== undefined && (here.length > shape.slots || cores > shape.cores)) {
            violations.push(`capacity: ${record.worker} runs ${here.length} tasks with ${cores} cores`);
        }
    };

    return {
        violations,
        opportunities,
        finished,
        running: () => new Map(listActive().map(({ attempt }) => [attempt.order.taskId, attempt.rule])),
        observe(record) {
            if (record.event === "attempt-started") {
                opportunities.starts += 1;
                checkPlace(record);
                checkOnce(record);
                // The worker counts the new attempt as active once this record has been written.
                queueMicrotask(() => checkCapacity(record));
            }
            if (record.event === "attempt-ended") {
                if (record.state === "finished") {
                    finished.set(record.taskId, { worker: record.worker, at: record.at });
                }
                if (record.checkpointed) {
                    checkpoints.set(record.taskId, Math.max(checkpoints.get(record.taskId) ?? 0, record.progress));
                }
            }
        },
    };
}
