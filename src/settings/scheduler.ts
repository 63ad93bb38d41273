/**
 * Settings of the scheduler.
 */
import { z } from "zod";
import { commonSettings } from "./common.js";

export const SchedulerSettings = z.strictObject({ ...commonSettings });
export type SchedulerSettings = z.infer<typeof SchedulerSettings>;
