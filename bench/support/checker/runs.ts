/**
 * Runs of tasks and requests, put together from their starts and ends.
 */
import { pick } from "./evidence.js";
import type { Evidence } from "./evidence.js";

/** One attempt on one worker. */
export interface TaskRun {
    readonly worker: string;
    readonly taskId: string;
    readonly attempt: number;
    readonly rule: string;
    readonly kind: "service" | "batch";
    readonly cores: number;
    readonly memoryBytes: number;
    readonly accelerators: number;
    readonly startedAt: number;
    readonly endedAt: number;
    /** `running` where the log ends before the attempt. */
    readonly state: "running" | "finished" | "failed" | "stopped" | "lapsed" | "lost";
    readonly resumedProgress: number;
    readonly progress: number;
    readonly checkpointed: boolean;
    /** When the worker restarted before the cell's owner had taken note of the end: since then nobody can know of it. */
    readonly endLostAt?: number;
}

/** One run of a request on one worker. */
export interface RequestRun {
    readonly worker: string;
    readonly taskId: string;
    readonly attempt: number;
    readonly service: string;
    readonly call: string;
    readonly idempotencyKey: string;
    readonly startedAt: number;
    readonly endedAt: number;
    readonly outcome: string;
}

/**
 * An owner that has not taken note of an end for so long gets no excuse: the longest fault of a worker (15 s), a takeover
 * (6.8 s), and a renewal with its acknowledgement fit in.
 */
const NOTICE_LIMIT_MILLISECONDS = 30_000;

/** Puts task runs together. */
export function findTaskRuns({ workers, endedAt }: Evidence): TaskRun[] {
    const acknowledged = new Map(
        pick(workers, "attempt-acknowledged").map(note => [`${note.worker} ${note.taskId}#${note.attempt}`, note.at]),
    );
    const restarts = pick(workers, "worker");
    const findLoss = (worker: string, name: string, at: number) => {
        const restart = restarts.find(each => each.worker === worker && each.at > at);
        const isNoted = restart === undefined || (acknowledged.get(`${worker} ${name}`) ?? Infinity) <= restart.at;
        return isNoted || restart.at - at > NOTICE_LIMIT_MILLISECONDS ? undefined : restart.at;
    };
    const ends = new Map(
        pick(workers, "attempt-ended").map(end => [`${end.worker} ${end.taskId}#${end.attempt}`, end]),
    );
    return pick(workers, "attempt-started").map(start => {
        const end = ends.get(`${start.worker} ${start.taskId}#${start.attempt}`);
        const endLostAt = end === undefined
            ? undefined
            : findLoss(start.worker, `${start.taskId}#${start.attempt}`, end.at);
        return {
            worker: start.worker,
            taskId: start.taskId,
            attempt: start.attempt,
            rule: start.rule,
            kind: start.kind,
            cores: start.cores,
            memoryBytes: start.memoryBytes,
            accelerators: start.accelerators,
            startedAt: start.at,
            endedAt: end?.at ?? endedAt,
            state: end?.state ?? "running",
            resumedProgress: start.resumedProgress,
            progress: end?.progress ?? start.resumedProgress,
            checkpointed: end?.checkpointed ?? false,
            ...(endLostAt === undefined ? {} : { endLostAt }),
        };
    });
}

/** Puts request runs together. */
export function findRequestRuns({ workers, endedAt }: Evidence): RequestRun[] {
    const ends = new Map(pick(workers, "request-ended").map(end => [`${end.worker} ${end.run}`, end]));
    return pick(workers, "request-started").map(start => {
        const end = ends.get(`${start.worker} ${start.run}`);
        return {
            worker: start.worker,
            taskId: start.taskId,
            attempt: start.attempt,
            service: start.service,
            call: start.call,
            idempotencyKey: start.idempotencyKey,
            startedAt: start.at,
            endedAt: end?.at ?? endedAt,
            outcome: end?.outcome ?? "under way",
        };
    });
}
