/**
 * The processes that benches of the request path start.
 */
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { RequestSettings } from "../../src/gateway/settings.js";
import { startProcess } from "../../stand-ins/processes.js";
import type { RunningProcess } from "../../stand-ins/processes.js";
import type { BenchGatewaySettings, ForwarderSettings, UpstreamsSettings } from "./settings.js";

/** What the upstreams have seen. */
export interface UpstreamFacts {
    readonly peakConnections: number;
    readonly runs: number;
    /** Runs of calls that had run before. */
    readonly doubled: number;
}

/** Processes of one run; all end with it. */
export interface BenchProcesses {
    startUpstreams(settings: UpstreamsSettings): Promise<void>;
    /** Starts a store and an instance list of their own for the gateways started next, which have all guards. */
    startPlatform(): Promise<void>;
    /** Origins of the upstreams themselves. */
    workers(): readonly string[];
    startGateway(
        instance: string,
        changes?: { request?: Partial<RequestSettings>; surface?: BenchGatewaySettings["surface"]; },
    ): Promise<RunningProcess>;
    startForwarder(): Promise<RunningProcess>;
    readFacts(): Promise<UpstreamFacts>;
}

/** Runs a function with processes, and ends those that are left afterwards. */
export async function withProcesses<Result>(run: (processes: BenchProcesses) => Promise<Result>): Promise<Result> {
    const directory = await mkdtemp(join(tmpdir(), "flamingowell-bench-"));
    const running: RunningProcess[] = [];
    let upstreams: Readonly<Record<string, string>> = {};
    let platform: BenchGatewaySettings["platform"];
    const start = async (name: string, script: string, settings: object) => {
        const started = await startProcess({ name, script: `dist/${script}.js`, settings, directory });
        running.push(started);
        return started;
    };
    const workers = () =>
        Object.entries(upstreams).filter(([name]) => name.startsWith("worker-")).map(([, origin]) => origin);
    try {
        return await run({
            workers,
            startUpstreams: async settings => {
                upstreams = (await start("upstreams", "bench/request/upstreams", settings)).announcement;
            },
            startPlatform: async () => {
                const { announcement } = await start(`platform-${running.length}`, "stand-ins/platform", {});
                platform = { store: announcement["store"] ?? "", instances: announcement["instances"] ?? "" };
            },
            startGateway: (instance, changes = {}) =>
                start(
                    instance,
                    "bench/request/gateway",
                    {
                        instance,
                        schedulers: [upstreams["scheduler"] ?? ""],
                        ...(platform === undefined ? {} : { platform }),
                        request: RequestSettings.parse(changes.request ?? {}),
                        surface: changes.surface ?? "plain",
                    } satisfies BenchGatewaySettings,
                ),
            startForwarder: () =>
                start(
                    "forwarder",
                    "bench/request/forwarder",
                    { upstreams: [...workers()] } satisfies ForwarderSettings,
                ),
            readFacts: async () => {
                const answer = await request(`${upstreams["scheduler"] ?? ""}/facts`);
                return await answer.body.json() as UpstreamFacts;
            },
        });
    }
    finally {
        await Promise.all(running.map(process => process.kill()));
    }
}

/** Waits until a gateway answers a call, which is made with further headers where some are given. */
export async function waitUntilServing(
    origin: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<void> {
    for (;;) {
        const answer = await request(origin + path, { headers });
        await answer.body.dump();
        if (answer.statusCode === 200) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}
