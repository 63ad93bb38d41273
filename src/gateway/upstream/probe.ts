/**
 * Probes after a time-out: an answer on a new connection tells a dead connection from a dead upstream.
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
    /** Called where the upstream does not answer on a new connection either. */
    onUnresponsive(worker: string): void;
}

/** Probes workers. */
export interface Prober {
    /** Looks into a request that was sent at a time and not answered by its deadline. */
    probeAfterTimeout(worker: string, sentAtMilliseconds: number): void;
}

const discardingSink: AnswerSink = {
    begin: () => undefined,
    write: () => true,
    end: () => undefined,
    abort: () => undefined,
};

/** Creates a prober; one probe at a time goes to a worker. */
export function createProber(options: ProberOptions): Prober {
    const probing = new Set<string>();
    /** The credit of the connection that was destroyed rests for a while, and the others may be in use. */
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
        // A worker that repeats request ids repeats this one, so that the answer does not look like another request's.
        const requestId = randomUUID();
        const result = await exchange(connection.client, {
            // Every server answers OPTIONS in some way, and it runs nothing.
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
            // What has been idle since before may have died the same way; what has answered since has not.
            options.pool.find(worker)?.dropIdle(sentAtMilliseconds);
            if (probing.has(worker)) {
                return;
            }
            probing.add(worker);
            void probe(worker).finally(() => probing.delete(worker));
        },
    };
}
