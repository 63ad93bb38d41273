/**
 * Settings of the scheduler.
 */
import * as z from "zod";
import { PolicySettings } from "../policy/settings.js";
import { CellSettings } from "../scheduler/settings.js";
import { commonSettings } from "./common.js";

const DEFAULT_WORKER_TIMEOUT_MILLISECONDS = 2_000;

/** Settings file of `flamingowell-scheduler`. */
export const SchedulerSettings = z.strictObject({
    ...commonSettings,
    /** Time within which a worker has to answer an order. */
    workerTimeoutMilliseconds: z.int().min(1).default(DEFAULT_WORKER_TIMEOUT_MILLISECONDS),
    cells: CellSettings.prefault({}),
    policy: PolicySettings.prefault({}),
});
export type SchedulerSettings = z.infer<typeof SchedulerSettings>;
