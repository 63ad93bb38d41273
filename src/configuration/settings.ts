/**
 * Settings of the distribution of rules.
 */
import * as z from "zod";

export const ConfigurationSettings = z.strictObject({
    /** Daemons that watch the store; the others hear from peers. */
    watchers: z.int().min(1).default(3),
    /** Peers that a daemon tells of each change. */
    announceFanout: z.int().min(1).default(3),
    /** Interval at which a daemon asks one peer whether it has missed a change. */
    compareIntervalMilliseconds: z.int().min(10).default(1_000),
    /** Interval at which a watcher checks that its watch has not missed a change. */
    headIntervalMilliseconds: z.int().min(10).default(2_000),
    /** Wait before a broken watch or a failed read of the store is tried again. */
    storeRetryMilliseconds: z.int().min(1).default(500),
    /** Longest wait between two such attempts. */
    longestStoreRetryMilliseconds: z.int().min(1).default(5_000),
    /** Entries read from the store in one call. */
    pageEntries: z.int().min(1).default(100),
    /** Time limit of a call to a peer. */
    peerTimeoutMilliseconds: z.int().min(1).default(1_000),
    /** Time in which the peers are asked at the start, before what the store says is taken. */
    startLimitMilliseconds: z.int().min(0).default(1_500),
});
export type ConfigurationSettings = z.infer<typeof ConfigurationSettings>;
