/**
 * A whole deployment of real processes: the development platform, and a gateway and a scheduler on each entry instance.
 */
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { startProcess } from "./processes.js";
import type { RunningProcess } from "./processes.js";

const LOOPBACK = "127.0.0.1";
/** Target of a link whose process does not listen yet; connections to it are refused. */
const NOWHERE = `http://${LOOPBACK}:1`;
const SCRIPTS = {
    platform: "dist/stand-ins/platform.js",
    gateway: "dist/src/binaries/gateway.js",
    scheduler: "dist/src/binaries/scheduler.js",
} as const;

export const PEER_TOKEN = "peer-token-for-loopback";
export const OPERATOR_TOKEN = "operator-token-for-loopback";

/** A data centre with its workers. */
export interface DataCentrePlan {
    readonly name: string;
    readonly workers: number;
}

/** The two users' deployments at today's sizes. */
export const deploymentPlans = {
    "tunturivalo": {
        dataCentres: [
            { name: "rovaniemi", workers: 11 },
            { name: "levi", workers: 11 },
            { name: "saariselka", workers: 11 },
        ],
        rules: "examples/tunturivalo.rules",
        team: "tunturivalo",
    },
    "sumber-padi": {
        dataCentres: [
            { name: "west", workers: 15 },
            { name: "central", workers: 15 },
            { name: "east", workers: 15 },
        ],
        rules: "examples/sumber-padi.rules",
        team: "sumber-padi",
    },
} as const;

/** Daemons of an entry instance. */
export type DaemonRole = "gateway" | "scheduler";

/** A connection from one process to another, which a proxy may stand in. */
export interface Link {
    /** `INSTANCE/ROLE` of the process that connects. */
    readonly from: string;
    /** `store`, `instances`, or `INSTANCE/ROLE` under which peers find the process. */
    readonly to: string;
}

/** What to start. */
export interface DeploymentOptions {
    readonly dataCentres: readonly DataCentrePlan[];
    /** Entry instances, spread over the data centres in turn. */
    readonly instances: number;
    /** Settings of the platform stand-in beside the data centres. */
    readonly platform?: object;
    /** Settings of every gateway and scheduler beside addresses and names. */
    readonly gateway?: object;
    readonly scheduler?: object;
    /** Gives the origin under which a link is made, such as that of a proxy before the real one. */
    readonly route?: (link: Link, origin: string) => Promise<string>;
    readonly nodeFlags?: readonly string[];
    /** Folder for settings and logs; a new temporary one by default. */
    readonly directory?: string;
}

/** An entry instance with its processes; a killed process stays in place until it is started again. */
export interface DeployedInstance {
    readonly name: string;
    readonly dataCentre: string;
    gateway: RunningProcess;
    scheduler: RunningProcess;
}

/** A deployment that runs. */
export interface Deployment {
    readonly directory: string;
    readonly platform: RunningProcess;
    readonly storeOrigin: string;
    readonly instancesOrigin: string;
    readonly workers: readonly DeployedWorker[];
    readonly instances: readonly DeployedInstance[];
    /** Starts a daemon that has ended, on the ports that it had. */
    restart(instance: DeployedInstance, role: DaemonRole): Promise<RunningProcess>;
    /** Changes the faults of a stand-in; `origin` is the store's, the instance list's or a worker's control origin. */
    setFaults(origin: string, change: object): Promise<void>;
    /** Stops all processes gracefully, the platform last, and gives each one's exit code. */
    stop(): Promise<readonly StopOutcome[]>;
    /** Ends all processes at once. */
    kill(): Promise<void>;
}

/** A worker of the platform stand-in. */
export interface DeployedWorker {
    readonly name: string;
    readonly control: string;
    readonly serve: string;
}

/** How a process ended. */
export interface StopOutcome {
    readonly name: string;
    readonly exit: number | NodeJS.Signals;
}

interface Ports {
    readonly [port: string]: { readonly host: string; readonly port: number; };
}

/** Starts a deployment; resolves when all processes listen and the instance list knows them. */
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
    const directory = options.directory ?? await mkdtemp(join(tmpdir(), "flamingowell-"));
    const platform = await startProcess({
        name: "platform",
        script: SCRIPTS.platform,
        settings: { dataCentres: options.dataCentres, ...options.platform },
        directory,
    });
    const storeOrigin = readOrigin(platform, "store");
    const instancesOrigin = readOrigin(platform, "instances");
    const launcher = createLauncher({ ...options, directory }, storeOrigin, instancesOrigin);
    const instances = await Promise.all(
        [...Array(options.instances).keys()].map(index => startInstance(index, options, launcher)),
    );
    await Promise.all(instances.map(instance => register(instance, instancesOrigin, options)));
    const daemons = () => instances.flatMap(({ gateway, scheduler }) => [gateway, scheduler]);
    return {
        directory,
        platform,
        storeOrigin,
        instancesOrigin,
        workers: platform.announcement["workers"] as unknown as DeployedWorker[],
        instances,
        restart: async (instance, role) => {
            instance[role] = await launcher.start(instance.name, instance.dataCentre, role, readPorts(instance[role]));
            return instance[role];
        },
        setFaults: postFaults,
        stop: async () => {
            const outcomes = await Promise.all(daemons().map(stopProcess));
            return [...outcomes, await stopProcess(platform)];
        },
        kill: async () => {
            await Promise.all([...daemons(), platform].map(running => running.kill()));
        },
    };
}

async function stopProcess(running: RunningProcess): Promise<StopOutcome> {
    return { name: running.name, exit: await running.stop() };
}

function readOrigin(running: RunningProcess, port: string): string {
    const origin = running.announcement[port];
    if (origin === undefined) {
        throw new Error(`${running.name} does not announce ${port}`);
    }
    return origin;
}

interface Launcher {
    start(instance: string, dataCentre: string, role: DaemonRole, ports?: Ports): Promise<RunningProcess>;
}

function createLauncher(
    options: DeploymentOptions & { readonly directory: string; },
    storeOrigin: string,
    instancesOrigin: string,
): Launcher {
    const route = options.route ?? (async (link: Link, origin: string) => origin);
    return {
        start: async (instance, dataCentre, role, ports = {}) => {
            const from = `${instance}/${role}`;
            const anyPort = { host: LOOPBACK, port: 0 };
            const routePeers = (origin: string) => options.route?.({ from: "peers", to: from }, origin);
            // Peers tell one another their origins, so a link that is routed exists before the process runs.
            const advertisedOrigin = await routePeers(NOWHERE);
            const settings = {
                instance,
                dataCentre,
                store: { origins: [await route({ from, to: "store" }, storeOrigin)] },
                instanceList: { origin: await route({ from, to: "instances" }, instancesOrigin) },
                peers: ports["peers"] ?? anyPort,
                ...(advertisedOrigin === undefined ? {} : { advertisedOrigin }),
                metrics: ports["metrics"] ?? anyPort,
                peerToken: PEER_TOKEN,
                ...(role === "gateway"
                    ? {
                        callers: ports["callers"] ?? anyPort,
                        operators: ports["operators"] ?? anyPort,
                        operatorToken: OPERATOR_TOKEN,
                    }
                    : {}),
                ...options[role],
            };
            const started = await startProcess({
                name: `${instance}-${role}`,
                script: SCRIPTS[role],
                settings,
                directory: options.directory,
                nodeFlags: options.nodeFlags ?? [],
            });
            await routePeers(readOrigin(started, "peers"));
            return started;
        },
    };
}

async function startInstance(index: number, options: DeploymentOptions, launcher: Launcher): Promise<DeployedInstance> {
    const name = `entry-${index + 1}`;
    const dataCentre = options.dataCentres[index % options.dataCentres.length]?.name ?? "nowhere";
    const [gateway, scheduler] = await Promise.all([
        launcher.start(name, dataCentre, "gateway"),
        launcher.start(name, dataCentre, "scheduler"),
    ]);
    return { name, dataCentre, gateway, scheduler };
}

/** Reads the ports that a process was given, so that its successor gets the same. */
function readPorts(running: RunningProcess): Ports {
    const origins = Object.entries(running.announcement).filter(([port]) => port !== "event");
    return Object.fromEntries(origins.map(([port, origin]) => {
        const url = new URL(origin);
        return [port, { host: url.hostname, port: Number(url.port) }];
    }));
}

async function register(
    instance: DeployedInstance,
    instancesOrigin: string,
    options: DeploymentOptions,
): Promise<void> {
    const route = options.route ?? (async (link: Link, origin: string) => origin);
    const listed = {
        kind: "entry",
        name: instance.name,
        dataCentre: instance.dataCentre,
        state: "live",
        gatewayOrigin: await route(
            { from: "peers", to: `${instance.name}/gateway` },
            readOrigin(instance.gateway, "peers"),
        ),
        schedulerOrigin: await route(
            { from: "peers", to: `${instance.name}/scheduler` },
            readOrigin(instance.scheduler, "peers"),
        ),
    };
    await send(`${instancesOrigin}/stand-in/instances/${instance.name}`, "PUT", listed);
}

async function postFaults(origin: string, change: object): Promise<void> {
    await send(`${origin}/stand-in/faults`, "POST", change);
}

async function send(url: string, method: "PUT" | "POST", content: object): Promise<void> {
    const answer = await request(url, {
        method,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(content),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) {
        throw new Error(`${method} ${url}: ${answer.statusCode} ${text}`);
    }
}
