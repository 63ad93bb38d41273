/**
 * One point of the capacity measurements: a deployment of real processes at one size, watched for some seconds.
 */
import { randomUUID } from "node:crypto";
import { request } from "undici";
import { z } from "zod";
import { createRpcClient } from "../../../src/core/rpc.js";
import { MILLISECONDS_PER_DAY, pause, systemClock } from "../../../src/core/time.js";
import { applyRules, listTasks } from "../../../src/operator/messages.js";
import { OPERATOR_TOKEN, startDeployment } from "../../../stand-ins/deployment.js";
import type { Deployment } from "../../../stand-ins/deployment.js";
import { runLoad } from "../load.js";
import { readUsage } from "./usage.js";
import type { ProcessUsage } from "./usage.js";

const SETTLE_MILLISECONDS = 12_000;
const DAYS_IN_FORCE = 90;
const TEAM = "capacity";
const SERVICE = "counter";
const BATCH = "intake";
/** Ends spread over time, as work of many teams does. */
const BATCH_SPREAD = 0.8;
/** A small young generation keeps resident memory near what is live. */
const NODE_FLAGS = ["--max-semi-space-size=2"];
const RULE_DEADLINE = "3s";
const RPC_TIMEOUT_MILLISECONDS = 20_000;
const BATCH_TASKS_PER_WORKER = 14;
const READY_LIMIT_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 200;

/** Size of a deployment. */
export interface Size {
    readonly workers: number;
    readonly instances: number;
    /** Batch work that keeps every worker at about the target's rate of starts. */
    readonly batch: boolean;
    readonly callsPerSecond: number;
    readonly seconds: number;
    readonly racksPerCell: number;
}

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
        await applyLoad(deployment, size);
        await pause(SETTLE_MILLISECONDS);
        const before = await takeSample(deployment);
        const answered = await makeCalls(deployment, size, seed);
        const after = await takeSample(deployment);
        return toPoint(size, before, after, answered, await readTasks(deployment));
    }
    finally {
        await deployment.kill();
    }
}

async function applyLoad(deployment: Deployment, size: Size): Promise<void> {
    const until = new Date(systemClock() + DAYS_IN_FORCE * MILLISECONDS_PER_DAY).toISOString().slice(0, 10);
    const rules = [
        `service ${SERVICE} --replicas ${
            size.workers * 2
        } --cores 1 --memory 2GiB --deadline ${RULE_DEADLINE} --until ${until} # Aino`,
        ...size.batch
            ? [
                `batch ${BATCH} --tasks ${
                    size.workers * BATCH_TASKS_PER_WORKER
                } --cores 9 --memory 4GiB --seconds 12 --until ${until} # Budi`,
            ]
            : [],
        "",
    ];
    const rpc = createRpcClient({ token: OPERATOR_TOKEN, timeoutMilliseconds: RPC_TIMEOUT_MILLISECONDS });
    const edit = { team: TEAM, text: rules.join("\n"), baseRevision: 0, applyId: randomUUID(), by: "Aino" };
    const limit = AbortSignal.timeout(READY_LIMIT_MILLISECONDS);
    while (!limit.aborted) {
        const answer = await rpc.call(operatorOrigin(deployment), applyRules, edit);
        if (answer.isOk && answer.value.outcome === "accepted") {
            return;
        }
        await pause(POLL_MILLISECONDS);
    }
    throw new Error("no gateway accepted the rules");
}

function operatorOrigin(deployment: Deployment): string {
    return deployment.instances[0]?.gateway.announcement["operators"] ?? "";
}

async function makeCalls(deployment: Deployment, size: Size, seed: number): Promise<number> {
    const durationMilliseconds = size.seconds * 1_000;
    if (size.callsPerSecond === 0) {
        await pause(durationMilliseconds);
        return 0;
    }
    const result = await runLoad({
        name: "capacity",
        seed,
        callsPerSecond: size.callsPerSecond,
        durationMilliseconds,
        clock: systemClock,
        origins: deployment.instances.flatMap(({ gateway }) => gateway.announcement["callers"] ?? []),
        drawCall: (random, index) => ({ service: SERVICE, key: `kit-${index}`, method: "GET" }),
    });
    return result.outcomes.answered;
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

async function readTasks(deployment: Deployment): Promise<{ tasks: number; cells: number; bytes: number; }> {
    const rpc = createRpcClient({ token: OPERATOR_TOKEN, timeoutMilliseconds: RPC_TIMEOUT_MILLISECONDS });
    const answer = await rpc.call(operatorOrigin(deployment), listTasks, {});
    if (answer.isErr) {
        throw new Error(`tasks.list: ${answer.error.message}`);
    }
    const { cells, tasks } = answer.value;
    return { tasks: tasks.length, cells: cells.length, bytes: JSON.stringify(answer.value).length };
}

function toPoint(
    size: Size,
    before: Sample,
    after: Sample,
    answered: number,
    listed: { tasks: number; cells: number; bytes: number; },
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
        answeredPerSecond: answered / seconds,
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
