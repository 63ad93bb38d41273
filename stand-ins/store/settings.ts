/**
 * Settings and faults of the store stand-in.
 */
import * as z from "zod";
import { ListenAddress } from "../../src/core/http.js";

/** Settings of the stand-in; every key has a default. */
export const StoreStandInSettings = z.strictObject({
    listen: ListenAddress.default({ host: "127.0.0.1", port: 0 }),
    writesPerSecond: z.number().positive().default(600),
    readsPerSecond: z.number().positive().default(2_000),
    valueLimitBytes: z.int().min(1).default(1_048_576),
    /** Changes kept for watches that start in the past; older ones are compacted. */
    historyEvents: z.int().min(1).default(20_000),
    progressMilliseconds: z.int().min(1).default(5_000),
});
export type StoreStandInSettings = z.infer<typeof StoreStandInSettings>;

/** How the store is out of service: `reset` cuts connections, `hang` never answers, `unavailable` says so. */
export const StoreOutage = z.enum(["no", "reset", "hang", "unavailable"]);
export type StoreOutage = z.infer<typeof StoreOutage>;

/** Faults as posted to the control endpoint; a key that is left out keeps its value. */
export const StoreFaultChange = z.strictObject({
    down: z.union([z.boolean().transform(down => down ? "reset" as const : "no" as const), StoreOutage]).optional(),
    /** Delay before a call is carried out; a caller that gives up does not stop it. */
    slowMilliseconds: z.int().min(0).optional(),
    /** Number of coming writes that take effect and whose answers are lost. */
    loseAnswers: z.int().min(0).optional(),
    /** Reads see the state at the moment when this was switched on. */
    staleReads: z.boolean().optional(),
    /** Ends all open watches once. */
    breakWatches: z.boolean().optional(),
    /** Watches stay open and tell nothing; what happens meanwhile never reaches them. */
    silentWatches: z.boolean().optional(),
});
export type StoreFaultChange = z.infer<typeof StoreFaultChange>;

/** Faults in force. */
export interface StoreFaults {
    down: StoreOutage;
    slowMilliseconds: number;
    loseAnswers: number;
    staleReads: boolean;
    silentWatches: boolean;
}
