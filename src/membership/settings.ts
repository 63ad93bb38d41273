/**
 * Settings of the membership.
 */
import * as z from "zod";

export const MembershipSettings = z.strictObject({
    /** Interval at which the instance list is read. */
    listIntervalMilliseconds: z.int().min(10).default(2_000),
    /** Interval at which a process probes one of its peers. */
    probeIntervalMilliseconds: z.int().min(10).default(500),
    /** Timeout of a probe. */
    probeTimeoutMilliseconds: z.int().min(1).default(400),
    /** Peers asked to probe a member that did not answer directly. */
    indirectProbes: z.int().min(0).default(3),
    /** Time that a suspected peer has to answer or refute the suspicion before it counts as dead. */
    suspicionMilliseconds: z.int().min(1).default(2_000),
    /** Longest time for announcing to peers that a process is leaving. */
    leaveLimitMilliseconds: z.int().min(0).default(2_000),
    /** Most changes of members that one heartbeat carries. */
    changesPerHeartbeat: z.int().min(1).default(12),
});
export type MembershipSettings = z.infer<typeof MembershipSettings>;
