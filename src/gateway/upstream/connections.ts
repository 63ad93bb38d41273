/**
 * Connections of this gateway to one worker, never more than its credits allow.
 *
 * Each connection is an undici client of its own and carries one request at a time, so that a connection can be
 * destroyed for one request's sake without harm to another.
 */
import { Client } from "undici";
import type { Clock } from "../../core/time.js";

const CLIENT_KEEP_ALIVE_MILLISECONDS = 600_000;

/** One connection; it belongs to whoever acquired it until it is released or discarded. */
export interface Connection {
    readonly worker: string;
    readonly client: Client;
    idleSinceMilliseconds: number;
}

/** How connections are made. */
export interface ConnectionOptions {
    readonly clock: Clock;
    readonly connectTimeoutMilliseconds: number;
    /** Idle connections are closed after this time. */
    readonly idleMilliseconds: number;
    /** Time for which the credit of a destroyed connection is not used, since the worker learns of the end later. */
    readonly coolingMilliseconds: number;
}

/** Connections to one worker. */
export interface WorkerConnections {
    readonly worker: string;
    readonly origin: string;
    /** Takes an idle connection or creates one; after the lapse of the credits only open connections are taken. */
    acquire(now: number): Connection | undefined;
    /** A connection could be acquired now. */
    available(now: number): boolean;
    /** Gives back a connection whose last answer arrived whole. */
    release(connection: Connection, now: number): void;
    /** Destroys a connection in doubt. */
    discard(connection: Connection): void;
    /** Destroys connections that have been idle since before a time, because another one has turned out to be dead. */
    dropIdle(olderThanMilliseconds: number): void;
    /** Sets the credits and the time at which they lapse; idle connections beyond them are closed. */
    setCredits(credits: number, lapsesAtMilliseconds: number): void;
    /** Credits in force. */
    credits(now: number): number;
    lapsesAt(): number;
    /** Closes what has been idle for long. */
    sweep(now: number): void;
    /** Connections that count against the credits. */
    held(now: number): number;
    busy(): number;
    close(): Promise<void>;
}

/** Creates the connections of one worker, with no credits. */
export function createWorkerConnections(
    worker: string,
    origin: string,
    options: ConnectionOptions,
): WorkerConnections {
    const idle: Connection[] = [];
    const busy = new Set<Connection>();
    let cooling: number[] = [];
    let credits = 0;
    let lapsesAt = 0;
    const countCooling = (now: number) => {
        if (cooling.length > 0) {
            cooling = cooling.filter(until => until > now);
        }
        return cooling.length;
    };
    const held = (now: number) => idle.length + busy.size + countCooling(now);
    const destroyConnection = (connection: Connection) => {
        cooling.push(options.clock() + options.coolingMilliseconds);
        void connection.client.destroy();
    };
    const connect = (): Connection => {
        const client = new Client(origin, {
            pipelining: 1,
            connect: { timeout: options.connectTimeoutMilliseconds },
            headersTimeout: 0,
            bodyTimeout: 0,
            // Idle connections are closed by sweep, which knows whether another could be opened in their place.
            keepAliveTimeout: CLIENT_KEEP_ALIVE_MILLISECONDS,
        });
        const connection: Connection = { worker, client, idleSinceMilliseconds: 0 };
        client.on("connect", () => {
            // The process may have been paused since it looked at the lease.
            if (options.clock() >= lapsesAt) {
                void client.destroy();
            }
        });
        client.on("disconnect", () => {
            const index = idle.indexOf(connection);
            if (index >= 0) {
                idle.splice(index, 1);
                destroyConnection(connection);
            }
        });
        return connection;
    };
    const trimIdle = () => {
        while (idle.length > 0 && idle.length + busy.size > credits) {
            const oldest = idle.shift();
            if (oldest !== undefined) {
                destroyConnection(oldest);
            }
        }
    };
    return {
        worker,
        origin,
        available: now => idle.length > 0 || now < lapsesAt && held(now) < credits,
        acquire(now) {
            const connection = idle.pop() ?? (now < lapsesAt && held(now) < credits ? connect() : undefined);
            if (connection !== undefined) {
                busy.add(connection);
            }
            return connection;
        },
        release(connection, now) {
            if (!busy.delete(connection)) {
                return;
            }
            if (connection.client.destroyed || connection.client.closed) {
                destroyConnection(connection);
                return;
            }
            connection.idleSinceMilliseconds = now;
            idle.push(connection);
            trimIdle();
        },
        discard(connection) {
            if (busy.delete(connection)) {
                destroyConnection(connection);
            }
        },
        dropIdle(olderThanMilliseconds) {
            const dropped = idle.filter(one => one.idleSinceMilliseconds < olderThanMilliseconds);
            idle.splice(0, idle.length, ...idle.filter(one => !dropped.includes(one)));
            dropped.forEach(destroyConnection);
        },
        setCredits(granted, until) {
            credits = granted;
            lapsesAt = until;
            trimIdle();
        },
        credits: now => now < lapsesAt ? credits : 0,
        lapsesAt: () => lapsesAt,
        sweep(now) {
            if (now >= lapsesAt) {
                // What is closed now could not be opened again.
                return;
            }
            const oldest = now - options.idleMilliseconds;
            while ((idle[0]?.idleSinceMilliseconds ?? now) < oldest) {
                const connection = idle.shift();
                if (connection !== undefined) {
                    destroyConnection(connection);
                }
            }
        },
        held,
        busy: () => busy.size,
        async close() {
            const all = [...idle.splice(0), ...busy];
            busy.clear();
            cooling = [];
            await Promise.all(all.map(connection => connection.client.destroy()));
        },
    };
}
