/**
 * Orders to a worker: fenced by the epoch of the cell's owner.
 */
import express from "express";
import type { Express, Request, Response } from "express";
import type { z } from "zod";
import { createFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { parse } from "../../src/core/parse.js";
import type { Clock } from "../../src/core/time.js";
import { RenewOrder } from "../../src/platform/adapters/renewal.js";
import { workerPaths } from "../../src/platform/adapters/worker.js";
import { StartRequest, StopRequest, ThrottleRequest } from "../../src/platform/worker.js";
import type { OrderHeader, WorkerReport } from "../../src/platform/worker.js";
import { pauseUnlessZero } from "../support/control.js";
import type { Attempts } from "./attempts.js";
import { createRenewals } from "./renewals.js";
import type { WorkerFaults } from "./settings.js";

const BODY_LIMIT = "8mb";
const FENCED_STATUS = 409;

/** Counts of orders. */
export interface OrderCounts {
    orders: number;
    fenced: number;
    /** Renewals that named an outdated version. */
    conflicts: number;
    started: number;
    bytesIn: number;
    bytesOut: number;
}

/** Options of the orders. */
export interface OrdersOptions {
    readonly worker: string;
    readonly clock: Clock;
    readonly attempts: Attempts;
    /** Newest epoch by cell. */
    readonly epochs: Map<string, number>;
    readonly faults: WorkerFaults;
    readonly counts: OrderCounts;
    readonly incarnation: () => string;
    readReport(now: number): WorkerReport;
}

/** Adds the paths of orders to an application. */
export function serveOrders(application: Express, options: OrdersOptions): void {
    const { attempts, clock } = options;
    const serve = <Schema extends z.ZodType<OrderHeader>>(
        path: string,
        schema: Schema,
        carryOut: (order: z.output<Schema>, now: number) => unknown,
        findConflict: (order: z.output<Schema>) => Failure | undefined = () => undefined,
    ) => application.post(path, async (request, response) => {
        if (!await passFaults(options.faults, response)) {
            return;
        }
        const order = parse(schema, request.body, path);
        count(options.counts, request);
        if (order.isErr) {
            refuse(response, 400, order.error);
            return;
        }
        const fence = checkEpoch(order.value, options);
        if (fence !== undefined) {
            options.counts.fenced += 1;
            refuse(response, FENCED_STATUS, fence);
            return;
        }
        const conflict = findConflict(order.value);
        if (conflict !== undefined) {
            options.counts.conflicts += 1;
            refuse(response, FENCED_STATUS, conflict);
            return;
        }
        send(response, carryOut(order.value, clock()), options);
    });

    application.use(express.json({ limit: BODY_LIMIT, type: () => true }));
    serve(workerPaths.start, StartRequest, (order, now) => {
        options.counts.started += order.starts.length;
        return order.starts.map(start => ({
            taskId: start.taskId,
            attempt: start.attempt,
            ...attempts.start(order, start, now),
        }));
    });
    serve(workerPaths.stop, StopRequest, (order, now) => order.stops.map(stop => attempts.stop(order, stop, now)));
    serve(workerPaths.throttle, ThrottleRequest, (order, now) => {
        for (const { share, ...attempt } of order.throttles) {
            attempts.throttle(attempt, share, now);
        }
        return {};
    });
    const renewals = createRenewals(options);
    serve(workerPaths.renew, RenewOrder, renewals.carryOut, renewals.findConflict);
}

function checkEpoch(order: OrderHeader, { epochs, incarnation }: OrdersOptions): Failure | undefined {
    if (order.workerIncarnation !== undefined && order.workerIncarnation !== incarnation()) {
        return createFailure("fenced", "order", `it is meant for the incarnation ${order.workerIncarnation}`);
    }
    const newest = epochs.get(order.cell) ?? 0;
    if (order.epoch < newest) {
        return createFailure("fenced", "order", `cell ${order.cell} is at epoch ${newest}, not ${order.epoch}`);
    }
    epochs.set(order.cell, order.epoch);
    return undefined;
}

async function passFaults(faults: WorkerFaults, response: Response): Promise<boolean> {
    await pauseUnlessZero(faults.slowOrdersMilliseconds);
    if (faults.controlDown) {
        response.destroy();
    }
    return !faults.silent && !faults.controlDown;
}

function count(counts: OrderCounts, request: Request): void {
    counts.orders += 1;
    counts.bytesIn += Number(request.headers["content-length"] ?? 0);
}

function send(response: Response, answer: unknown, { counts, faults }: OrdersOptions): void {
    if (faults.loseOrderAnswers > 0) {
        faults.loseOrderAnswers -= 1;
        response.destroy();
        return;
    }
    const text = JSON.stringify(answer);
    counts.bytesOut += Buffer.byteLength(text);
    response.type("application/json").send(text);
}

function refuse(response: Response, status: number, error: Failure): void {
    response.status(status).json({ error });
}
