/**
 * Workers in memory: the stand-in's attempts under leases, with silence, pauses, restarts and lost answers.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../../src/core/errors.js";
import type { Failure } from "../../../src/core/errors.js";
import { pause } from "../../../src/core/time.js";
import type { WorkerInstance } from "../../../src/platform/instances.js";
import type { OrderHeader, WorkerControl } from "../../../src/platform/worker.js";
import { createAttempts } from "../../../stand-ins/worker/attempts.js";
import type { Attempts } from "../../../stand-ins/worker/attempts.js";
import { WorkerBehaviour } from "../../../stand-ins/worker/index.js";
import type { WorkerRecord } from "../../../stand-ins/worker/index.js";
import { createInterference } from "../../../stand-ins/worker/interference.js";
import { createFaults } from "../../../stand-ins/worker/settings.js";
import type { Gate } from "./gate.js";

const TIMEOUT_MILLISECONDS = 300;

/** How a worker is reached: `silent` loses orders, `paused` takes them in when it wakes. */
export type WorkerState = "well" | "silent" | "paused" | "dead";

/** A worker of the model. */
export interface ModelWorker {
    readonly instance: WorkerInstance;
    readonly attempts: Attempts;
    state: WorkerState;
    answersToLose: number;
    /** When it last was not well. */
    readonly lastFaultAtMilliseconds: number;
    /** Carries time forward, unless the worker is paused. */
    step(now: number): void;
    wake(): void;
    restart(): void;
    die(): void;
}

/** What a worker of the model needs. */
export interface ModelWorkerOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly rack: number;
    readonly slots: number;
    readonly clock: () => number;
    readonly record: (record: WorkerRecord) => void;
}

interface ControlledWorker extends ModelWorker {
    order<Answer>(gate: Gate, header: OrderHeader, carryOut: (now: number) => Answer): Promise<Result<Answer, Failure>>;
    incarnation(): string;
}

/** Workers by control origin, and the port to them for each process. */
export interface ModelWorkers {
    readonly all: ReadonlyMap<string, ModelWorker>;
    add(options: ModelWorkerOptions): ModelWorker;
    connect(gate: Gate): WorkerControl;
}

/** Creates a fleet without workers. */
export function createModelWorkers(): ModelWorkers {
    const all = new Map<string, ControlledWorker>();
    return {
        all,
        add(options) {
            const worker = createModelWorker(options);
            all.set(worker.instance.controlOrigin, worker);
            return worker;
        },
        connect: gate => createControl(all, gate),
    };
}

function createControl(all: ReadonlyMap<string, ControlledWorker>, gate: Gate): WorkerControl {
    const find = (origin: string): ControlledWorker => {
        const worker = all.get(origin);
        if (worker === undefined) {
            throw new Error(`no worker at ${origin}`);
        }
        return worker;
    };
    return {
        start: (origin, request) =>
            find(origin).order(gate, request, now =>
                request.starts.map(start => ({
                    taskId: start.taskId,
                    attempt: start.attempt,
                    ...find(origin).attempts.start(request, start, now),
                }))),
        stop: (origin, request) =>
            find(origin).order(
                gate,
                request,
                now => request.stops.map(stop => find(origin).attempts.stop(request, stop, now)),
            ),
        throttle: (origin, request) =>
            find(origin).order(
                gate,
                request,
                now =>
                    request.throttles.forEach(({ share, ...attempt }) =>
                        find(origin).attempts.throttle(attempt, share, now)
                    ),
            ),
        renew: (origin, request) =>
            find(origin).order(gate, request, now => {
                const worker = find(origin);
                request.renewals.forEach(attempt => worker.attempts.renew(attempt, request.leaseMilliseconds, now));
                request.acknowledged.forEach(attempt => worker.attempts.forget(attempt, now));
                return {
                    worker: worker.instance.name,
                    incarnation: worker.incarnation(),
                    attempts: worker.attempts.statuses(request.cell, now),
                };
            }),
    };
}

function createModelWorker(options: ModelWorkerOptions): ControlledWorker {
    const { name, clock } = options;
    const behaviour = WorkerBehaviour.parse({ checkpointMilliseconds: 100 });
    const shape = { slots: options.slots, cores: 32, memoryBytes: 125_000_000_000, accelerators: 0, connections: 64 };
    const attempts = createAttempts({
        worker: name,
        cores: shape.cores,
        behaviour,
        interference: createInterference(behaviour),
        faults: createFaults(),
        record: options.record,
    });
    const epochs = new Map<string, number>();
    let incarnation = 1;
    let delayed: (() => void)[] = [];

    const carryOutFenced = <Answer>(
        header: OrderHeader,
        carryOut: (now: number) => Answer,
    ): Result<Answer, Failure> => {
        const isForOther = header.workerIncarnation !== undefined && header.workerIncarnation !== String(incarnation);
        if (isForOther || header.epoch < (epochs.get(header.cell) ?? 0)) {
            return Result.err(createFailure("fenced", "order", "a newer epoch is known"));
        }
        epochs.set(header.cell, header.epoch);
        return Result.ok(carryOut(clock()));
    };
    const timeOut = async <Answer>(): Promise<Result<Answer, Failure>> => {
        await pause(TIMEOUT_MILLISECONDS);
        return Result.err(createFailure("timeout", "order", "no answer"));
    };

    let lastFaultAt = 0;

    const worker: ControlledWorker = {
        instance: {
            kind: "worker",
            name,
            dataCentre: options.dataCentre,
            state: "live",
            rack: options.rack,
            shape,
            controlOrigin: `http://${name}:1`,
            serveOrigin: `http://${name}:2`,
        },
        attempts,
        state: "well",
        answersToLose: 0,
        get lastFaultAtMilliseconds() {
            return lastFaultAt;
        },
        incarnation: () => String(incarnation),
        async order(gate, header, carryOut) {
            await gate.pass();
            if (worker.state === "paused") {
                delayed.push(() => carryOutFenced(header, carryOut));
            }
            if (worker.state !== "well") {
                return timeOut();
            }
            const answer = carryOutFenced(header, carryOut);
            await gate.pass();
            if (worker.answersToLose > 0) {
                worker.answersToLose -= 1;
                return timeOut();
            }
            return answer;
        },
        step(now) {
            if (worker.state !== "well") {
                lastFaultAt = now;
            }
            if (worker.state !== "paused") {
                attempts.advance(now);
            }
        },
        wake() {
            if (worker.state !== "dead") {
                worker.state = "well";
                attempts.advance(clock());
                delayed.splice(0).forEach(carryOut => carryOut());
            }
        },
        restart() {
            if (worker.state !== "dead") {
                delayed = [];
                attempts.lose(clock());
                epochs.clear();
                incarnation += 1;
                lastFaultAt = clock();
                worker.state = "well";
            }
        },
        die() {
            delayed = [];
            attempts.lose(clock());
            lastFaultAt = clock();
            worker.state = "dead";
        },
    };
    return worker;
}
