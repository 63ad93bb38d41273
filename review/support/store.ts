/**
 * Stand-in of the platform's store: items, conditional transactions, leases and watches, as PROTOCOL.md describes them.
 */
import { setTimeout as delay } from "node:timers/promises";
import { HOST, serveJson } from "./http.js";
import type { JsonAnswer, JsonRequest } from "./http.js";

/** What the store does with a call. */
export type StoreFault =
    | { readonly kind: "none"; }
    /** Neither executed nor answered. */
    | { readonly kind: "silent"; }
    /** Not answered, and executed later if its condition still holds. */
    | { readonly kind: "late"; readonly milliseconds: number; };

/** The store. */
export interface Store {
    /** `HOST:PORT`. */
    readonly address: string;
    /** Chooses the fault of a call. */
    fault: (method: string, path: string, keys: readonly string[]) => StoreFault;
    /** Writes as the operator or a worker does. */
    write(key: string, value: object): void;
    remove(key: string): void;
    /** Reads a value; `undefined` if there is none. */
    read(key: string): string | undefined;
    close(): Promise<void>;
}

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
    readonly item: Item | undefined;
}

interface Transaction {
    readonly precondition?: readonly { readonly key: string; readonly revision: number; }[];
    readonly put?: readonly { readonly key: string; readonly value: string; readonly leaseId?: number; }[];
    readonly remove?: readonly string[];
}

const PAGE_ITEMS = 500;
const POLL_MILLISECONDS = 10;
const NO_FAULT: StoreFault = { kind: "none" };

/** Starts an empty store. */
export async function startStore(): Promise<Store> {
    const items = new Map<string, Item>();
    const leases = new Map<number, { readonly ttlMilliseconds: number; endsAt: number; }>();
    const history: Change[] = [];
    let revision = 1;
    let nextLease = 1;
    let isClosed = false;

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
    const endLapsedLeases = (): void => {
        const now = performance.now();
        [...leases].filter(([, { endsAt }]) => endsAt <= now).forEach(([id]) => endLease(id));
    };
    const sweep = setInterval(endLapsedLeases, POLL_MILLISECONDS);

    const transact = ({ precondition = [], put: puts = [], remove = [] }: Transaction): JsonAnswer => {
        const isMet = precondition.every(({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) === wanted);
        if (!isMet) {
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

    const listRange = (prefix: string, after: string): JsonAnswer => {
        const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const page = found.slice(0, PAGE_ITEMS);
        return { status: 200, body: { items: page, hasMore: page.length < found.length, atRevision: revision } };
    };

    const watch = async (prefix: string, after: number, waitMilliseconds: number): Promise<JsonAnswer> => {
        const until = performance.now() + waitMilliseconds;
        for (;;) {
            const events = history.filter(change => change.revision > after && change.key.startsWith(prefix));
            if (events.length > 0 || performance.now() >= until || isClosed) {
                const told = events.map(({ item, key, revision: at }) => item ?? { key, revision: at, deleted: true });
                return { status: 200, body: { events: told, atRevision: revision } };
            }
            await delay(POLL_MILLISECONDS);
        }
    };

    const callLease = (method: string, id: number): JsonAnswer => {
        const lease = leases.get(id);
        if (lease === undefined) {
            return { status: 404 };
        }
        if (method === "DELETE") {
            endLease(id);
            return { status: 200 };
        }
        lease.endsAt = performance.now() + lease.ttlMilliseconds;
        return { status: 200, body: { ttlMs: lease.ttlMilliseconds } };
    };

    const execute = async ({ body, method, url }: JsonRequest): Promise<JsonAnswer> => {
        endLapsedLeases();
        const { pathname: path, searchParams: query } = url;
        switch (path) {
            case "/kv-key": {
                const item = items.get(query.get("key") ?? "");
                return item === undefined
                    ? { status: 404, body: { atRevision: revision } }
                    : { status: 200, body: { ...item, atRevision: revision } };
            }
            case "/kv-range":
                return listRange(query.get("prefix") ?? "", query.get("after") ?? "");
            case "/kv-watch":
                return watch(query.get("prefix") ?? "", Number(query.get("after")), Number(query.get("waitMs")));
            case "/kv-txn":
                return transact(body);
            case "/kv-lease": {
                const ttlMilliseconds = Number(body["ttlMs"]);
                const leaseId = nextLease++;
                leases.set(leaseId, { ttlMilliseconds, endsAt: performance.now() + ttlMilliseconds });
                return { status: 200, body: { leaseId, ttlMs: ttlMilliseconds } };
            }
            default:
                return callLease(method, Number(path.split("/").at(-1)));
        }
    };

    const server = await serveJson(async request => {
        const { put: puts = [] } = request.body as Transaction;
        const fault = store.fault(request.method, request.url.pathname, puts.map(({ key }) => key));
        if (fault.kind === "silent") {
            return undefined;
        }
        if (fault.kind === "late") {
            setTimeout(() => void execute(request), fault.milliseconds);
            return undefined;
        }
        return execute(request);
    });
    const store: Store = {
        address: `${HOST}:${server.port}`,
        fault: () => NO_FAULT,
        write(key, value) {
            revision += 1;
            put(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        },
        remove(key) {
            revision += 1;
            drop(key);
        },
        read(key) {
            const item = items.get(key);
            return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
        },
        async close() {
            isClosed = true;
            clearInterval(sweep);
            await server.close();
        },
    };
    return store;
}
