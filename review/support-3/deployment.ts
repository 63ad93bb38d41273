/**
 * A small deployment: the project's stand-in of the store, workers of this review, and jobs processes that are started with the command of
 * the deploy file.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { createUsersStore } from "../../stand-ins/users-platform/store.js";
import type { UsersStore } from "../../stand-ins/users-platform/store.js";
import type { Recorder } from "./record.js";
import { LONGEST_LEASE_MILLISECONDS, startWorker } from "./worker.js";
import type { Run, Worker } from "./worker.js";

const POOL = "tiket-giling";
const HOST_NAME = "tiket.example";
const ZONES = ["jawa-barat", "jawa-tengah", "jawa-timur"];
const METRICS_PORT = 7721;
const CLIENT_LIMIT_MILLISECONDS = 3_000;
const START_LIMIT_MILLISECONDS = 15_000;

/** A jobs process. */
export interface JobsProcess {
    readonly name: string;
    readonly child: ChildProcess;
    readonly origin: string;
    kill(): Promise<void>;
}

/** Answer to a client; the status is 0 if there was none. */
export interface ClientAnswer {
    readonly status: number;
    readonly state: string | undefined;
}

/** A deployment that runs. */
export interface Deployment {
    readonly store: UsersStore;
    readonly workers: readonly Worker[];
    readonly processes: JobsProcess[];
    /** Starts processes, each at a loopback address of its own. */
    startProcesses(count: number): Promise<void>;
    call(process: JobsProcess, method: string, path: string, body?: object): Promise<ClientAnswer>;
    /** Submits a job, again at the next process while there is no definite answer; returns the last status. */
    submit(prefix: string, id: string, job: object): Promise<number>;
    runs(): Run[];
    /** Number of orders that have arrived at the workers. */
    orders(): number;
    close(): Promise<void>;
}

/** Options of a deployment. */
export interface DeploymentOptions {
    readonly workers: number;
    readonly recorder: Recorder;
    readonly routes: readonly object[];
}

/** Describes a queue of the deployment's pool. */
export function describeRoute(name: string, fields: object = {}): object {
    return {
        name,
        host: HOST_NAME,
        prefix: `/${name}/`,
        service: POOL,
        priority: 0,
        maxAttempts: 4,
        stretchFactor: 2,
        targetLatencyMs: 500,
        ...fields,
    };
}

/** Starts store, workers and manifest; the processes are started one by one. */
export async function startDeployment({ recorder, routes, workers: count }: DeploymentOptions): Promise<Deployment> {
    const directory = await mkdtemp(join(tmpdir(), "flamingowell-review-"));
    const store = createUsersStore(() => performance.timeOrigin + performance.now());
    const workers = await Promise.all(
        Array.from({ length: count }, (_, index) =>
            startWorker({
                id: `w${index}`,
                pool: POOL,
                zone: ZONES[index % ZONES.length] ?? "",
                rack: `r${index % ZONES.length}-${Math.floor(index / ZONES.length)}`,
                recorder,
                register: (id, entry) => store.write(`servers/${id}`, entry),
                unregister: id => store.remove(`servers/${id}`),
            })),
    );
    store.write("op/config", {
        version: 1,
        routes,
        services: [{ name: POOL, admissionCheck: false }],
        limits: {},
    });
    const processes: JobsProcess[] = [];
    const call: Deployment["call"] = async (process, method, path, body) => {
        const answer = await callProcess(process.origin, method, path, body);
        recorder.write("call", { process: process.name, method, path, ...answer });
        return answer;
    };
    return {
        store,
        workers,
        processes,
        async startProcesses(processCount) {
            for (let number = 1; number <= processCount; number++) {
                const name = `edge-${number}`;
                const { address } = await store.listen(name);
                processes.push(await startJobsProcess(name, `127.0.0.${number + 1}`, address, directory, recorder));
            }
        },
        call,
        async submit(prefix, id, job) {
            let status = 0;
            for (let attempt = 0; attempt < 5; attempt++) {
                const process = processes[attempt % processes.length];
                if (process === undefined) {
                    return status;
                }
                ({ status } = await call(process, "POST", `/${prefix}/${id}`, job));
                if (status === 200) {
                    return status;
                }
                await new Promise(resolve => setTimeout(resolve, 500));
            }
            return status;
        },
        runs: () => workers.flatMap(({ runs }) => runs).sort((left, right) => left.startedAt - right.startedAt),
        orders: () => workers.reduce((sum, { orders }) => sum + orders, 0),
        async close() {
            await Promise.all(processes.map(process => process.kill()));
            await Promise.all(workers.map(worker => worker.close()));
            await store.close();
            await rm(directory, { recursive: true, force: true });
        },
    };
}

/** Reads the command of the deploy file. */
async function readRunCommand(): Promise<string[]> {
    const text = await readFile("deploy/system.toml", "utf8");
    const command = /^run = "(.*)"$/m.exec(text)?.[1];
    if (command === undefined) {
        throw new Error("the deploy file names no command");
    }
    return command.split(" ");
}

async function startJobsProcess(
    name: string,
    host: string,
    storeAddress: string,
    directory: string,
    recorder: Recorder,
): Promise<JobsProcess> {
    const [program = "node", ...commandArguments] = await readRunCommand();
    const ports = await findFreePorts(host, 3);
    const file = join(directory, `${name}.json`);
    const fields = describeSettings(name, host, ports, storeAddress);
    await writeFile(file, JSON.stringify({ metricsPort: METRICS_PORT, fields }));
    const child = spawn(program, commandArguments, {
        env: { PATH: process.env["PATH"], FLAMINGOWELL_SETTINGS: file },
        stdio: ["ignore", "pipe", "inherit"],
    });
    const exited = once(child, "exit");
    void exited.then(([code, signal]) =>
        recorder.write("exit", { process: name, code: code as unknown, signal: signal as unknown })
    );
    await new Promise<void>((resolve, reject) => {
        const limit = setTimeout(() => reject(new Error(`${name} does not listen`)), START_LIMIT_MILLISECONDS);
        createInterface({ input: child.stdout }).on("line", line => {
            const event = JSON.parse(line) as { event: string; };
            recorder.write("log", { process: name, ...event });
            if (event.event === "listening") {
                clearTimeout(limit);
                resolve();
            }
        });
    });
    return {
        name,
        child,
        origin: `http://${host}:${ports[0] ?? 0}`,
        async kill() {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGKILL");
                await exited;
            }
        },
    };
}

async function findFreePorts(host: string, count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => createServer());
    const ports = await Promise.all(servers.map(async server => {
        server.listen(0, host);
        await once(server, "listening");
        return (server.address() as AddressInfo).port;
    }));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function describeSettings(name: string, host: string, ports: readonly number[], storeAddress: string): object {
    const [frontend = 0, ready = 0, internal = 0] = ports;
    return {
        nodeName: name,
        role: "entry",
        ip: host,
        zone: ZONES[0],
        region: "jawa",
        listenAddrs: { frontend: `${host}:${frontend}`, ready: `${host}:${ready}` },
        internalPorts: [internal, internal],
        limits: { cpuQuota: 0.675, cores: 1, memoryMb: 350, maxFds: 4_100 },
        platform: { address: storeAddress },
        heartbeatMs: 1_100,
        bounds: { holdMaxMs: LONGEST_LEASE_MILLISECONDS, status_s: 120, stopTimeoutMs: 200, graceS: 6 },
    };
}

async function callProcess(origin: string, method: string, path: string, body?: object): Promise<ClientAnswer> {
    try {
        const { request } = await import("undici");
        const answer = await request(`${origin}${path}`, {
            method: method as "GET",
            headers: {
                "host": HOST_NAME,
                "content-type": "application/json",
                "deadline-ms": String(CLIENT_LIMIT_MILLISECONDS),
            },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            signal: AbortSignal.timeout(CLIENT_LIMIT_MILLISECONDS),
        });
        const text = await answer.body.text();
        const { state } = (text === "" ? {} : JSON.parse(text)) as { state?: string; };
        return { status: answer.statusCode, state };
    }
    catch {
        // No answer is an outcome of its own.
        return { status: 0, state: undefined };
    }
}
