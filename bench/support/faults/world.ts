/**
 * A whole deployment of real processes with fault-injecting proxies in all its links.
 */
import { mkdtemp, open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { hashText } from "../../../src/core/random.js";
import { createRpcClient } from "../../../src/core/rpc.js";
import type { RpcClient } from "../../../src/core/rpc.js";
import { pause, systemClock } from "../../../src/core/time.js";
import type { Clock } from "../../../src/core/time.js";
import { createInstanceList } from "../../../src/platform/adapters/instances.js";
import type { WorkerInstance, WorkerShape } from "../../../src/platform/instances.js";
import type { Deployment, Link } from "../../../stand-ins/deployment.js";
import { deploymentPlans, OPERATOR_TOKEN, PEER_TOKEN, startDeployment } from "../../../stand-ins/deployment.js";
import { createProxy, healthyRules } from "../../../stand-ins/proxy/index.js";
import type { Proxy } from "../../../stand-ins/proxy/index.js";
import { WorkerRecord } from "../../../stand-ins/worker/index.js";
import type { OperatorRecord } from "../checker/index.js";
import type { CallRecord } from "../load.js";
import { startBalancer } from "./balancer.js";
import type { Balancer } from "./balancer.js";
import type { Without } from "./without.js";

const HOST = "127.0.0.1";
const RPC_TIMEOUT_MILLISECONDS = 4_000;
const STATUS_TIMEOUT_MILLISECONDS = 1_000;
const READY_POLL_MILLISECONDS = 100;
/** Both users' workers. */
const WORKER_SHAPE = { slots: 8, cores: 32, memoryBytes: 125_000_000_000, accelerators: 0, connections: 64 } as const;

/** Options of a world. */
export interface WorldOptions {
    readonly seed: number;
    readonly deployment: keyof typeof deploymentPlans;
    readonly instances: number;
    /** Workers of each data centre; by default as many as the user has. */
    readonly workersPerDataCentre?: number;
    /** Settings of the worker stand-ins. */
    readonly workers: object;
    readonly gateway?: object;
    readonly scheduler?: object;
    /** Flags of Node.js for the daemons, such as limits of the heap. */
    readonly nodeFlags?: readonly string[];
    readonly without?: Without;
}

/** The deployment with everything that the bench writes down. */
export interface World {
    readonly options: WorldOptions;
    readonly deployment: Deployment;
    /** The platform's balancer before the gateways. */
    readonly balancer: Balancer;
    readonly clock: Clock;
    /** Proxies by link, `FROM>TO`; those before workers' serving ports are `gateways>WORKER`. */
    readonly proxies: ReadonlyMap<string, Proxy>;
    readonly workers: readonly WorkerInstance[];
    readonly operators: OperatorRecord[];
    readonly calls: CallRecord[];
    /** Times from the start of each restarted daemon until it listened. */
    readonly restartMilliseconds: number[];
    /** For operators' ports. */
    readonly operatorRpc: RpcClient;
    /** For peers' ports. */
    readonly peerRpc: RpcClient;
    /** Changes a worker's entry of the instance list. */
    list(worker: WorkerInstance): Promise<void>;
    readWorkerRecords(): Promise<WorkerRecord[]>;
    /** Lets every link pass everything. */
    healLinks(): void;
    close(): Promise<void>;
}

/** Starts a world. */
export async function startWorld(options: WorldOptions): Promise<World> {
    const recordFile = join(await mkdtemp(join(tmpdir(), "flamingowell-faults-")), "workers.jsonl");
    const proxies = new Map<string, Proxy>();
    const workers: WorkerInstance[] = [];
    const placeWorkers = async (origin: string) => {
        workers.push(...await putWorkersBehindProxies(origin, proxies, options));
    };
    let placing: Promise<void> | undefined;
    const route = async (link: Link, origin: string) => {
        // All daemons start at the same time; the first one's link places the workers for all.
        if (link.to === "instances") {
            placing ??= placeWorkers(origin);
            await placing;
        }
        return passThrough(`${link.from}>${link.to}`, origin, proxies, options.seed);
    };
    const dataCentres = deploymentPlans[options.deployment].dataCentres.map(({ name, workers: count }) => ({
        name,
        workers: options.workersPerDataCentre ?? count,
    }));
    const deployment = await startDeployment({
        dataCentres,
        instances: options.instances,
        platform: {
            recordFile,
            ...(options.without?.connections === undefined
                ? {}
                : { shape: { ...WORKER_SHAPE, connections: options.without.connections } }),
            workers: { seed: options.seed, ignore: options.without?.workersIgnore ?? [], ...options.workers },
        },
        ...(options.gateway === undefined ? {} : { gateway: options.gateway }),
        ...(options.scheduler === undefined ? {} : { scheduler: options.scheduler }),
        ...(options.nodeFlags === undefined ? {} : { nodeFlags: options.nodeFlags }),
        route,
    });
    const balancer = startBalancer(deployment);
    return {
        options,
        deployment,
        balancer,
        clock: systemClock,
        proxies,
        workers,
        operators: [],
        calls: [],
        restartMilliseconds: [],
        operatorRpc: createRpcClient({ token: OPERATOR_TOKEN, timeoutMilliseconds: RPC_TIMEOUT_MILLISECONDS }),
        peerRpc: createRpcClient({ token: PEER_TOKEN, timeoutMilliseconds: STATUS_TIMEOUT_MILLISECONDS }),
        list: worker => putInstance(deployment.instancesOrigin, worker),
        readWorkerRecords: createRecordReader(recordFile),
        healLinks() {
            for (const proxy of proxies.values()) {
                proxy.setRules(healthyRules);
            }
        },
        async close() {
            await balancer.stop();
            await deployment.kill();
            await Promise.all([...proxies.values()].map(proxy => proxy.close()));
        },
    };
}

async function passThrough(
    name: string,
    origin: string,
    proxies: Map<string, Proxy>,
    seed: number,
): Promise<string> {
    const target = { host: HOST, port: Number(new URL(origin).port) };
    const known = proxies.get(name);
    if (known !== undefined) {
        known.setTarget(target);
        return known.origin;
    }
    const proxy = await createProxy({ host: HOST, target, seed: seed ^ hashText(name) });
    proxies.set(name, proxy);
    return proxy.origin;
}

/** Daemons find the workers' serving ports in the list, so the list gets the proxies' addresses. */
async function putWorkersBehindProxies(
    instancesOrigin: string,
    proxies: Map<string, Proxy>,
    { seed, without }: WorldOptions,
): Promise<WorkerInstance[]> {
    const listed = await createInstanceList({ origin: instancesOrigin, timeoutMilliseconds: 5_000 }).list();
    const workers = (listed.isOk ? listed.value : []).flatMap(instance => instance.kind === "worker" ? [instance] : []);
    return Promise.all(workers.map(async worker => {
        const behind = {
            ...worker,
            shape: enlarge(worker.shape, without),
            serveOrigin: await passThrough(`gateways>${worker.name}`, worker.serveOrigin, proxies, seed),
        };
        await putInstance(instancesOrigin, behind);
        return behind;
    }));
}

function enlarge(shape: WorkerShape, without: Without | undefined): WorkerShape {
    const factor = without?.sizeFactor ?? 1;
    const connections = without?.connections === undefined ? shape.connections : WORKER_SHAPE.connections;
    return { ...shape, slots: shape.slots * factor, cores: shape.cores * factor, connections };
}

async function putInstance(instancesOrigin: string, worker: WorkerInstance): Promise<void> {
    const answer = await request(`${instancesOrigin}/stand-in/instances/${worker.name}`, {
        method: "PUT",
        body: JSON.stringify(worker),
    });
    await answer.body.dump();
    if (answer.statusCode !== 200) {
        throw new Error(`the instance list refused ${worker.name}: ${answer.statusCode}`);
    }
}

/** Reads the workers' log up to its last whole line; each line is read once, as long runs ask often. */
function createRecordReader(recordFile: string): () => Promise<WorkerRecord[]> {
    const records: WorkerRecord[] = [];
    let readBytes = 0;
    const readNew = async () => {
        const file = await open(recordFile, "r");
        try {
            const { size } = await file.stat();
            if (size === readBytes) {
                return;
            }
            const { buffer } = await file.read(Buffer.alloc(size - readBytes), 0, size - readBytes, readBytes);
            const whole = buffer.subarray(0, buffer.lastIndexOf("\n") + 1);
            readBytes += whole.length;
            for (const line of whole.toString("utf8").split("\n").filter(each => each !== "")) {
                records.push(WorkerRecord.parse(JSON.parse(line)));
            }
        }
        finally {
            await file.close();
        }
    };
    let reading = Promise.resolve();
    return async () => {
        reading = reading.then(readNew);
        await reading;
        return [...records];
    };
}

/** Waits until a condition holds; false after the limit. */
export async function waitUntil(limitMilliseconds: number, holds: () => Promise<boolean>): Promise<boolean> {
    const limit = AbortSignal.timeout(limitMilliseconds);
    while (!limit.aborted) {
        if (await holds()) {
            return true;
        }
        await pause(READY_POLL_MILLISECONDS);
    }
    return false;
}
