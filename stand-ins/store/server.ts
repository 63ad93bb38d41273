/**
 * The store stand-in: serves the JSON gateway of the etcd v3 API, with counts, limits and faults.
 */
import express from "express";
import type { Request, Response } from "express";
import type { z } from "zod";
import { listen } from "../../src/core/http.js";
import { systemClock } from "../../src/core/time.js";
import { etcdPaths } from "../../src/platform/adapters/etcd.js";
import { pauseUnlessZero, readBody, serveControl } from "../support/control.js";
import { createCounts, createRateLimit } from "./counts.js";
import type { CallKind, RateLimit, StoreCounts } from "./counts.js";
import { createEngine } from "./engine.js";
import { createKeyspace } from "./keyspace.js";
import type { KeyView } from "./keyspace.js";
import {
    grpcStatus,
    LeaseGrantRequest,
    LeaseRequest,
    RangeRequest,
    StoreRefusal,
    TransactionRequest,
    WatchRequest,
} from "./messages.js";
import { StoreFaultChange } from "./settings.js";
import type { StoreFaults, StoreStandInSettings } from "./settings.js";
import { createWatches } from "./watches.js";

const BODY_LIMIT = "16mb";
const EXPIRY_CHECK_MILLISECONDS = 50;

/** What `GET /stand-in/counts` answers. */
export interface StoreCountsAnswer extends StoreCounts {
    readonly revision: number;
    readonly keys: number;
    readonly leases: number;
}

/** A running store stand-in. */
export interface StoreStandIn {
    readonly origin: string;
    counts(): StoreCountsAnswer;
    setFaults(change: StoreFaultChange): void;
    close(): Promise<void>;
}

/** A call that has an effect or an answer of its own. */
interface Call<Schema extends z.ZodType> {
    readonly kind: CallKind;
    readonly schema: Schema;
    isWrite(request: z.output<Schema>): boolean;
    carryOut(request: z.output<Schema>): object;
}

/** Starts a store stand-in. */
export async function createStoreStandIn(settings: StoreStandInSettings): Promise<StoreStandIn> {
    const clock = systemClock;
    const counts = createCounts();
    const keyspace = createKeyspace(settings.historyEvents);
    const faults: StoreFaults = {
        down: "no",
        slowMilliseconds: 0,
        loseAnswers: 0,
        staleReads: false,
        silentWatches: false,
    };
    let staleView: KeyView | undefined;
    const watches = createWatches({
        keyspace,
        isSilent: () => faults.silentWatches,
        onBytes: bytes => counts.bytesOut += bytes,
    });
    const engine = createEngine({ keyspace, valueLimitBytes: settings.valueLimitBytes, onChanges: watches.publish });
    const limits = {
        write: createRateLimit(settings.writesPerSecond),
        read: createRateLimit(settings.readsPerSecond),
    };

    function setFaults(change: StoreFaultChange): void {
        const { breakWatches, ...kept } = change;
        const defined = Object.entries(kept).filter(([, value]) => value !== undefined);
        Object.assign(faults, Object.fromEntries(defined));
        staleView = faults.staleReads ? staleView ?? keyspace.freeze() : undefined;
        if (breakWatches === true || faults.down === "reset") {
            watches.breakAll();
        }
    }

    const readCounts = () => ({
        ...counts,
        openWatches: watches.count(),
        revision: keyspace.revision(),
        keys: keyspace.size(),
        leases: engine.leases(),
    });

    const serve = <Schema extends z.ZodType>(call: Call<Schema>) => async (request: Request, response: Response) => {
        if (!await passFaults(faults, response)) {
            return;
        }
        try {
            const body = readBody(call.schema, request.body);
            const isWrite = call.isWrite(body);
            count(counts, call.kind, isWrite, request);
            admit(isWrite ? limits.write : limits.read, clock(), counts);
            const answer = JSON.stringify(call.carryOut(body));
            if (isWrite && faults.loseAnswers > 0) {
                faults.loseAnswers -= 1;
                counts.lostAnswers += 1;
                response.destroy();
                return;
            }
            counts.bytesOut += Buffer.byteLength(answer);
            response.status(200).type("application/json").send(answer);
        }
        catch (thrown) {
            refuse(response, thrown, counts);
        }
    };

    const application = express();
    serveControl(application, { schema: StoreFaultChange, setFaults, readFaults: () => faults, readCounts });
    application.use(express.json({ limit: BODY_LIMIT, type: () => true }));
    application.post(
        etcdPaths.range,
        serve({
            kind: "range",
            schema: RangeRequest,
            isWrite: () => false,
            carryOut: request => engine.range(request, staleView ?? keyspace),
        }),
    );
    application.post(
        etcdPaths.txn,
        serve({ kind: "txn", schema: TransactionRequest, isWrite: writes, carryOut: engine.transact }),
    );
    application.post(
        etcdPaths.leaseGrant,
        serve({
            kind: "leaseGrant",
            schema: LeaseGrantRequest,
            isWrite: () => true,
            carryOut: request => engine.grant(request.TTL, clock(), request.ID),
        }),
    );
    application.post(
        etcdPaths.leaseKeepAlive,
        serve({
            kind: "leaseKeepAlive",
            schema: LeaseRequest,
            isWrite: () => false,
            carryOut: request => engine.keepAlive(request.ID, clock()),
        }),
    );
    application.post(
        etcdPaths.leaseRevoke,
        serve({
            kind: "leaseRevoke",
            schema: LeaseRequest,
            isWrite: () => true,
            carryOut: request => engine.revoke(request.ID),
        }),
    );
    application.post(etcdPaths.watch, async (request, response) => {
        if (!await passFaults(faults, response)) {
            return;
        }
        try {
            const body = readBody(WatchRequest, request.body);
            count(counts, "watch", false, request);
            admit(limits.read, clock(), counts);
            watches.open(body, response);
        }
        catch (thrown) {
            refuse(response, thrown, counts);
        }
    });

    const server = await listen(application, settings.listen);
    const expiry = setInterval(() => engine.expire(clock()), EXPIRY_CHECK_MILLISECONDS);
    const progress = setInterval(watches.notifyProgress, settings.progressMilliseconds);
    return {
        origin: server.origin,
        counts: readCounts,
        setFaults,
        async close() {
            clearInterval(expiry);
            clearInterval(progress);
            const closed = server.close();
            server.server.closeAllConnections();
            await closed;
        },
    };
}

function writes(request: TransactionRequest): boolean {
    return [...request.success, ...request.failure].some(operation => !("request_range" in operation));
}

function count(counts: StoreCounts, kind: CallKind, isWrite: boolean, request: Request): void {
    counts.calls[kind] += 1;
    counts[isWrite ? "writes" : "reads"] += 1;
    counts.bytesIn += Number(request.headers["content-length"] ?? 0);
}

function admit(limit: RateLimit, now: number, counts: StoreCounts): void {
    if (!limit.admit(now)) {
        counts.refusedByRate += 1;
        throw new StoreRefusal(grpcStatus.resourceExhausted, "etcdserver: too many requests");
    }
}

/** Delays, hangs or refuses as the faults say; false where the call goes no further. */
async function passFaults(faults: StoreFaults, response: Response): Promise<boolean> {
    await pauseUnlessZero(faults.slowMilliseconds);
    switch (faults.down) {
        case "no":
            return true;
        case "hang":
            return false;
        case "reset":
            response.destroy();
            return false;
        case "unavailable":
            refuse(response, new StoreRefusal(grpcStatus.unavailable, "etcdserver: no leader"));
            return false;
    }
}

function refuse(response: Response, thrown: unknown, counts?: StoreCounts): void {
    const refusal = thrown instanceof StoreRefusal
        ? thrown
        : new StoreRefusal(grpcStatus.invalidArgument, (thrown as Error).message);
    if (counts !== undefined && refusal.grpc === grpcStatus.invalidArgument) {
        counts.refusedBySize += refusal.message.includes("too large") ? 1 : 0;
    }
    response.status(refusal.grpc.status).json({ code: refusal.grpc.code, message: refusal.message });
}
