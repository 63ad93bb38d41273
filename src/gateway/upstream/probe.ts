/**
 * Probes after a time-out: an answer on another connection distinguishes a dead connection from a dead upstream.
 */
import { randomUUID } from "node:crypto";
import type { Logger } from "../../core/log.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import { headers } from "../../platform/worker.js";
import type { Connection, WorkerConnections } from "./connections.js";
import { exchange } from "./exchange.js";
import type { AnswerSink } from "./exchange.js";
import type { UpstreamPool } from "./pool.js";

const PROBE_PATH = "/";
const PROBE_LIMIT_BYTES = 65_536;
const ACQUIRE_LIMIT_MILLISECONDS = 2_000;
const ACQUIRE_STEP_MILLISECONDS = 20;

/** Options of the prober. */
export interface ProberOptions {
    /** Name under which workers report this gateway's connections. */
    readonly holder: string;
    readonly pool: UpstreamPool;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly probeTimeoutMilliseconds: number;
    /** Called when the upstream doesn't answer the probe either. */
    onUnresponsive(worker: string): void;
}

/** Probes workers after time-outs. */
export interface Prober {
    /** Probes a worker that has not answered a request by its deadline. */
    probeAfterTimeout(worker: string, sentAtMilliseconds: number): void;
}

const discardingSink: AnswerSink = {
    begin: () => undefined,
    write: () => true,
    end: () => undefined,
    abort: () => undefined,
};

/** Creates a prober; it sends one probe at a time to a worker. */
export function createProber(options: ProberOptions): Prober {
    const probing = new Set<string>();
    /** Waits for a connection: the credit of the destroyed one is cooling, and the others may be in use. */
    const acquire = async (connections: WorkerConnections | undefined): Promise<Connection | undefined> => {
        const endsAt = options.clock() + ACQUIRE_LIMIT_MILLISECONDS;
        let connection = connections?.acquire(options.clock());
        while (connection === undefined && options.clock() < endsAt) {
            await pause(ACQUIRE_STEP_MILLISECONDS);
            connection = connections?.acquire(options.clock());
        }
        return connection;
    };
    const probe = async (worker: string) => {
        const connections = options.pool.find(worker);
        const connection = await acquire(connections);
        if (connections === undefined || connection === undefined) {
            return;
        }
        // Workers that echo request ids would otherwise echo an id of another request.
        const requestId = randomUUID();
        const result = await exchange(connection.client, {
            // Every server answers OPTIONS in some way, and the request has no effects.
            method: "OPTIONS",
            path: PROBE_PATH,
            headers: { [headers.gateway]: options.holder, [headers.requestId]: requestId },
            body: Buffer.alloc(0),
            requestId,
            bufferBytes: PROBE_LIMIT_BYTES,
            limitBytes: PROBE_LIMIT_BYTES,
            timeoutMilliseconds: options.probeTimeoutMilliseconds,
            maySend: () => true,
        }, discardingSink);
        if (result.kind === "failed") {
            connections.discard(connection);
            options.logger.warn("upstream-dead", { step: "probe", peer: worker, reason: result.reason });
            options.onUnresponsive(worker);
            return;
        }
        connections.release(connection, options.clock());
        options.logger.info("connection-dead", { step: "probe", peer: worker });
    };
    return {
        probeAfterTimeout(worker, sentAtMilliseconds) {
            // Connections idle since before the request may be dead too; later ones have answered since.
            options.pool.find(worker)?.dropIdle(sentAtMilliseconds);
            if (probing.has(worker)) {
                return;
            }
            probing.add(worker);
            void probe(worker).finally(() => probing.delete(worker));
        },
    };
}
