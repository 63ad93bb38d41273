/**
 * Estimates at the target's size, from lines through measured points.
 */
import { estimateChanges } from "./changes.js";
import type { Line } from "./fit.js";
import type { Point } from "./measure.js";
import { lineOf, workersOf } from "./series.js";
import type { Series } from "./series.js";
import { nodeLimits, storeLimits, target } from "./target.js";

/** One line of the page. */
export interface Estimate {
    readonly role: string;
    readonly measure: string;
    readonly unit: string;
    /** What grows: workers, entry instances or calls a second. */
    readonly per: string;
    readonly line: Line;
    readonly atTarget: number;
    /** What one process, or the platform, may spend; absent where nothing is set. */
    readonly limit?: number;
    /** What carries the role at the target's size. */
    readonly mechanism: string;
    /** What would carry it where today's mechanism does not. */
    readonly next?: string;
}

/** Entry instances at the target, as many as keep a scheduler below its memory. */
export interface Fleet {
    readonly entryInstances: number;
    readonly workersPerInstance: number;
    /** What sets the number. */
    readonly boundBy: string;
}

/** Works out how many entry instances carry the target, each scheduler on one core and within its memory. */
export function estimateFleet(series: Series): Fleet {
    const memory = lineOf(series.workers, workersOf, point => point.scheduler.residentBytes);
    const processor = lineOf(series.workers, workersOf, point => point.scheduler.processorShare);
    const byMemory = Math.max(0, nodeLimits.residentBytes - memory.base) / Math.max(1, memory.slope);
    const byProcessor = 1 / Math.max(1e-9, processor.slope);
    const workersPerInstance = Math.max(1, Math.floor(Math.min(byMemory, byProcessor)));
    return {
        entryInstances: Math.ceil(target.workers / workersPerInstance),
        workersPerInstance,
        boundBy: byMemory < byProcessor
            ? "the scheduler's memory (128 MB)"
            : "the scheduler's processor time (one core)",
    };
}

/** Works out all lines of the page. */
export function estimateAll(series: Series): Estimate[] {
    const { entryInstances, workersPerInstance } = estimateFleet(series);
    const daemons = entryInstances * 2;
    const byWorkers = (read: (point: Point) => number) => lineOf(series.workers, workersOf, read);
    const byInstances = (read: (point: Point) => number) =>
        lineOf(series.instances, point => point.size.instances, read);
    const byCalls = (read: (point: Point) => number) => lineOf(series.calls, point => point.answeredPerSecond, read);
    const at = (line: Line, size: number) => line.base + line.slope * size;
    const schedulerCores = byWorkers(point => point.scheduler.processorShare);
    const schedulerMemory = byWorkers(point => point.scheduler.residentBytes);
    const gatewayMemory = byWorkers(point => point.gateway.residentBytes);
    const gatewayIdle = byWorkers(point => point.gateway.processorShare);
    const gatewayCores = byCalls(point => point.gateway.processorShare);
    const writes = byWorkers(point => point.store.writes);
    const readsByInstances = byInstances(point => point.store.reads);
    const writesByInstances = byInstances(point => point.store.writes);
    const storeIn = byWorkers(point => point.store.bytesIn);
    const keys = byWorkers(point => point.store.keys);
    const watches = byInstances(point => point.store.watches);
    const listReads = byInstances(point => point.list.reads);
    const listBytes = byWorkers(point => point.list.bytesOut / Math.max(1e-9, point.list.reads));
    const workerBytes = byWorkers(point => point.worker.bytesIn + point.worker.bytesOut);
    const workerOrders = byWorkers(point => point.worker.orders);
    const listing = lineOf(series.workers, point => point.tasks, point => point.taskListBytes);
    return [
        {
            role: "scheduler",
            measure: "processor time at the target's rate of starts",
            unit: "cores, all schedulers",
            per: "worker",
            line: schedulerCores,
            atTarget: schedulerCores.slope * target.workers + schedulerCores.base * entryInstances,
            mechanism:
                "cells, each with one owner chosen by rendezvous hashing; decisions, renewals and reports are batched per worker",
        },
        {
            role: "scheduler",
            measure: "resident memory of one process",
            unit: "bytes",
            per: "worker",
            line: schedulerMemory,
            atTarget: at(schedulerMemory, workersPerInstance),
            limit: nodeLimits.residentBytes,
            mechanism: `with ${workersPerInstance} workers each; a cell's ledger is only with its owner`,
            next: "more entry instances, each with fewer cells",
        },
        {
            role: "scheduler",
            measure: "processor time of one process",
            unit: "cores",
            per: "worker",
            line: schedulerCores,
            atTarget: at(schedulerCores, workersPerInstance),
            limit: nodeLimits.coreShare,
            mechanism: `with ${workersPerInstance} workers each; one commit, one renewal and one report an interval`,
            next: "longer intervals of renewals and reports, and a more compact encoding of them",
        },
        {
            role: "gateway",
            measure: "processor time of one process without calls",
            unit: "cores",
            per: "worker",
            line: gatewayIdle,
            atTarget: at(gatewayIdle, target.workers / target.dataCentres),
            limit: nodeLimits.coreShare,
            mechanism: "routes and members are compared by revision, and read only where they differ",
            next: "routes of the gateway's own data centre only",
        },
        {
            role: "gateway",
            measure: "resident memory of one process",
            unit: "bytes",
            per: "worker",
            line: gatewayMemory,
            atTarget: at(gatewayMemory, target.workers / target.dataCentres),
            limit: nodeLimits.residentBytes,
            mechanism: "with the routes of one data centre; today each gateway reads the routes of all cells",
            next: "routes of the services that a gateway's callers ask for, read on the first call",
        },
        {
            role: "gateway",
            measure: "processor time of one call",
            unit: "core seconds",
            per: "answered call a second",
            line: gatewayCores,
            atTarget: gatewayCores.slope,
            mechanism:
                "callers are spread over all gateways by the balancer, and each gateway works by itself; the target sets "
                + "no load of callers, a gateway on one core answers 1 / this a second",
        },
        {
            role: "store",
            measure: "writes a second",
            unit: "writes/s",
            per: "worker",
            line: writes,
            atTarget: writes.slope * target.workers + writes.base + writesByInstances.slope * entryInstances,
            limit: storeLimits.writesPerSecond,
            mechanism: "group commit: a busy cell writes once an interval, however many tasks start",
        },
        {
            role: "store",
            measure: "reads a second",
            unit: "reads/s",
            per: "entry instance",
            line: readsByInstances,
            atTarget: at(readsByInstances, entryInstances),
            limit: storeLimits.readsPerSecond,
            mechanism: "one heartbeat per process; ownership and configuration are read by watch or from peers",
            next: "claims and partitions read by a few processes, the others hear from peers",
        },
        {
            role: "store",
            measure: "open watches",
            unit: "watches",
            per: "entry instance",
            line: watches,
            atTarget: at(watches, entryInstances),
            mechanism: "a few processes watch the rules, the others hear from peers",
        },
        {
            role: "store",
            measure: "bytes written a second",
            unit: "bytes/s",
            per: "worker",
            line: storeIn,
            atTarget: at(storeIn, target.workers),
            mechanism: "segments hold the tasks that changed, snapshots replace them",
        },
        {
            role: "store",
            measure: "keys",
            unit: "keys",
            per: "worker",
            line: keys,
            atTarget: at(keys, target.workers),
            mechanism: "a head, a snapshot and its segments per cell",
        },
        {
            role: "instance list",
            measure: "reads a second",
            unit: "reads/s",
            per: "entry instance",
            line: listReads,
            atTarget: at(listReads, entryInstances),
            mechanism: "each daemon polls it",
        },
        {
            role: "instance list",
            measure: "bytes sent a second",
            unit: "bytes/s",
            per: "worker, for each read",
            line: listBytes,
            atTarget: at(listBytes, target.workers) * at(listReads, entryInstances),
            limit: nodeLimits.bytesPerSecond * daemons,
            mechanism: "the whole list with each read; the limit is 14 KB/s for each daemon that reads",
            next: "a few processes read the list, the others hear of its changes with the heartbeats",
        },
        {
            role: "worker's control traffic",
            measure: "bytes a second of one worker",
            unit: "bytes/s",
            per: "worker",
            line: workerBytes,
            atTarget: at(workerBytes, 0),
            limit: nodeLimits.bytesPerSecond,
            mechanism: "bodies only; does not grow with the fleet where the slope is near zero",
        },
        {
            role: "worker's control traffic",
            measure: "orders a second of one worker",
            unit: "orders/s",
            per: "worker",
            line: workerOrders,
            atTarget: at(workerOrders, 0),
            mechanism: "one renewal and one report an interval, starts and stops batched",
        },
        ...estimateChanges(series),
        {
            role: "client",
            measure: "bytes of a list of all tasks",
            unit: "bytes",
            per: "task",
            line: listing,
            atTarget: at(listing, target.runningTasks),
            mechanism: "the client narrows by rule or team; nothing is listed in pages yet",
        },
    ];
}
