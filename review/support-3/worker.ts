/**
 * Stand-in of a users' worker, written for this review: runs tasks under a lease as the platform's pages describe.
 *
 * Beyond answering, it can lose power and come back under its id, carry out one start order late, and refuse connections.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Recorder } from "./record.js";

/** A run of a task on a worker. */
export interface Run {
    readonly task: string;
    readonly attempt: number;
    readonly worker: string;
    readonly startedAt: number;
    endedAt: number | undefined;
    how: string | undefined;
}

/** What the tasks of a job do; the job's `spec` holds it as JSON. */
export interface TaskScript {
    /** Absent for a task that lasts until it is stopped. */
    readonly milliseconds?: number;
}

/** Options of a worker. */
export interface WorkerOptions {
    readonly id: string;
    readonly pool: string;
    readonly zone: string;
    readonly rack: string;
    readonly recorder: Recorder;
    /** Writes the worker's entry to the platform's store. */
    register(id: string, entry: object): void;
    /** Removes the entry, as the platform does after three missed heartbeats. */
    unregister(id: string): void;
}

/** A worker that is served. */
export interface Worker {
    readonly id: string;
    readonly runs: readonly Run[];
    /** Number of orders that have arrived. */
    readonly orders: number;
    /**
     * Chooses the start orders that are left unanswered, and after how many milliseconds such an order is carried out, if the worker is up
     * then; `undefined` for the others.
     */
    chooseDelay: (task: string) => number | undefined;
    cutPower(): void;
    /** Starts the worker again, under its id and at its address; it knows nothing of before. */
    restorePower(): void;
    /** Refuses connections and resets those that are open; what runs goes on. */
    refuseConnections(): Promise<void>;
    acceptConnections(): Promise<void>;
    close(): Promise<void>;
}

const HEARTBEAT_MILLISECONDS = 1_100;
/** Longest lease that the worker grants: `holdMaxMs` of the site. */
export const LONGEST_LEASE_MILLISECONDS = 6_000;
/** Time that a stop takes; `stopTimeoutMs` is the most. */
const STOP_MILLISECONDS = 100;
/** Time until a lasting task is at work. */
const STARTUP_MILLISECONDS = 400;
const ENDS_PER_REPORT = 500;
const HOST = "127.0.0.1";

interface Reply {
    readonly status: number;
    readonly body?: object;
}

interface End {
    readonly sequence: number;
    readonly run: Run;
}

/** One life of a worker: what it forgets when it starts again. */
interface Life {
    readonly born: number;
    readonly runs: Map<Run, { timer: NodeJS.Timeout | undefined; readonly script: TaskScript; }>;
    /** Highest run of each task that was started or stopped. */
    readonly latest: Map<string, number>;
    ends: End[];
    sequence: number;
    fence: number;
    leaseUntil: number;
    beats: number;
}

/** Starts a worker on a free loopback port and registers it. */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
    const { id, recorder } = options;
    const now = (): number => performance.timeOrigin + performance.now();
    const runs: Run[] = [];
    const sockets = new Set<Socket>();
    const createLife = (): Life => ({
        born: Math.round(now()),
        runs: new Map(),
        latest: new Map(),
        ends: [],
        sequence: 0,
        fence: 0,
        leaseUntil: 0,
        beats: 0,
    });
    let life = createLife();
    let isPowered = true;
    let orders = 0;
    let expiry: NodeJS.Timeout | undefined;
    const clock = (): number => Math.round(now()) - life.born + 1_000;
    /** Whether the worker is still in the given life, with power. */
    const isInLife = (asked: Life): boolean => isPowered && asked === life;

    const end = (run: Run, how: string): void => {
        const state = life.runs.get(run);
        if (state === undefined) {
            return;
        }
        clearTimeout(state.timer);
        life.runs.delete(run);
        run.endedAt = now();
        run.how = how;
        life.sequence += 1;
        life.ends.push({ sequence: life.sequence, run });
        recorder.write("end", { worker: id, task: run.task, attempt: run.attempt, how });
    };
    const lapse = setInterval(() => {
        if (isPowered && clock() > life.leaseUntil) {
            [...life.runs.keys()].forEach(run => end(run, "lapsed"));
        }
    }, 20);

    const start = ({ attempt, deadlineMs, spec, task }: Record<string, unknown>): Reply => {
        const key = String(task);
        const number = Number(attempt);
        const isThere = [...life.runs.keys()].some(run => run.task === key && run.attempt === number);
        if (isThere) {
            return { status: 200, body: { clockMs: clock() } };
        }
        if (number <= (life.latest.get(key) ?? 0)) {
            return { status: 409, body: { clockMs: clock(), reason: "old" } };
        }
        if (Number(deadlineMs) <= clock()) {
            return { status: 409, body: { clockMs: clock(), reason: "late" } };
        }
        const script = JSON.parse(String(spec)) as TaskScript;
        const run: Run = {
            task: key,
            attempt: number,
            worker: id,
            startedAt: now(),
            endedAt: undefined,
            how: undefined,
        };
        life.latest.set(key, number);
        const timer = script.milliseconds === undefined
            ? undefined
            : setTimeout(() => end(run, "done"), script.milliseconds);
        life.runs.set(run, { timer, script });
        runs.push(run);
        recorder.write("run", { worker: id, born: life.born, task: key, attempt: number });
        return { status: 200, body: { clockMs: clock() } };
    };

    const stop = ({ attempt, task }: Record<string, unknown>): Reply => {
        const key = String(task);
        const number = Number(attempt);
        life.latest.set(key, Math.max(life.latest.get(key) ?? 0, number));
        const run = [...life.runs.keys()].find(found => found.task === key && found.attempt === number);
        if (run !== undefined) {
            setTimeout(() => end(run, "stopped"), STOP_MILLISECONDS);
        }
        return { status: 200, body: { clockMs: clock() } };
    };

    const describeRun = ([run, { script }]: [Run, { script: TaskScript; }]): unknown[] => {
        const elapsed = now() - run.startedAt;
        const percent = script.milliseconds === undefined
            ? elapsed < STARTUP_MILLISECONDS ? 0 : 100
            : Math.min(99, Math.floor(100 * elapsed / script.milliseconds));
        return [run.task, run.attempt, "", percent, 0];
    };

    const hold = async ({ acknowledged, waitMs = 0 }: Record<string, unknown>): Promise<Reply> => {
        const asked = life;
        asked.ends = asked.ends.filter(({ sequence }) => sequence > Number(acknowledged));
        const until = now() + Number(waitMs);
        while (isInLife(asked) && asked.ends.length === 0 && now() < until) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        return {
            status: 200,
            body: {
                clockMs: clock(),
                born: life.born,
                running: [...life.runs].map(describeRun),
                finished: life.ends.slice(0, ENDS_PER_REPORT)
                    .map(({ run, sequence }) => [sequence, run.task, run.attempt, run.how, ""]),
            },
        };
    };

    const carryOut = (path: string, body: Record<string, unknown>): Reply | Promise<Reply> => {
        const token = Number(body["fencingToken"] ?? 0);
        if (token < life.fence) {
            return { status: 409, body: { clockMs: clock(), reason: "fence" } };
        }
        life.fence = token;
        const longest = clock() + LONGEST_LEASE_MILLISECONDS;
        life.leaseUntil = Math.max(life.leaseUntil, Math.min(Number(body["deadlineMs"] ?? 0), longest));
        return path === "/run-start" ? start(body) : path === "/run-stop" ? stop(body) : hold(body);
    };

    const carryOutLate = async (path: string, body: Record<string, unknown>): Promise<void> => {
        if (isPowered) {
            const reply = await carryOut(path, body);
            recorder.write("start-carried-out-late", { worker: id, born: life.born, task: body["task"], reply });
        }
    };

    const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        if (!isPowered) {
            // A machine without power does not answer, and what reaches it is lost.
            return;
        }
        const asked = life;
        const path = request.url ?? "";
        if (request.headers["target-instance"] !== id) {
            response.writeHead(421).end();
            return;
        }
        const text = Buffer.concat(chunks).toString("utf8");
        const body = (text === "" ? {} : JSON.parse(text)) as Record<string, unknown>;
        orders += 1;
        const delayMilliseconds = path === "/run-start" ? worker.chooseDelay(String(body["task"])) : undefined;
        if (delayMilliseconds !== undefined) {
            recorder.write("start-unanswered", { worker: id, task: body["task"], attempt: body["attempt"] });
            setTimeout(() => void carryOutLate(path, body), delayMilliseconds);
            return;
        }
        const { body: answer = {}, status } = await carryOut(path, body);
        if (isInLife(asked)) {
            response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(answer));
        }
    };

    const createListener = (): Server =>
        createServer((request, response) => void handle(request, response).catch(() => response.destroy()))
            .on("connection", (socket: Socket) => {
                sockets.add(socket);
                socket.on("close", () => sockets.delete(socket)).on("error", () => undefined);
            });
    let server = createListener();
    let port = 0;
    const listen = async (): Promise<void> => {
        server.listen(port, HOST);
        await once(server, "listening");
        port = (server.address() as AddressInfo).port;
    };
    const unlisten = async (): Promise<void> => {
        if (server.listening) {
            server.close();
            sockets.forEach(socket => socket.resetAndDestroy());
            await once(server, "close");
        }
    };
    await listen();

    const register = (): void => {
        if (!isPowered) {
            return;
        }
        clearTimeout(expiry);
        expiry = setTimeout(() => options.unregister(id), 3 * HEARTBEAT_MILLISECONDS);
        options.register(id, {
            service: options.pool,
            address: `${HOST}:${port}`,
            zone: options.zone,
            version: "1",
            slots: 8,
            state: "ready",
            coldLeftMs: 0,
            sequence: life.beats++,
            born: life.born,
            capacity: { cpu: 32_000, memMb: 128_000, gpu: 0 },
            labels: ["a", options.rack],
        });
    };
    const beat = setInterval(register, HEARTBEAT_MILLISECONDS);
    const worker: Worker = {
        id,
        runs,
        get orders() {
            return orders;
        },
        chooseDelay: () => undefined,
        cutPower() {
            isPowered = false;
            recorder.write("power-off", { worker: id });
            for (const [run, { timer }] of life.runs) {
                clearTimeout(timer);
                run.endedAt = now();
                run.how = "power-off";
            }
            life.runs.clear();
        },
        restorePower() {
            sockets.forEach(socket => socket.resetAndDestroy());
            life = createLife();
            isPowered = true;
            recorder.write("power-on", { worker: id, born: life.born });
            register();
        },
        async refuseConnections() {
            recorder.write("refuses", { worker: id });
            await unlisten();
        },
        async acceptConnections() {
            server = createListener();
            await listen();
            recorder.write("accepts", { worker: id });
        },
        async close() {
            clearInterval(lapse);
            clearInterval(beat);
            clearTimeout(expiry);
            life.runs.forEach(({ timer }) => clearTimeout(timer));
            await unlisten();
        },
    };
    register();
    return worker;
}
