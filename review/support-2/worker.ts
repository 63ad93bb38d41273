/**
 * Stand-in of a worker that follows the users' pages: leases, generation numbers, run numbers, numbered ends, lives.
 */
import type { UsersStore } from "../../stand-ins/users-platform/store.js";
import { serveJson } from "./http.js";
import type { RequestFault, StandInAnswer, StandInRequest, StandInServer } from "./http.js";

/** What a task does; it stands in the job's `spec`. */
export interface TaskScript {
    /** Absent where the task lasts until it is stopped. */
    readonly milliseconds?: number;
    /** Crashes the worker that starts it; the worker is back after `RETURN_MILLISECONDS`. */
    readonly crashes?: boolean;
}

/** A run as the judge sees it. */
export interface Run {
    readonly task: string;
    readonly attempt: number;
    readonly worker: string;
    /** Whether an owner has acknowledged the end. */
    isAcknowledged: boolean;
    /** Labels of the life that runs it. */
    readonly labels: readonly string[];
    readonly isLasting: boolean;
    readonly startedAt: number;
    endedAt: number | undefined;
    how: string | undefined;
}

/** Properties of one life of a worker. */
export interface Life {
    readonly labels: readonly string[];
    readonly millicores: number;
}

/** A worker that is served. */
export interface Worker {
    readonly id: string;
    readonly runs: readonly Run[];
    /** Ends the life like a crash: its runs end, its connections are reset, its port stops listening. */
    crash(): Promise<void>;
    /** Begins another life under the same id and at the same address, and registers it at once. */
    restart(life: Life): Promise<void>;
    close(): Promise<void>;
}

/** Options of a worker. */
export interface WorkerOptions extends Life {
    readonly id: string;
    readonly pool: string;
    readonly store: UsersStore;
    readonly now: () => number;
    /** Chooses what happens to an order on its way. */
    readonly fault?: (path: string) => RequestFault;
    readonly record: (event: string, fields: object) => void;
}

/** Interval of heartbeats, as in the settings of the processes. */
export const HEARTBEAT_MILLISECONDS = 1_500;
/** Longest lease that a worker grants, as `holdMaxMs` in the settings. */
export const LONGEST_LEASE_MILLISECONDS = 10_000;
/** Ends in one answer. */
const ENDS_PER_REPORT = 500;
/** Time from the start of a task that crashes its worker to the crash. */
const CRASH_MILLISECONDS = 10;
/** Time from such a crash to the worker's return; the pages say "some seconds". */
const RETURN_MILLISECONDS = 2_000;
/** Time of a stop; the pages allow `stopTimeoutMs`. */
const STOP_MILLISECONDS = 50;
/** Time from the start of a lasting task until it is at work. */
const START_UP_MILLISECONDS = 300;

interface RunningTask extends Run {
    readonly milliseconds: number | undefined;
    readonly timer: NodeJS.Timeout | undefined;
}

interface End {
    readonly sequence: number;
    readonly run: Run;
}

/** Starts a worker and registers it. */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
    const { fault = () => "none", id, now, pool, record, store } = options;
    const runs: RunningTask[] = [];
    let life: Life = options;
    let born = 0;
    let bornAt = 0;
    let known = new Map<string, number>();
    let ends: End[] = [];
    let fence = 0;
    let leaseUntil = 0;
    let sequence = 0;
    let beats = 0;
    let beat: NodeJS.Timeout | undefined;
    let server: StandInServer | undefined;
    let port = 0;
    let isUp = false;
    let isClosed = false;

    const clock = (): number => Math.round(performance.now() - bornAt) + 1;
    const active = (): RunningTask[] => runs.filter(({ endedAt }) => endedAt === undefined);
    const end = (run: RunningTask, how: string): void => {
        if (run.endedAt === undefined) {
            clearTimeout(run.timer);
            run.endedAt = now();
            run.how = how;
            record("end", { task: run.task, attempt: run.attempt, worker: id, how });
            if (how !== "crashed") {
                sequence += 1;
                ends.push({ sequence, run });
            }
        }
    };
    const lapse = setInterval(() => {
        if (isUp && clock() > leaseUntil) {
            active().forEach(run => end(run, "lapsed"));
        }
    }, 10);

    const start = (body: Record<string, unknown>): StandInAnswer => {
        const { attempt, deadlineMs, spec, task } = body as {
            attempt: number;
            deadlineMs: number;
            spec: string;
            task: string;
        };
        if (active().some(run => run.task === task && run.attempt === attempt)) {
            return { status: 200, body: { clockMs: clock() } };
        }
        if (attempt <= (known.get(task) ?? 0)) {
            return { status: 409, body: { clockMs: clock(), reason: "old" } };
        }
        if (deadlineMs <= clock()) {
            return { status: 409, body: { clockMs: clock(), reason: "late" } };
        }
        const { crashes = false, milliseconds } = JSON.parse(spec) as TaskScript;
        known.set(task, attempt);
        const run: RunningTask = {
            task,
            attempt,
            worker: id,
            labels: life.labels,
            isLasting: milliseconds === undefined,
            startedAt: now(),
            endedAt: undefined,
            how: undefined,
            isAcknowledged: false,
            milliseconds,
            timer: milliseconds === undefined ? undefined : setTimeout(() => end(run, "done"), milliseconds),
        };
        runs.push(run);
        if (crashes) {
            setTimeout(() => void crashAndReturn(), CRASH_MILLISECONDS);
        }
        record("start", { task, attempt, worker: id, labels: life.labels, born, token: body["fencingToken"] });
        return { status: 200, body: { clockMs: clock() } };
    };
    const stop = ({ attempt, task }: Record<string, unknown>): StandInAnswer => {
        known.set(String(task), Math.max(known.get(String(task)) ?? 0, Number(attempt)));
        const stopped = active().filter(run => run.task === task && run.attempt === attempt);
        setTimeout(() => stopped.forEach(run => end(run, "stopped")), STOP_MILLISECONDS);
        return { status: 200, body: { clockMs: clock() } };
    };
    const describe = (run: RunningTask): unknown[] => {
        const elapsed = now() - run.startedAt;
        const percent = run.milliseconds === undefined
            ? elapsed > START_UP_MILLISECONDS ? 100 : 0
            : Math.min(99, 100 * elapsed / run.milliseconds);
        return [run.task, run.attempt, "", Math.floor(percent), 0];
    };
    const hold = async (body: Record<string, unknown>): Promise<StandInAnswer> => {
        const bornAtArrival = born;
        ends.filter(({ sequence: number }) => number <= Number(body["acknowledged"])).forEach(({ run }) => {
            run.isAcknowledged = true;
        });
        ends = ends.filter(({ sequence: number }) => number > Number(body["acknowledged"]));
        const until = now() + Number(body["waitMs"] ?? 0);
        while (ends.length === 0 && now() < until && bornAtArrival === born) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        return {
            status: 200,
            body: {
                clockMs: clock(),
                born,
                running: active().map(describe),
                finished: ends.slice(0, ENDS_PER_REPORT)
                    .map(({ run, sequence: number }) => [number, run.task, run.attempt, run.how, ""]),
            },
        };
    };
    const answer = ({ body, headers, url: { pathname } }: StandInRequest): Promise<StandInAnswer> | StandInAnswer => {
        if (headers["target-instance"] !== id) {
            return { status: 421 };
        }
        const token = Number(body["fencingToken"] ?? 0);
        if (token < fence) {
            return { status: 409, body: { clockMs: clock(), reason: "fence" } };
        }
        fence = token;
        const deadline = Math.min(Number(body["deadlineMs"] ?? 0), clock() + LONGEST_LEASE_MILLISECONDS);
        leaseUntil = Math.max(leaseUntil, deadline);
        switch (pathname) {
            case "/run-start":
                return start(body);
            case "/run-stop":
                return stop(body);
            case "/hold":
                return hold(body);
            default:
                return { status: 200, body: { clockMs: clock() } };
        }
    };
    const register = (): void =>
        store.write(`servers/${id}`, {
            service: pool,
            address: server?.address,
            zone: "lappi-rovaniemi",
            version: "1",
            slots: 8,
            state: "ready",
            coldLeftMs: 0,
            sequence: beats++,
            born,
            capacity: { cpu: life.millicores, memMb: 125_000, gpu: 0 },
            labels: life.labels,
        });
    const begin = async (): Promise<void> => {
        born = Math.round(now());
        bornAt = performance.now();
        known = new Map();
        ends = [];
        fence = 0;
        leaseUntil = 0;
        sequence = 0;
        beats = 0;
        server = await serveJson(answer, ({ url }) => fault(url.pathname), port);
        port = Number(server.address.split(":")[1]);
        isUp = true;
        record("worker-born", { worker: id, born, labels: life.labels, address: server.address });
        register();
        beat = setInterval(register, HEARTBEAT_MILLISECONDS);
    };
    const crash = async (): Promise<void> => {
        if (isUp) {
            isUp = false;
            clearInterval(beat);
            record("worker-crashed", { worker: id, born });
            active().forEach(run => end(run, "crashed"));
            await server?.close();
        }
    };
    const crashAndReturn = async (): Promise<void> => {
        if (isUp) {
            await crash();
            await new Promise(resolve => setTimeout(resolve, RETURN_MILLISECONDS));
            if (!isClosed) {
                await begin();
            }
        }
    };
    await begin();
    return {
        id,
        runs,
        crash,
        async restart(next) {
            life = next;
            await begin();
        },
        async close() {
            isClosed = true;
            await crash();
            clearInterval(lapse);
        },
    };
}
