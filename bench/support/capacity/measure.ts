/**
 * One point of the capacity measurements: a deployment of real processes at one size, watched for some seconds.
 */
import { request } from "undici";
import * as z from "zod";
import { systemClock } from "../../../src/core/time.js";
import { startDeployment } from "../../../stand-ins/deployment.js";
import type { Deployment } from "../../../stand-ins/deployment.js";
import { applyText, BATCH, createText, makeCalls, makeChanges, readTasks, settle } from "./load.js";
import type { CallCounts, Listing, Size } from "./load.js";
import { readUsage } from "./usage.js";
import type { ProcessUsage } from "./usage.js";

/** Ends spread over time, as work of many teams does. */
const BATCH_SPREAD = 0.8;
/** A small young generation keeps resident memory near what is live. */
const NODE_FLAGS = ["--max-semi-space-size=2"];

/** What a daemon used in the window; means over the daemons of its role. */
export interface RoleUsage {
    /** Share of one core. */
    readonly processorShare: number;
    readonly residentBytes: number;
}

/** One measured point; rates are per second over the window. */
export interface Point {
    readonly size: Size;
    readonly cells: number;
    readonly tasks: number;
    readonly startsPerSecond: number;
    readonly answeredPerSecond: number;
    /** Calls made, answered or not. */
    readonly sentPerSecond: number;
    readonly changesPerSecond: number;
    readonly gateway: RoleUsage;
    readonly scheduler: RoleUsage;
    readonly store: {
        readonly writes: number;
        readonly reads: number;
        readonly watches: number;
        readonly bytesIn: number;
        readonly bytesOut: number;
        readonly keys: number;
    };
    readonly list: { readonly reads: number; readonly bytesOut: number; };
    /** Means over the workers. */
    readonly worker: { readonly orders: number; readonly bytesIn: number; readonly bytesOut: number; };
    /** Bytes of the answer that lists all tasks. */
    readonly taskListBytes: number;
}

const StoreCounts = z.object({
    writes: z.number(),
    reads: z.number(),
    openWatches: z.number(),
    bytesIn: z.number(),
    bytesOut: z.number(),
    keys: z.number(),
});
const ListCounts = z.object({ lists: z.number(), bytesOut: z.number() });
const WorkerCounts = z.object({
    orders: z.number(),
    started: z.number(),
    bytesIn: z.number(),
    bytesOut: z.number(),
});

interface Sample {
    readonly at: number;
    readonly gateways: readonly ProcessUsage[];
    readonly schedulers: readonly ProcessUsage[];
    readonly store: z.infer<typeof StoreCounts>;
    readonly list: z.infer<typeof ListCounts>;
    readonly workers: readonly z.infer<typeof WorkerCounts>[];
}

/** Starts a deployment of a size, lets it settle, watches it and ends it. */
export async function measurePoint(size: Size, seed: number): Promise<Point> {
    const deployment = await startDeployment({
        dataCentres: [{ name: "rovaniemi", workers: size.workers }],
        instances: size.instances,
        platform: { workers: { profiles: { [BATCH]: { workSpread: BATCH_SPREAD } } } },
        nodeFlags: NODE_FLAGS,
        scheduler: { cells: { racksPerCell: size.racksPerCell } },
    });
    try {
        const revision = await applyText(deployment, createText(size, 0), 0);
        await settle(deployment, size, seed, () => countStarted(deployment));
        const before = await takeSample(deployment);
        const [calls, changes] = await Promise.all([
            makeCalls(deployment, size, seed),
            makeChanges(deployment, size, revision),
        ]);
        const after = await takeSample(deployment);
        return toPoint(size, before, after, { ...calls, changes }, await readTasks(deployment));
    }
    finally {
        await deployment.kill();
    }
}

async function countStarted({ workers }: Deployment): Promise<number> {
    const counts = await Promise.all(workers.map(worker => readCounts(worker.control, WorkerCounts)));
    return counts.reduce((sum, { started }) => sum + started, 0);
}

async function takeSample(deployment: Deployment): Promise<Sample> {
    const { instances, workers } = deployment;
    return {
        at: systemClock(),
        gateways: await Promise.all(instances.map(({ gateway }) => readUsage(gateway.pid))),
        schedulers: await Promise.all(instances.map(({ scheduler }) => readUsage(scheduler.pid))),
        store: await readCounts(deployment.storeOrigin, StoreCounts),
        list: await readCounts(deployment.instancesOrigin, ListCounts),
        workers: await Promise.all(workers.map(worker => readCounts(worker.control, WorkerCounts))),
    };
}

async function readCounts<Schema extends z.ZodType>(origin: string, schema: Schema): Promise<z.output<Schema>> {
    const answer = await request(`${origin}/stand-in/counts`);
    return schema.parse(await answer.body.json());
}

function toPoint(
    size: Size,
    before: Sample,
    after: Sample,
    done: CallCounts & { readonly changes: number; },
    listed: Listing,
): Point {
    const seconds = (after.at - before.at) / 1_000;
    const rate = (later: number, earlier: number) => (later - earlier) / seconds;
    const total = (sample: Sample, name: "orders" | "started" | "bytesIn" | "bytesOut") =>
        sample.workers.reduce((sum, worker) => sum + worker[name], 0);
    const each = (name: "orders" | "bytesIn" | "bytesOut") =>
        rate(total(after, name), total(before, name)) / size.workers;
    return {
        size,
        cells: listed.cells,
        tasks: listed.tasks,
        startsPerSecond: rate(total(after, "started"), total(before, "started")),
        answeredPerSecond: done.answered / seconds,
        sentPerSecond: done.sent / seconds,
        changesPerSecond: done.changes / seconds,
        gateway: toRoleUsage(before.gateways, after.gateways, seconds),
        scheduler: toRoleUsage(before.schedulers, after.schedulers, seconds),
        store: {
            writes: rate(after.store.writes, before.store.writes),
            reads: rate(after.store.reads, before.store.reads),
            watches: after.store.openWatches,
            bytesIn: rate(after.store.bytesIn, before.store.bytesIn),
            bytesOut: rate(after.store.bytesOut, before.store.bytesOut),
            keys: after.store.keys,
        },
        list: {
            reads: rate(after.list.lists, before.list.lists),
            bytesOut: rate(after.list.bytesOut, before.list.bytesOut),
        },
        worker: { orders: each("orders"), bytesIn: each("bytesIn"), bytesOut: each("bytesOut") },
        taskListBytes: listed.bytes,
    };
}

function toRoleUsage(before: readonly ProcessUsage[], after: readonly ProcessUsage[], seconds: number): RoleUsage {
    const used = after.reduce(
        (sum, usage, index) => sum + usage.processorSeconds - (before[index]?.processorSeconds ?? 0),
        0,
    );
    return {
        processorShare: used / seconds / after.length,
        residentBytes: after.reduce((sum, usage) => sum + usage.residentBytes, 0) / after.length,
    };
}
