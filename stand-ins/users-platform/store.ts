/**
 * Stand-in of the users' store: revisions, transactions, leases and long-polled watches.
 */
import { serveJson } from "./http.js";
import type { RequestFault, StandInAnswer, StandInRequest, StandInServer } from "./http.js";

interface Item {
    readonly key: string;
    /** Base64. */
    readonly value: string;
    readonly revision: number;
    readonly created: number;
    readonly leaseId: number;
}

interface Change {
    readonly key: string;
    readonly revision: number;
    /** Absent where the key was removed. */
    readonly item: Item | undefined;
}

/** A store that is served. */
export interface UsersStore {
    /** Opens an address for one client, so that its calls can be told from those of others. */
    listen(client: string): Promise<StandInServer>;
    /** Chooses the fault of each call; tests set it. */
    fault: (path: string, client: string) => RequestFault;
    /** Time that a call takes, in milliseconds. */
    delay: (path: string) => number;
    /** Calls by path. */
    readonly calls: Map<string, number>;
    /** Writes as the operator or a worker does, past all faults. */
    write(key: string, value: object): void;
    remove(key: string): void;
    /** Drops the history, so that watches have to begin anew. */
    compact(): void;
    close(): Promise<void>;
}

/** Time between two looks at a waiting watch and at leases. */
const LOOK_MILLISECONDS = 20;

/** Creates a store; it serves the addresses that are opened. */
export function createUsersStore(now: () => number): UsersStore {
    const items = new Map<string, Item>();
    const leases = new Map<number, { readonly ttl: number; endsAt: number; }>();
    let history: Change[] = [];
    let revision = 1;
    let compactedAt = 0;
    let nextLease = 1;

    const put = (key: string, value: string, leaseId: number): void => {
        const item = { key, value, revision, created: items.get(key)?.created ?? revision, leaseId };
        items.set(key, item);
        history.push({ key, revision, item });
    };
    const drop = (key: string): void => {
        if (items.delete(key)) {
            history.push({ key, revision, item: undefined });
        }
    };
    const endLease = (id: number): void => {
        leases.delete(id);
        revision += 1;
        [...items.values()].filter(({ leaseId }) => leaseId === id).forEach(({ key }) => drop(key));
    };
    const sweep = setInterval(() => {
        [...leases].filter(([, { endsAt }]) => endsAt < now()).forEach(([id]) => endLease(id));
    }, LOOK_MILLISECONDS);

    const transact = ({ precondition = [], put: puts = [], remove = [] }: {
        precondition?: { key: string; revision: number; }[];
        put?: { key: string; value: string; leaseId?: number; }[];
        remove?: string[];
    }): StandInAnswer => {
        const unmet = precondition.filter(({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted);
        if (unmet.length > 0) {
            return { status: 412, body: { items: precondition.flatMap(({ key }) => items.get(key) ?? []) } };
        }
        if (puts.some(({ leaseId = 0 }) => leaseId !== 0 && !leases.has(leaseId))) {
            return { status: 404 };
        }
        revision += 1;
        puts.forEach(({ key, leaseId = 0, value }) => put(key, value, leaseId));
        remove.forEach(drop);
        return { status: 200, body: { revision } };
    };

    const watch = async (prefix: string, after: number, waitMs: number): Promise<StandInAnswer> => {
        const until = now() + waitMs;
        for (;;) {
            if (after < compactedAt) {
                return { status: 410 };
            }
            const events = history.filter(change => change.revision > after && change.key.startsWith(prefix));
            if (events.length > 0 || now() >= until) {
                const told = events.map(change =>
                    change.item ?? { key: change.key, revision: change.revision, deleted: true }
                );
                return { status: 200, body: { events: told, atRevision: revision } };
            }
            await new Promise(resolve => setTimeout(resolve, LOOK_MILLISECONDS));
        }
    };

    const answer = async ({ body, method, url }: StandInRequest): Promise<StandInAnswer> => {
        const { pathname: path, searchParams: query } = url;
        const milliseconds = started.delay(path);
        if (milliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, milliseconds));
        }
        if (path === "/kv-key") {
            const item = items.get(query.get("key") ?? "");
            return item === undefined
                ? { status: 404, body: { atRevision: revision } }
                : { status: 200, body: { ...item, atRevision: revision } };
        }
        if (path === "/kv-range") {
            const after = query.get("after") ?? "";
            const found = [...items.values()].filter(({ key }) =>
                key.startsWith(query.get("prefix") ?? "") && key > after
            );
            found.sort((left, right) => left.key < right.key ? -1 : 1);
            return { status: 200, body: { items: found, hasMore: false, atRevision: revision } };
        }
        if (path === "/kv-watch") {
            return watch(query.get("prefix") ?? "", Number(query.get("after")), Number(query.get("waitMs")));
        }
        if (path === "/kv-txn") {
            return transact(body);
        }
        if (path === "/kv-lease") {
            const ttl = Number(body["ttlMs"]);
            const leaseId = nextLease++;
            leases.set(leaseId, { ttl, endsAt: now() + ttl });
            return { status: 200, body: { leaseId, ttlMs: ttl } };
        }
        const id = Number(path.split("/").at(-1));
        const lease = leases.get(id);
        if (lease === undefined) {
            return { status: 404 };
        }
        if (method === "DELETE") {
            endLease(id);
            return { status: 200 };
        }
        lease.endsAt = now() + lease.ttl;
        return { status: 200, body: { ttlMs: lease.ttl } };
    };

    const calls = new Map<string, number>();
    const store = {
        fault: (): RequestFault => "none",
        delay: () => 0,
        calls,
        write(key: string, value: object) {
            revision += 1;
            put(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        },
        remove(key: string) {
            revision += 1;
            drop(key);
        },
        compact() {
            compactedAt = revision;
            history = [];
        },
    };
    const servers: StandInServer[] = [];
    const started: UsersStore = {
        ...store,
        async listen(client) {
            const server = await serveJson(answer, ({ url }) => {
                calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
                return started.fault(url.pathname, client);
            });
            servers.push(server);
            return server;
        },
        close: async () => {
            clearInterval(sweep);
            await Promise.all(servers.map(server => server.close()));
        },
    };
    return started;
}
