/**
 * Ports of a daemon besides the callers': peers, operators and metrics.
 */
import express from "express";
import type { ErrorRequestHandler, Express } from "express";
import { createFailure, describeThrown } from "./errors.js";
import type { ListenAddress, RunningServer, ServerTls } from "./http.js";
import { listen } from "./http.js";
import type { Metrics } from "./metrics.js";

/** A port that listens before its routes are known, so that its address can be part of them. */
export interface Surface {
    readonly app: Express;
    readonly running: RunningServer;
}

/** Starts a port; until routes are mounted it answers every request with 404. */
export async function openSurface(address: ListenAddress, tls?: ServerTls): Promise<Surface> {
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    const running = await listen(app, address, tls);
    return { app, running };
}

/** Answers bad requests with the failure as JSON; mounted after all routes. */
export const answerErrors: ErrorRequestHandler = (thrown: unknown, incoming, outgoing, next) => {
    if (outgoing.headersSent) {
        next(thrown);
        return;
    }
    const status = (thrown as { status?: unknown; }).status;
    const failure = createFailure("invalid-input", `${incoming.method} ${incoming.path}`, describeThrown(thrown));
    outgoing.status(typeof status === "number" ? status : 500).json({ error: failure });
};

/** Options of the metrics port. */
export interface MetricsSurfaceOptions {
    readonly metrics: Metrics;
    /** Whether the process may be sent new work. */
    ready(): boolean;
}

/** Mounts `/metrics` (Prometheus text), `/live` (200 while the process runs) and `/ready` (200 or 503). */
export function mountMetrics(surface: Surface, options: MetricsSurfaceOptions): void {
    const { registry } = options.metrics;
    surface.app.get("/metrics", async (incoming, outgoing) => {
        outgoing.type(registry.contentType).send(await registry.metrics());
    });
    surface.app.get("/live", (incoming, outgoing) => {
        outgoing.json({ live: true });
    });
    surface.app.get("/ready", (incoming, outgoing) => {
        const ready = options.ready();
        outgoing.status(ready ? 200 : 503).json({ ready });
    });
}
