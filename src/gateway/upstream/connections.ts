/**
 * Connections of this gateway to one worker, never more than its credits allow.
 *
 * Each connection is an undici client of its own and carries one request at a time, so that a connection can be
 * destroyed for one request's sake without harm to another.
 */
import { Client } from "undici";

/** One connection; it belongs to whoever acquired it until it is released or discarded. */
export interface Connection {
    readonly worker: string;
    readonly client: Client;
    idleSinceMilliseconds: number;
}

/** How connections are made. */
export interface ConnectionOptions {
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
    /** Takes an idle connection or creates one; `undefined` where the credits are used up or have lapsed. */
    acquire(now: number): Connection | undefined;
    /** A connection could be acquired now. */
    available(now: number): boolean;
    /** Gives back a connection whose last answer arrived whole. */
    release(connection: Connection, now: number): void;
    /** Destroys a connection in doubt. */
    discard(connection: Connection, now: number): void;
    /** Destroys idle connections, for instance because another one has turned out to be dead. */
    dropIdle(now: number): void;
    /** Sets the credits; connections beyond them are closed, busy ones last and only where `force` is set. */
    setCredits(credits: number, lapsesAtMilliseconds: number, now: number): void;
    /** Closes what has been idle for long and, after a lapse, everything. */
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
    const cool = (now: number) => {
        if (cooling.length > 0) {
            cooling = cooling.filter(until => until > now);
        }
        return cooling.length;
    };
    const held = (now: number) => idle.length + busy.size + cool(now);
    const connect = (): Connection => ({
        worker,
        idleSinceMilliseconds: 0,
        client: new Client(origin, {
            pipelining: 1,
            connect: { timeout: options.connectTimeoutMilliseconds },
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: options.idleMilliseconds,
        }),
    });
    const end = (connection: Connection, now: number) => {
        cooling.push(now + options.coolingMilliseconds);
        void connection.client.destroy();
    };
    const trimIdle = (now: number) => {
        while (idle.length > 0 && held(now) > credits) {
            const [oldest] = idle.splice(0, 1);
            if (oldest !== undefined) {
                void oldest.client.destroy();
            }
        }
    };
    return {
        worker,
        origin,
        available: now => now < lapsesAt && (idle.length > 0 || held(now) < credits),
        acquire(now) {
            if (now >= lapsesAt) {
                return undefined;
            }
            const connection = idle.pop() ?? (held(now) < credits ? connect() : undefined);
            if (connection !== undefined) {
                busy.add(connection);
            }
            return connection;
        },
        release(connection, now) {
            if (!busy.delete(connection)) {
                return;
            }
            connection.idleSinceMilliseconds = now;
            if (connection.client.destroyed || connection.client.closed) {
                return;
            }
            idle.push(connection);
            trimIdle(now);
        },
        discard(connection, now) {
            if (busy.delete(connection)) {
                end(connection, now);
            }
        },
        dropIdle(now) {
            for (const connection of idle.splice(0)) {
                end(connection, now);
            }
        },
        setCredits(granted, until, now) {
            credits = granted;
            lapsesAt = until;
            trimIdle(now);
        },
        sweep(now) {
            if (now >= lapsesAt) {
                for (const connection of [...idle.splice(0), ...busy]) {
                    busy.delete(connection);
                    end(connection, now);
                }
                return;
            }
            const oldest = now - options.idleMilliseconds;
            while ((idle[0]?.idleSinceMilliseconds ?? now) < oldest) {
                void idle.shift()?.client.destroy();
            }
        },
        held,
        busy: () => busy.size,
        async close() {
            const all = [...idle.splice(0), ...busy];
            busy.clear();
            await Promise.all(all.map(connection => connection.client.destroy()));
        },
    };
}
