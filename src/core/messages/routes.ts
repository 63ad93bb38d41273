/**
 * Routes: which replicas of a service run where. Gateways read them from the owners of cells.
 */
import * as z from "zod";
import { defineMethod } from "../method.js";
import { Name, Origin } from "./identity.js";

/** One replica that a gateway may send requests to. */
export const Route = z.strictObject({
    service: Name,
    taskId: z.string(),
    attempt: z.int().min(1),
    worker: Name,
    dataCentre: Name,
    cell: z.string(),
    /** Where the worker serves callers' requests. */
    origin: Origin,
    /** A leaving replica finishes what it has and gets nothing new. */
    state: z.enum(["serving", "leaving"]),
});
export type Route = z.infer<typeof Route>;

/** All routes of one cell at one version of its ledger. */
export const CellRoutes = z.strictObject({
    cell: z.string(),
    epoch: z.int().min(0),
    version: z.int().min(0),
    routes: z.array(Route),
});
export type CellRoutes = z.infer<typeof CellRoutes>;

/** What a reader already has of one cell. */
export const KnownCell = z.strictObject({ cell: z.string(), epoch: z.int(), version: z.int() });
export type KnownCell = z.infer<typeof KnownCell>;

/**
 * Long poll on a scheduler: answers at once when a cell that it owns differs from what the reader knows, else when one
 * does or after the wait. `cells` has the changed cells whole; `owned` names every cell that the scheduler owns.
 */
export const readRoutes = defineMethod(
    "routes.read",
    z.strictObject({
        known: z.array(KnownCell),
        waitMilliseconds: z.int().min(0).max(30_000),
    }),
    z.strictObject({ owned: z.array(z.string()), cells: z.array(CellRoutes) }),
);
