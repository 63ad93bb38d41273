/**
 * Process with upstreams, and a scheduler that routes to them and leases their connections.
 */
import express from "express";
import { Result } from "true-myth/result";
import type { Failure } from "../../src/core/errors.js";
import { listen } from "../../src/core/http.js";
import { createLogger } from "../../src/core/log.js";
import { readRoutes } from "../../src/core/messages/routes.js";
import type { CellRoutes } from "../../src/core/messages/routes.js";
import { implement } from "../../src/core/method.js";
import { createMetrics } from "../../src/core/metrics.js";
import { createRpcRouter } from "../../src/core/rpc.js";
import { pause, systemClock } from "../../src/core/time.js";
import { createCreditAllocator } from "../../src/scheduler/credits/allocator.js";
import { BENCH_PEER_TOKEN, UpstreamsSettings } from "./settings.js";
import { EXCLUSIVE_SERVICE, SERVICE } from "./sources.js";
import { announce, BENCH_ADDRESS, readSettings } from "./support.js";
import { startBenchUpstream } from "./upstream.js";

const CELL = "levi-0";

const settings = await readSettings(UpstreamsSettings);
const upstreams = await Promise.all(
    Array.from({ length: settings.upstreams }, (unused, index) => startBenchUpstream(`worker-${index}`, settings)),
);
const cell: CellRoutes = {
    cell: CELL,
    epoch: 1,
    version: 1,
    routes: [SERVICE, EXCLUSIVE_SERVICE].flatMap(service =>
        upstreams.map(({ origin, worker }) => ({
            service,
            taskId: `${service}-${worker}`,
            attempt: 1,
            worker,
            dataCentre: "levi",
            cell: CELL,
            origin,
            state: "serving" as const,
        }))
    ),
};
const bank = createCreditAllocator({
    clock: systemClock,
    metrics: createMetrics({}),
    logger: createLogger("bench"),
    isOwner: () => true,
});
bank.addCell(
    CELL,
    cell.epoch,
    upstreams.map(({ worker }) => ({ worker, connections: settings.connections })),
    systemClock(),
);
setInterval(() => {
    for (const { worker, connections } of upstreams) {
        bank.observeConnections({ worker, measuredAtMilliseconds: systemClock(), connections: connections() });
    }
}, 500);
const routes = implement(readRoutes, async ({ known, waitMilliseconds }) => {
    const isKnown = known.some(one => one.cell === CELL && one.version === cell.version);
    if (isKnown) {
        await pause(waitMilliseconds);
    }
    return Result.ok<{ owned: string[]; cells: CellRoutes[]; }, Failure>({
        owned: [CELL],
        cells: isKnown ? [] : [cell],
    });
});
const application = express();
application.use(createRpcRouter({ handlers: [routes, ...bank.handlers], token: BENCH_PEER_TOKEN }));
application.get("/facts", (incoming, outgoing) => {
    outgoing.json({
        peakConnections: Math.max(...upstreams.map(({ peakConnections }) => peakConnections())),
        runs: upstreams.reduce((sum, { runs }) => sum + runs(), 0),
        doubled: upstreams.flatMap(({ calls }) => calls()).filter((call, index, all) => all.indexOf(call) !== index)
            .length,
    });
});
const server = await listen(application, BENCH_ADDRESS);
announce({
    scheduler: server.origin,
    ...Object.fromEntries(upstreams.map(({ worker, origin }) => [worker, origin])),
});
