/**
 * The users' platform in small: store, workers and real processes of the jobs daemon, on loopback.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import type { StandInServer } from "./http.js";
import { createUsersStore } from "./store.js";
import type { UsersStore } from "./store.js";
import { LONGEST_LEASE_MILLISECONDS, startUsersWorker } from "./worker.js";
import type { RunRecord, UsersWorker } from "./worker.js";

const SCRIPT = "dist/platform/main.js";
const POOL = "desk";
const HOST_NAME = "desk.example";
export const QUEUE_PREFIX = "/checks/";

/** An event that a process has logged. */
export type LoggedEvent = Readonly<Record<string, unknown>> & { readonly event: string; };

/** A process of the jobs daemon. */
export interface JobsProcess {
    readonly name: string;
    readonly child: ChildProcess;
    /** Origin of the callers' port, once it listens. */
    readonly origin: string;
    readonly events: readonly LoggedEvent[];
    /** The process's own address of the store. */
    readonly store: StandInServer;
    kill(): Promise<void>;
}

/** What a caller was told. */
export interface CallerAnswer {
    /** 0 where there was no answer. */
    readonly status: number;
    readonly state: string | undefined;
    readonly retryAfter: string | null;
}

/** A deployment that runs. */
export interface UsersDeployment {
    readonly store: UsersStore;
    readonly workers: readonly UsersWorker[];
    readonly processes: JobsProcess[];
    startProcess(name: string): Promise<JobsProcess>;
    /** Sends a caller's request to a process. */
    call(process: JobsProcess, method: string, path: string, body?: object): Promise<CallerAnswer>;
    /** Runs of all workers, in the order of their starts. */
    runs(): RunRecord[];
    publish(version: number, routes?: readonly object[]): void;
    close(): Promise<void>;
}

/** The queue that tests submit to. */
const CHECKS_ROUTE = {
    name: "checks",
    host: HOST_NAME,
    prefix: QUEUE_PREFIX,
    service: POOL,
    priority: 0,
    maxAttempts: 3,
    stretchFactor: 2,
    targetLatencyMs: 500,
};

/** Time from the crash of a worker to its return. */
const RESTART_MILLISECONDS = 1_500;

const ANSWER_LIMIT_MILLISECONDS = 5_000;
const START_LIMIT_MILLISECONDS = 20_000;

/** Starts store, workers and manifest; processes are started one by one. */
export async function startUsersDeployment(workerCount: number): Promise<UsersDeployment> {
    const now = (): number => performance.timeOrigin + performance.now();
    const directory = await mkdtemp(join(tmpdir(), "flamingowell-jobs-"));
    const store = createUsersStore(now);
    const workers: UsersWorker[] = [];
    let isClosed = false;
    /** Starts a worker, and another life of it with a new id some time after each crash. */
    const startWorker = async (name: string, life: number): Promise<void> => {
        const id = life === 1 ? name : `${name}-life-${life}`;
        const onCrash = (): void =>
            void setTimeout(() => {
                if (!isClosed) {
                    void startWorker(name, life + 1);
                }
            }, RESTART_MILLISECONDS);
        workers.push(await startUsersWorker({ id, now, onCrash, pool: POOL, store }));
    };
    for (let index = 0; index < workerCount; index++) {
        await startWorker(`worker-${index}`, 1);
    }
    const processes: JobsProcess[] = [];
    const publish = (version: number, routes: readonly object[] = [CHECKS_ROUTE]): void =>
        store.write("op/config", {
            version,
            routes,
            services: [{ name: POOL, admissionCheck: false }],
            limits: {},
        });
    publish(1);
    return {
        store,
        workers,
        processes,
        publish,
        async startProcess(name) {
            const started = await startJobsProcess(name, await store.listen(name), directory);
            processes.push(started);
            return started;
        },
        call: (process, method, path, body) => callProcess(process.origin, method, path, body),
        runs: () => workers.flatMap(({ runs }) => runs).sort((left, right) => left.startedAt - right.startedAt),
        async close() {
            isClosed = true;
            await Promise.all(processes.map(process => process.kill()));
            await Promise.all(workers.map(worker => worker.close()));
            await store.close();
            await rm(directory, { recursive: true, force: true });
        },
    };
}

async function startJobsProcess(name: string, store: StandInServer, directory: string): Promise<JobsProcess> {
    const file = join(directory, `${name}.json`);
    await writeFile(file, JSON.stringify({ metricsPort: 0, fields: describeSettings(name, store.address) }));
    const child = spawn(process.execPath, [SCRIPT], {
        env: { PATH: process.env["PATH"], FLAMINGOWELL_SETTINGS: file },
        stdio: ["ignore", "pipe", "inherit"],
    });
    const events: LoggedEvent[] = [];
    const exited = once(child, "exit");
    const listening = new Promise<string>((resolve, reject) => {
        const limit = setTimeout(() => reject(new Error(`${name} does not listen`)), START_LIMIT_MILLISECONDS);
        createInterface({ input: child.stdout }).on("line", line => {
            const event = JSON.parse(line) as LoggedEvent;
            events.push(event);
            if (event.event === "listening") {
                clearTimeout(limit);
                const { host, port } = event["callers"] as { host: string; port: number; };
                resolve(`http://${host}:${port}`);
            }
        });
    });
    return {
        name,
        child,
        origin: await listening,
        events,
        store,
        async kill() {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGKILL");
                await exited;
            }
        },
    };
}

function describeSettings(name: string, storeAddress: string): object {
    return {
        nodeName: name,
        ip: "127.0.0.1",
        zone: "levi",
        listenAddrs: { frontend: "127.0.0.1:0", ready: "127.0.0.1:0" },
        internalPorts: [0, 0],
        limits: { cpuQuota: 1, cores: 1 },
        platform: { address: storeAddress },
        heartbeatMs: 300,
        bounds: { holdMaxMs: LONGEST_LEASE_MILLISECONDS, status_s: 120, stopTimeoutMs: 900, graceS: 6 },
    };
}

async function callProcess(origin: string, method: string, path: string, body?: object): Promise<CallerAnswer> {
    try {
        const { request } = await import("undici");
        const { body: answer, headers, statusCode } = await request(`${origin}${path}`, {
            method: method as "GET",
            headers: { host: HOST_NAME, "content-type": "application/json", "deadline-ms": "3000" },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            signal: AbortSignal.timeout(ANSWER_LIMIT_MILLISECONDS),
        });
        const text = await answer.text();
        const { state } = (text === "" ? {} : JSON.parse(text)) as { state?: string; };
        const retryAfter = headers["retry-after"];
        return { status: statusCode, state, retryAfter: typeof retryAfter === "string" ? retryAfter : null };
    }
    catch {
        // No answer is an outcome of its own: the process is gone, or has not answered in time.
        return { status: 0, state: undefined, retryAfter: null };
    }
}
