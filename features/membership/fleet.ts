/**
 * A fleet of `node.ts` processes with a store and an instance list, for tests and benches.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { createRpcClient } from "../../src/core/rpc.js";
import type { RpcClient } from "../../src/core/rpc.js";
import type { Member } from "../../src/membership/member.js";
import { createInstancesStandIn, InstancesStandInSettings } from "../../stand-ins/instances/index.js";
import type { InstancesStandIn } from "../../stand-ins/instances/index.js";
import { startProcess } from "../../stand-ins/processes.js";
import type { RunningProcess } from "../../stand-ins/processes.js";
import { createStoreStandIn, StoreStandInSettings } from "../../stand-ins/store/index.js";
import type { StoreStandIn } from "../../stand-ins/store/index.js";

const TOKEN = "fleet-token";
const POLL_MILLISECONDS = 25;
const WAIT_LIMIT_MILLISECONDS = 60_000;
const CONCURRENT_STARTS = 6;
const DATA_CENTRES = ["rovaniemi", "levi", "saariselka"];

/** State of a process, returned by its control endpoint. */
export interface NodeReport {
    readonly messages: number;
    readonly bytes: number;
    readonly revisions: readonly { readonly team: string; readonly revision: number; readonly at: number; }[];
    /** Number of teams whose rules the process has. */
    readonly teams: number;
    /** All state changes of peers as seen by the process, in order. */
    readonly states: readonly { readonly name: string; readonly state: string; }[];
    readonly self: Member;
    readonly members: readonly Member[];
    /** Configuration revision in force; -1 before the process is informed. */
    readonly revision: number;
    readonly residentBytes: number;
    readonly processorMicroseconds: number;
}

/** One process of the fleet. */
export interface FleetNode {
    readonly name: string;
    readonly instance: string;
    process: RunningProcess;
    running: boolean;
}

/** Options of a fleet. An instance has two processes, a gateway and a scheduler. */
export interface FleetOptions {
    readonly instances: number;
    readonly seed: number;
    /** Settings of the parts, by the part's name. */
    readonly parts?: object;
    /** The store is down from the start. */
    readonly storeDown?: boolean;
}

/** A running fleet. */
export interface Fleet {
    readonly store: StoreStandIn;
    readonly instanceList: InstancesStandIn;
    readonly nodes: readonly FleetNode[];
    readonly rpc: RpcClient;
    /** Reads a process's report, on request with the revisions of one team only. */
    read(node: FleetNode, team?: string): Promise<NodeReport>;
    /** Cuts the links of a process or makes them lose messages; `{}` heals them. */
    setLinks(node: FleetNode, faults: { loss?: number; cut?: boolean; cutTo?: string[]; }): Promise<void>;
    /** Reads a metric; 0 where it has not been counted yet. */
    readMetric(node: FleetNode, name: string, label?: string): Promise<number>;
    kill(node: FleetNode): Promise<void>;
    restart(node: FleetNode): Promise<void>;
    stop(): Promise<void>;
}

/** Starts a fleet; resolves when all processes listen. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const directory = await mkdtemp(join(tmpdir(), "flamingowell-fleet-"));
    const store = await createStoreStandIn(StoreStandInSettings.parse({}));
    store.setFaults({ down: options.storeDown === true ? "reset" : "no" });
    const instanceList = await createInstancesStandIn(InstancesStandInSettings.parse({}));
    const nodes: FleetNode[] = [];
    let starts = 0;

    function start(instance: string, role: string): Promise<RunningProcess> {
        starts += 1;
        return startProcess({
            name: `${instance}-${role}-${starts}`,
            script: "dist/features/membership/node.js",
            directory,
            settings: {
                instance,
                role,
                dataCentre: getDataCentre(instance),
                store: store.origin,
                instanceList: instanceList.origin,
                token: TOKEN,
                seed: options.seed + starts,
                ...options.parts,
            },
        });
    }

    function register(instance: string): void {
        const originOf = (role: string) =>
            nodes.find(node => node.name === `${instance}/${role}`)?.process.announcement["peers"] ?? "";
        instanceList.put({
            kind: "entry",
            name: instance,
            dataCentre: getDataCentre(instance),
            state: "live",
            gatewayOrigin: originOf("gateway"),
            schedulerOrigin: originOf("scheduler"),
        });
    }

    const names = Array.from({ length: options.instances }, (_, index) => `entry-${index + 1}`);
    const wanted = names.flatMap(instance => ["gateway", "scheduler"].map(role => ({ instance, role })));
    for (let first = 0; first < wanted.length; first += CONCURRENT_STARTS) {
        const started = wanted.slice(first, first + CONCURRENT_STARTS).map(async ({ instance, role }) => ({
            name: `${instance}/${role}`,
            instance,
            process: await start(instance, role),
            running: true,
        }));
        nodes.push(...await Promise.all(started));
    }
    names.forEach(register);

    return {
        store,
        instanceList,
        nodes,
        rpc: createRpcClient({ token: TOKEN, timeoutMilliseconds: 20_000 }),
        read: async (node, team) => {
            const query = team === undefined ? "" : `?team=${team}`;
            const answer = await fetch(`${operatorsOf(node)}/control${query}`);
            return await answer.json() as NodeReport;
        },
        async setLinks(node, faults) {
            await fetch(`${operatorsOf(node)}/control`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(faults),
            });
        },
        async readMetric(node, name, label = "") {
            const answer = await fetch(`${operatorsOf(node)}/metrics`);
            const line = (await answer.text()).split("\n")
                .find(candidate => candidate.startsWith(name) && candidate.includes(label));
            return Number(line?.split(" ").at(-1) ?? 0);
        },
        async kill(node) {
            node.running = false;
            await node.process.kill();
        },
        async restart(node) {
            const [, role = ""] = node.name.split("/");
            node.process = await start(node.instance, role);
            node.running = true;
            register(node.instance);
        },
        async stop() {
            await Promise.all(nodes.filter(node => node.running).map(node => node.process.kill()));
            await Promise.all([store.close(), instanceList.close()]);
            await rm(directory, { recursive: true, force: true });
        },
    };
}

function getDataCentre(instance: string): string {
    return DATA_CENTRES[Number(instance.split("-")[1]) % DATA_CENTRES.length] ?? "rovaniemi";
}

/** Origin of a process's operators' port. */
export function operatorsOf(node: FleetNode | undefined): string {
    return node?.process.announcement["operators"] ?? "";
}

/** Waits until a condition holds; rejects with its description after a time limit. */
export async function waitFor(description: string, holds: () => Promise<boolean>): Promise<void> {
    const limit = performance.now() + WAIT_LIMIT_MILLISECONDS;
    while (!await holds()) {
        if (performance.now() > limit) {
            throw new Error(`timed out waiting until ${description}`);
        }
        await delay(POLL_MILLISECONDS);
    }
}
