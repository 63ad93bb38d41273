/**
 * A worker stand-in: runs attempts under leases on its control port, serves callers on its serving port.
 */
import express from "express";
import { randomUUID } from "node:crypto";
import type { Socket } from "node:net";
import { listen } from "../../src/core/http.js";
import type { RunningServer } from "../../src/core/http.js";
import { hashText } from "../../src/core/random.js";
import { systemClock } from "../../src/core/time.js";
import type { WorkerInstance, WorkerShape } from "../../src/platform/instances.js";
import type { GatewayConnections } from "../../src/platform/worker.js";
import { serveControl } from "../support/control.js";
import { createAttempts } from "./attempts.js";
import { createInterference } from "./interference.js";
import { serveOrders } from "./orders.js";
import type { Recorder } from "./record.js";
import { createReports } from "./report.js";
import { createServing } from "./serving.js";
import { createFaults, WorkerFaultChange } from "./settings.js";
import type { WorkerBehaviour } from "./settings.js";

const ADVANCE_EVERY_MILLISECONDS = 50;
/** Idle connections for orders are closed after this. */
const CONTROL_IDLE_MILLISECONDS = 60_000;

/** Options of one worker. */
export interface WorkerStandInOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly rack: number;
    readonly shape: WorkerShape;
    readonly host: string;
    readonly behaviour: WorkerBehaviour;
    readonly record: Recorder;
}

/** A running worker stand-in. */
export interface WorkerStandIn {
    /** The worker as the instance list shows it. */
    readonly instance: WorkerInstance;
    setFaults(change: WorkerFaultChange): void;
    close(): Promise<void>;
}

/** Starts a worker stand-in. */
export async function createWorkerStandIn(options: WorkerStandInOptions): Promise<WorkerStandIn> {
    const { behaviour, name, record, shape } = options;
    const clock = systemClock;
    const faults = createFaults();
    const interference = createInterference(behaviour);
    const attempts = createAttempts({ worker: name, cores: shape.cores, behaviour, interference, faults, record });
    const epochs = new Map<string, number>();
    const connections = new Map<Socket, string>();
    const counts = { orders: 0, fenced: 0, conflicts: 0, started: 0, bytesIn: 0, bytesOut: 0 };
    let incarnation = "";

    function begin(): void {
        incarnation = randomUUID();
        const { slots, cores, memoryBytes, accelerators, connections: most } = shape;
        record({
            event: "worker",
            worker: name,
            at: clock(),
            incarnation,
            slots,
            cores,
            memoryBytes,
            accelerators,
            connections: most,
        });
    }

    function setFaults(change: WorkerFaultChange): void {
        const { restart, ...kept } = change;
        Object.assign(faults, Object.fromEntries(Object.entries(kept).filter(([, value]) => value !== undefined)));
        if (restart === true) {
            attempts.lose(clock());
            epochs.clear();
            for (const socket of connections.keys()) {
                socket.destroy();
            }
            begin();
        }
    }

    const reports = createReports({
        worker: name,
        attempts,
        interference,
        lagMilliseconds: behaviour.reportLagMilliseconds,
        intervalMilliseconds: behaviour.reportEveryMilliseconds,
        incarnation: () => incarnation,
        connections: () => countByGateway(connections),
    });
    const application = express();
    application.disable("x-powered-by");
    application.disable("etag");
    serveControl(application, {
        schema: WorkerFaultChange,
        setFaults,
        readFaults: () => faults,
        readCounts: () => ({ ...counts, connections: connections.size }),
    });
    serveOrders(application, {
        worker: name,
        clock,
        attempts,
        epochs,
        faults,
        counts,
        incarnation: () => incarnation,
        readReport: reports.read,
    });
    const serving = createServing({
        worker: name,
        seed: behaviour.seed ^ hashText(name),
        clock,
        attempts,
        interference,
        faults,
        ignore: behaviour.ignore,
        record,
        onLatency: reports.addLatency,
        onGateway: (socket, gateway) => connections.set(socket, gateway),
    });

    begin();
    const control = await listen(application, { host: options.host, port: 0 });
    const serve = await listen(serving, { host: options.host, port: 0 });
    control.server.keepAliveTimeout = CONTROL_IDLE_MILLISECONDS;
    serve.server.keepAliveTimeout = behaviour.idleMilliseconds;
    limitConnections(
        serve,
        shape.connections,
        connections,
        () => record({ event: "connection-refused", worker: name, at: clock(), open: connections.size }),
    );
    const advancing = setInterval(() => attempts.advance(clock()), ADVANCE_EVERY_MILLISECONDS);
    const reporting = setInterval(() => reports.measure(clock()), behaviour.reportEveryMilliseconds);
    return {
        instance: {
            kind: "worker",
            name,
            dataCentre: options.dataCentre,
            rack: options.rack,
            state: "live",
            shape,
            controlOrigin: control.origin,
            serveOrigin: serve.origin,
        },
        setFaults,
        async close() {
            clearInterval(advancing);
            clearInterval(reporting);
            attempts.lose(clock());
            await Promise.all([closeAtOnce(control), closeAtOnce(serve)]);
        },
    };
}

/** Refuses connections beyond the worker's limit, and follows the open ones. */
function limitConnections(
    { server }: RunningServer,
    most: number,
    connections: Map<Socket, string>,
    onRefused: () => void,
): void {
    server.maxConnections = most;
    server.on("drop", onRefused);
    server.on("connection", socket => {
        connections.set(socket, "");
        socket.on("close", () => connections.delete(socket));
    });
}

function countByGateway(connections: Map<Socket, string>): GatewayConnections[] {
    const counts = new Map<string, number>();
    for (const gateway of connections.values()) {
        counts.set(gateway, (counts.get(gateway) ?? 0) + 1);
    }
    return [...counts].map(([gateway, count]) => ({ gateway, connections: count }));
}

async function closeAtOnce(running: RunningServer): Promise<void> {
    const closed = running.close();
    running.server.closeAllConnections();
    await closed;
}
