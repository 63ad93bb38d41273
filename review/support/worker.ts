/**
 * Stand-in of a worker, as PROTOCOL.md describes it: runs tasks under a lease, and lists their ends until these are
 * acknowledged, 500 at a time.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { GangEnd, Gangs } from "./gangs.js";
import { serveJson } from "./http.js";
import type { JsonAnswer, JsonRequest, JsonServer } from "./http.js";
import { createLife, percentOf } from "./life.js";
import type { Recorder } from "./record.js";
import { createRegistration } from "./registration.js";
import type { Store } from "./store.js";

/** How a run ends; `crashed` is not listed by the worker. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "crashed" | GangEnd;

/** What a task does on the worker. */
export type TaskBehavior =
    | {
        readonly kind: "ends";
        readonly how: "done" | "failed";
        readonly milliseconds: number;
        readonly lasts?: boolean;
    }
    | { readonly kind: "lasts"; }
    /** Works together with the other members of the run. */
    | { readonly kind: "gang"; readonly size: number; readonly milliseconds: number; readonly gangs: Gangs; }
    /** Ends the worker's process. */
    | { readonly kind: "crashes"; readonly milliseconds: number; };

/** A run, for the judge. */
export interface Run {
    readonly task: string;
    readonly attempt: number;
    readonly worker: string;
    readonly startedAt: number;
    endedAt: number | undefined;
    how: RunEnd | undefined;
    /** When `acknowledged` reached the end. */
    acknowledgedAt: number | undefined;
    /** Whether the worker's lease lapsed between the end and its acknowledgement. */
    hasLapsedSince: boolean;
}

/** A worker. */
export interface Worker {
    readonly id: string;
    readonly runs: readonly Run[];
    /** Number of times that a task has crashed it. */
    readonly crashes: number;
    /** Ends the process at once; it is started again later. */
    crash(): Promise<void>;
    /** Cuts its power: nothing answers, and what runs ends; after the time it starts again and knows nothing. */
    losePower(milliseconds: number): Promise<void>;
    /** Cuts its links: calls and answers are held up, and its entry is not renewed. */
    cut(milliseconds: number): void;
    close(): Promise<void>;
}

/** Options of a worker. */
export interface WorkerOptions {
    readonly id: string;
    readonly pool: string;
    readonly store: Store;
    readonly recorder: Recorder;
    behave(task: string, spec: string, attempt: number): TaskBehavior;
    /** Time from a crash to the restart under the same id and address. */
    readonly restartMilliseconds?: number;
    /** A longer lease is shortened to this; `holdMaxMs` of the settings. */
    readonly longestLeaseMilliseconds?: number;
    /** Called before an order is carried out. */
    readonly onOrder?: (worker: Worker, path: string) => void;
}

const LONGEST_LEASE_MILLISECONDS = 6_000;
const ENDS_PER_REPORT = 500;
const LOOK_MILLISECONDS = 5;
const DEFAULT_RESTART_MILLISECONDS = 2_000;

/** Starts a worker and registers it in the store. */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
    const { id, pool, recorder, store } = options;
    const { restartMilliseconds = DEFAULT_RESTART_MILLISECONDS } = options;
    const { longestLeaseMilliseconds = LONGEST_LEASE_MILLISECONDS } = options;
    let cutUntil = 0;
    let hasPower = true;
    const runs: Run[] = [];
    let crashes = 0;
    let isClosed = false;
    let life = createLife();
    let server: JsonServer | undefined;
    const clock = (): number => Math.floor(performance.now() - life.startedAt) + 1_000;
    const nameOf = ({ attempt, task }: { task: string; attempt: number; }): string => `${task}#${attempt}`;

    const endRun = (run: Run, how: RunEnd): void => {
        const entry = life.active.get(nameOf(run));
        if (entry === undefined) {
            return;
        }
        clearTimeout(entry.timer);
        life.active.delete(nameOf(run));
        entry.leave();
        run.endedAt = performance.now();
        run.how = how;
        recorder.write("run-ended", { worker: id, task: run.task, attempt: run.attempt, how });
        life.sequence += 1;
        life.ends.push({ sequence: life.sequence, run });
    };

    const endAllRuns = (): void => {
        const ended = [...life.active.values()];
        life.active.clear();
        ended.forEach(({ run, timer }) => {
            clearTimeout(timer);
            run.endedAt = performance.now();
            run.how = "crashed";
            recorder.write("run-ended", { worker: id, task: run.task, attempt: run.attempt, how: run.how });
        });
        ended.forEach(({ leave }) => leave());
    };

    const crash = async (): Promise<void> => {
        crashes += 1;
        recorder.write("worker-crashed", { worker: id, running: life.active.size });
        endAllRuns();
        registration.stop();
        await restart(restartMilliseconds, false);
    };

    /** Starts another life after the time; a machine without power neither answers nor refuses meanwhile. */
    const restart = async (milliseconds: number, isSilent: boolean): Promise<void> => {
        const port = server?.port ?? 0;
        if (isSilent) {
            await delay(milliseconds);
        }
        await server?.close();
        server = undefined;
        if (!isSilent) {
            await delay(milliseconds);
        }
        if (isAlreadyClosed()) {
            return;
        }
        life = createLife();
        hasPower = true;
        server = await serveJson(answer, port);
        recorder.write("worker-restarted", { worker: id, born: life.born });
        registration.begin();
    };
    const isAlreadyClosed = (): boolean => isClosed;

    const startRun = (task: string, attempt: number, spec: string): void => {
        const run: Run = {
            task,
            attempt,
            worker: id,
            startedAt: performance.now(),
            endedAt: undefined,
            how: undefined,
            acknowledgedAt: undefined,
            hasLapsedSince: false,
        };
        runs.push(run);
        recorder.write("run-started", { worker: id, task, attempt });
        const behavior = options.behave(task, spec, attempt);
        const timer = behavior.kind === "ends"
            ? setTimeout(() => endRun(run, behavior.how), behavior.milliseconds)
            : behavior.kind === "crashes"
            ? setTimeout(() => void crash(), behavior.milliseconds)
            : undefined;
        const endInGang = (how: GangEnd): void => endRun(run, how);
        const gang = `${task.slice(0, task.lastIndexOf("."))}#${attempt}`;
        life.active.set(nameOf(run), {
            run,
            timer,
            leave: () => behavior.kind === "gang" ? behavior.gangs.leave(gang, endInGang) : undefined,
            milliseconds: behavior.kind === "lasts" || behavior.kind === "ends" && behavior.lasts === true
                ? undefined
                : behavior.milliseconds,
        });
        if (behavior.kind === "gang") {
            behavior.gangs.join(gang, behavior.size, behavior.milliseconds, endInGang);
        }
    };

    const start = (body: Readonly<Record<string, unknown>>): JsonAnswer => {
        const { attempt, deadlineMs, spec, task } = body as {
            task: string;
            attempt: number;
            spec: string;
            deadlineMs: number;
        };
        if (life.active.has(nameOf({ task, attempt }))) {
            return { status: 200, body: { clockMs: clock() } };
        }
        if (attempt <= (life.known.get(task) ?? 0)) {
            return { status: 409, body: { clockMs: clock(), reason: "old" } };
        }
        if (deadlineMs <= clock()) {
            return { status: 409, body: { clockMs: clock(), reason: "late" } };
        }
        life.known.set(task, attempt);
        startRun(task, attempt, spec);
        return { status: 200, body: { clockMs: clock() } };
    };

    const stop = (body: Readonly<Record<string, unknown>>): JsonAnswer => {
        const { attempt, task } = body as { task: string; attempt: number; };
        life.known.set(task, Math.max(life.known.get(task) ?? 0, attempt));
        const entry = life.active.get(nameOf({ task, attempt }));
        if (entry !== undefined) {
            endRun(entry.run, "stopped");
        }
        return { status: 200, body: { clockMs: clock() } };
    };

    const hold = async (body: Readonly<Record<string, unknown>>): Promise<JsonAnswer> => {
        const asked = life;
        const acknowledged = Number(body["acknowledged"] ?? 0);
        const now = performance.now();
        life.ends.filter(({ sequence }) => sequence <= acknowledged).forEach(({ run }) => {
            run.acknowledgedAt = now;
        });
        life.ends = life.ends.filter(({ sequence }) => sequence > acknowledged);
        const until = now + Number(body["waitMs"] ?? 0);
        while (asked === life && life.ends.length === 0 && performance.now() < until) {
            await delay(LOOK_MILLISECONDS);
        }
        return {
            status: 200,
            body: {
                clockMs: clock(),
                born: life.born,
                running: [...life.active.values()].map(({ milliseconds, run }) => [
                    run.task,
                    run.attempt,
                    "",
                    percentOf(run, milliseconds),
                    0,
                ]),
                finished: life.ends.slice(0, ENDS_PER_REPORT)
                    .map(({ run, sequence }) => [sequence, run.task, run.attempt, run.how, ""]),
            },
        };
    };

    const whenConnected = async (): Promise<void> => {
        while (performance.now() < cutUntil) {
            await delay(LOOK_MILLISECONDS);
        }
    };

    const answer = async (request: JsonRequest): Promise<JsonAnswer> => {
        const asked = life;
        await whenConnected();
        if (hasPower) {
            options.onOrder?.(worker, request.url.pathname);
        }
        if (!hasPower || asked !== life) {
            return undefined;
        }
        const found = await carryOut(request);
        await whenConnected();
        return asked === life ? found : undefined;
    };

    const carryOut = async ({ body, headers, url: { pathname } }: JsonRequest): Promise<JsonAnswer> => {
        if (headers["target-instance"] !== id) {
            return { status: 421, body: { clockMs: clock() } };
        }
        const token = Number(body["fencingToken"] ?? 0);
        if (token < life.fence) {
            recorder.write("order-fenced", { worker: id, path: pathname, token, fence: life.fence });
            return { status: 409, body: { clockMs: clock(), reason: "fence" } };
        }
        life.fence = token;
        const deadline = Math.min(Number(body["deadlineMs"] ?? 0), clock() + longestLeaseMilliseconds);
        life.leaseUntil = Math.max(life.leaseUntil, deadline);
        switch (pathname) {
            case "/run-start":
                return start(body);
            case "/run-stop":
                return stop(body);
            case "/hold":
                return hold(body);
            case "/pace":
                return { status: 200, body: { clockMs: clock() } };
            default:
                return { status: 404 };
        }
    };

    const lapse = setInterval(() => {
        if (clock() > life.leaseUntil) {
            [...life.active.values()].forEach(({ run }) => endRun(run, "lapsed"));
            life.ends.forEach(({ run }) => {
                run.hasLapsedSince = true;
            });
        }
    }, LOOK_MILLISECONDS);

    const registration = createRegistration({
        id,
        pool,
        store,
        describe: () => ({ port: server?.port ?? 0, born: life.born }),
        isCut: () => performance.now() < cutUntil,
    });
    server = await serveJson(answer);
    registration.begin();
    const worker: Worker = {
        id,
        runs,
        get crashes() {
            return crashes;
        },
        crash,
        async losePower(milliseconds) {
            recorder.write("worker-without-power", { worker: id, milliseconds });
            hasPower = false;
            endAllRuns();
            registration.stop();
            await restart(milliseconds, true);
        },
        cut(milliseconds) {
            recorder.write("worker-cut", { worker: id, milliseconds });
            cutUntil = performance.now() + milliseconds;
        },
        async close() {
            isClosed = true;
            clearInterval(lapse);
            registration.stop();
            life.active.forEach(({ timer }) => clearTimeout(timer));
            await server?.close();
        },
    };
    return worker;
}
