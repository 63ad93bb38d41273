/**
 * An upstream that answers with a body of fixed size, and works on a limited number of requests at once.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listen } from "../../src/core/http.js";
import { headers } from "../../src/platform/worker.js";
import type { GatewayConnections } from "../../src/platform/worker.js";
import type { UpstreamsSettings } from "./settings.js";
import { BENCH_ADDRESS } from "./support.js";

/** Header by which callers of the benches name their calls. */
export const CALL_HEADER = "bench-call";

/** A running upstream with what it saw. */
export interface BenchUpstream {
    readonly worker: string;
    readonly origin: string;
    /** Most connections that gateways had open at once. */
    readonly peakConnections: () => number;
    readonly connections: () => GatewayConnections[];
    readonly runs: () => number;
    /** Names of the calls that it ran, one entry for each run. */
    readonly calls: () => readonly string[];
}

/** Starts an upstream. */
export async function startBenchUpstream(worker: string, settings: UpstreamsSettings): Promise<BenchUpstream> {
    const body = Buffer.alloc(settings.answerBytes, "a");
    const holders = new Map<Socket, string>();
    const waiting: (() => void)[] = [];
    const calls: string[] = [];
    let peak = 0;
    let runs = 0;
    let working = 0;

    const finish = (incoming: IncomingMessage, outgoing: ServerResponse) => {
        outgoing.writeHead(200, {
            "content-length": body.length,
            "content-type": "text/plain",
            [headers.requestId]: incoming.headers[headers.requestId] ?? "",
        });
        outgoing.end(body);
    };
    const work = (incoming: IncomingMessage, outgoing: ServerResponse) => {
        working += 1;
        setTimeout(() => {
            working -= 1;
            finish(incoming, outgoing);
            waiting.shift()?.();
        }, settings.workMilliseconds);
    };
    const { server, origin } = await listen((incoming, outgoing) => {
        runs += 1;
        holders.set(incoming.socket, String(incoming.headers[headers.gateway] ?? ""));
        peak = Math.max(peak, [...holders.values()].filter(holder => holder !== "").length);
        const call = incoming.headers[CALL_HEADER];
        if (typeof call === "string") {
            calls.push(call);
        }
        incoming.resume();
        if (settings.workMilliseconds === 0) {
            finish(incoming, outgoing);
        }
        else if (working < settings.parallel) {
            work(incoming, outgoing);
        }
        else {
            waiting.push(() => work(incoming, outgoing));
        }
    }, BENCH_ADDRESS);
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket: Socket) => {
        holders.set(socket, "");
        socket.on("close", () => holders.delete(socket));
    });
    return {
        worker,
        origin,
        peakConnections: () => peak,
        runs: () => runs,
        calls: () => calls,
        connections: () =>
            // Connections of the direct path and of the plain forwarder are outside of the system.
            [...new Set(holders.values())].filter(holder => holder !== "").map(gateway => ({
                gateway,
                connections: [...holders.values()].filter(holder => holder === gateway).length,
            })),
    };
}
