/**
 * Stand-in of a users' worker: runs tasks under a lease, and writes down what a judge has to know.
 */
import { serveJson } from "./http.js";
import type { RequestFault, StandInAnswer, StandInRequest } from "./http.js";
import type { UsersStore } from "./store.js";

/** A run as the judge sees it. */
export interface RunRecord {
    readonly task: string;
    readonly attempt: number;
    readonly worker: string;
    readonly startedAt: number;
    endedAt: number | undefined;
    how: string | undefined;
    /** An owner has acknowledged the end before the worker's lease lapsed. */
    isAcknowledged: boolean;
}

interface Run extends RunRecord {
    readonly millicores: number;
    /** Absent where the task lasts. */
    readonly timer: NodeJS.Timeout | undefined;
}

interface End {
    readonly sequence: number;
    readonly run: Run;
    isForgotten: boolean;
    hasLeaseLapsed: boolean;
}

/** What a task of the tests does; it stands in the job's `spec`. */
export interface TaskScript {
    /** Absent where the task lasts until it is stopped. */
    readonly milliseconds?: number;
    readonly millicores: number;
    readonly fails?: boolean;
    /** Crashes the worker that starts it. */
    readonly crashes?: boolean;
}

/** A worker that is served. */
export interface UsersWorker {
    readonly id: string;
    readonly runs: readonly RunRecord[];
    /** Most thousandths of a core that were in use at one time. */
    readonly peakMillicores: number;
    /** Times of the starts that brought it over its capacity, except shortly after the capacity had shrunk. */
    readonly startsOverCapacity: readonly number[];
    /** Reports that told of at least one end. */
    readonly reportsWithEnds: number;
    /** Chooses the fault of each order, also by the owner's epoch that it carries; tests set it. */
    fault: (path: string, epoch: number) => RequestFault;
    /** Changes the capacity, in thousandths of a core; what runs goes on. */
    resize(millicores: number): void;
    /** Cuts its links: it runs on, neither answers nor renews its entry, and its entry is removed in time. */
    disconnect(): void;
    /** Ends that; it carries out the calls that have been held up. */
    reconnect(): void;
    /** Cuts its power: what runs ends at once, and nothing is heard of it any more. */
    cutPower(): void;
    /** Starts it again after its power was cut, under the same id and at the same address: it knows nothing of before. */
    restart(): void;
    /** Stops all runs and the server. */
    close(): Promise<void>;
}

const HEARTBEAT_MILLISECONDS = 300;
/** The platform removes an entry after three intervals of silence. */
const EXPIRY_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;
/** A longer lease is shortened to this. */
export const LONGEST_LEASE_MILLISECONDS = 10_000;
/** A report lists this many ends at most; the others follow once these are acknowledged. */
const ENDS_PER_REPORT = 500;
/** Starts that exceed a capacity which has shrunk within this time do not count: three seconds and a heartbeat. */
const SHRINK_GRACE_MILLISECONDS = 3_000 + HEARTBEAT_MILLISECONDS;
/** Time from the start of a task that crashes its worker to the crash. */
const CRASH_MILLISECONDS = 10;
export const WORKER_MILLICORES = 8_000;

/** Starts a worker and registers it. */
export async function startUsersWorker(
    { id, now, onCrash, pool, store }: {
        id: string;
        now: () => number;
        pool: string;
        store: UsersStore;
        /** Called when a task has crashed the worker. */
        onCrash?: () => void;
    },
): Promise<UsersWorker> {
    let born = Math.round(now());
    const clock = (): number => Math.round(now()) - born + 1_000;
    const runs: Run[] = [];
    const known = new Map<string, number>();
    let ends: End[] = [];
    const startsOverCapacity: number[] = [];
    let capacityMillicores = WORKER_MILLICORES;
    let resizedAt = -Infinity;
    let fence = 0;
    let leaseUntil = 0;
    let sequence = 0;
    let peak = 0;
    let reportsWithEnds = 0;

    const active = (): Run[] => runs.filter(({ endedAt }) => endedAt === undefined);
    const end = (run: Run, how: string): void => {
        if (run.endedAt === undefined) {
            clearTimeout(run.timer);
            run.endedAt = now();
            run.how = how;
            sequence += 1;
            ends.push({ sequence, run, isForgotten: false, hasLeaseLapsed: false });
        }
    };
    const lapse = setInterval(() => {
        if (clock() > leaseUntil) {
            active().forEach(run => end(run, "lapsed"));
            ends.filter(({ isForgotten }) => !isForgotten).forEach(entry => {
                entry.hasLeaseLapsed = true;
            });
        }
    }, 20);

    const start = (body: Record<string, unknown>): StandInAnswer => {
        const { attempt, deadlineMs, spec, task } = body as {
            task: string;
            attempt: number;
            spec: string;
            deadlineMs: number;
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
        const { crashes = false, fails = false, millicores, milliseconds } = JSON.parse(spec) as TaskScript;
        known.set(task, attempt);
        const run: Run = {
            task,
            attempt,
            worker: id,
            startedAt: now(),
            endedAt: undefined,
            how: undefined,
            isAcknowledged: false,
            millicores,
            timer: milliseconds === undefined
                ? undefined
                : setTimeout(() => end(run, fails ? "failed" : "done"), milliseconds),
        };
        runs.push(run);
        if (crashes) {
            setTimeout(() => void crash(), CRASH_MILLISECONDS);
        }
        const usedMillicores = active().reduce((sum, other) => sum + other.millicores, 0);
        peak = Math.max(peak, usedMillicores);
        if (usedMillicores > capacityMillicores && now() - resizedAt > SHRINK_GRACE_MILLISECONDS) {
            startsOverCapacity.push(now());
        }
        return { status: 200, body: { clockMs: clock() } };
    };

    const stop = ({ attempt, task }: Record<string, unknown>): StandInAnswer => {
        known.set(String(task), Math.max(known.get(String(task)) ?? 0, Number(attempt)));
        active().filter(run => run.task === task && run.attempt === attempt).forEach(run => end(run, "stopped"));
        return { status: 200, body: { clockMs: clock() } };
    };

    const hold = async ({ acknowledged, waitMs = 0 }: Record<string, unknown>): Promise<StandInAnswer> => {
        ends.filter(entry => entry.sequence <= Number(acknowledged)).forEach(entry => {
            entry.isForgotten = true;
            entry.run.isAcknowledged = !entry.hasLeaseLapsed;
        });
        const open = () => ends.filter(({ isForgotten }) => !isForgotten);
        const until = now() + Number(waitMs);
        while (open().length === 0 && now() < until) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        reportsWithEnds += open().length > 0 ? 1 : 0;
        return {
            status: 200,
            body: {
                clockMs: clock(),
                born,
                running: active().map(run => [run.task, run.attempt, "", run.timer === undefined ? 100 : 50, 0]),
                finished: open().slice(0, ENDS_PER_REPORT)
                    .map(({ run, sequence: number }) => [number, run.task, run.attempt, run.how, ""]),
            },
        };
    };

    const answer = async (request: StandInRequest): Promise<StandInAnswer> => {
        const { body, headers, url: { pathname: path } } = request;
        if (headers["target-instance"] !== id) {
            return { status: 421 };
        }
        const token = Number(body["fencingToken"] ?? 0);
        if (token < fence) {
            return { status: 409, body: { clockMs: clock(), reason: "fence" } };
        }
        fence = token;
        leaseUntil = Math.max(
            leaseUntil,
            Math.min(Number(body["deadlineMs"] ?? 0), clock() + LONGEST_LEASE_MILLISECONDS),
        );
        switch (path) {
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
    const shutDown = async (): Promise<void> => {
        clearInterval(lapse);
        clearInterval(beat);
        clearTimeout(expiry);
        active().forEach(run => end(run, "lost"));
        await server.close();
    };
    /** Ends all runs without a report, and stops listening; the entry is removed when it expires. */
    const crash = async (): Promise<void> => {
        closed ??= shutDown();
        await closed;
        setTimeout(() => store.remove(key), EXPIRY_MILLISECONDS);
        onCrash?.();
    };
    let closed: Promise<void> | undefined;
    const worker = {
        id,
        runs,
        startsOverCapacity,
        resize(millicores: number) {
            capacityMillicores = millicores;
            resizedAt = now();
            register();
        },
        get reportsWithEnds() {
            return reportsWithEnds;
        },
        get peakMillicores() {
            return peak;
        },
        fault: (): RequestFault => "none",
        close: () => closed ??= shutDown(),
        disconnect() {
            server.disconnect();
            clearInterval(beat);
            clearTimeout(expiry);
            expiry = setTimeout(() => store.remove(key), EXPIRY_MILLISECONDS);
        },
        reconnect() {
            server.reconnect();
            startBeat();
        },
        cutPower() {
            worker.disconnect();
            active().forEach(run => {
                clearTimeout(run.timer);
                run.endedAt = now();
                run.how = "power-cut";
            });
        },
        restart() {
            born = Math.round(now());
            known.clear();
            ends = [];
            fence = 0;
            leaseUntil = 0;
            sequence = 0;
            beats = 0;
            server.reset();
            startBeat();
        },
    };
    const started: UsersWorker = worker;
    const server = await serveJson(
        answer,
        ({ body, url }) => started.fault(url.pathname, Number(body["fencingToken"] ?? 0)),
    );
    const { address } = server;
    const key = `servers/${id}`;
    let beats = 0;
    let beat: NodeJS.Timeout | undefined;
    let expiry: NodeJS.Timeout | undefined;
    const register = (): void =>
        store.write(key, {
            service: pool,
            address,
            zone: "levi",
            version: "1",
            slots: 8,
            state: "ready",
            coldLeftMs: 0,
            sequence: beats++,
            born,
            capacity: { cpu: capacityMillicores, memMb: 64_000, gpu: 0 },
            labels: ["a", "r1-1"],
        });
    const startBeat = (): void => {
        clearTimeout(expiry);
        register();
        beat = setInterval(register, HEARTBEAT_MILLISECONDS);
    };
    startBeat();
    return started;
}
