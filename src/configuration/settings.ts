/**
 * Settings of the distribution of rules.
 */
import * as z from "zod";

export const ConfigurationSettings = z.strictObject({
    /** Number of processes that watch the store; the others read from peers. */
    watchers: z.int().min(1).default(3),
    /** Number of peers to which a process announces each change. */
    announceFanout: z.int().min(1).default(3),
    /** Interval at which a process reads missing changes from one peer. */
    compareIntervalMilliseconds: z.int().min(10).default(1_000),
    /** Interval at which a watcher reads the head key to check that its watch has not missed a change. */
    headIntervalMilliseconds: z.int().min(10).default(2_000),
    /** Delay before a broken watch or a failed read of the store is retried. */
    storeRetryMilliseconds: z.int().min(1).default(500),
    /** Longest delay between two such retries. */
    longestStoreRetryMilliseconds: z.int().min(1).default(5_000),
    /** Entries read from the store in one call. */
    pageEntries: z.int().min(1).default(100),
    /** Time limit of a call to a peer. */
    peerTimeoutMilliseconds: z.int().min(1).default(1_000),
    /** Longest time that a starting process waits for its peers before it uses the records read from the store. */
    startLimitMilliseconds: z.int().min(0).default(1_500),
});
export type ConfigurationSettings = z.infer<typeof ConfigurationSettings>;
