/**
 * Announcements of leaving replicas: a gateway that a leaving replica has refused announces it to the other gateways, so
 * that they don't send it a request first.
 */
import { Result } from "true-myth/result";
import * as z from "zod";
import { formatFailure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import { defineMethod, implement } from "../../core/method.js";
import type { MethodHandler } from "../../core/method.js";
import type { RpcClient } from "../../core/rpc.js";
import type { Clock } from "../../core/time.js";
import type { MembershipSource } from "../../membership/member.js";

/** Announces to a gateway that a replica accepts no new requests. */
const announceReplicaLeaving = defineMethod(
    "replicas.left",
    z.strictObject({ attempt: z.string() }),
    z.strictObject({}),
);

/** Most attempts recorded as announced. */
const RECORDED_ATTEMPTS_LIMIT = 1_000;

/** Options of the announcements. */
export interface LeavingAnnouncementsOptions {
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    /** Time for which an announcement is valid; after it, an attempt that refuses again is announced again. */
    readonly leavingMilliseconds: number;
    readonly logger: Logger;
    /** Called with an attempt that another gateway announces. */
    onAnnounced(attempt: string): void;
}

/** Sends and receives announcements. */
export interface LeavingAnnouncements {
    readonly handler: MethodHandler;
    /** Announces an attempt to all other gateways, once while an announcement is valid; doesn't wait for their answers. */
    announce(attempt: string): void;
}

/** Creates announcements without recorded attempts. */
export function createLeavingAnnouncements(options: LeavingAnnouncementsOptions): LeavingAnnouncements {
    const announcedAt = new Map<string, number>();
    const recordAnnounced = (attempt: string) => {
        announcedAt.delete(attempt);
        announcedAt.set(attempt, options.clock());
        if (announcedAt.size > RECORDED_ATTEMPTS_LIMIT) {
            const [oldest = ""] = announcedAt.keys();
            announcedAt.delete(oldest);
        }
    };
    const isAnnounced = (attempt: string) =>
        options.clock() < (announcedAt.get(attempt) ?? Number.NEGATIVE_INFINITY) + options.leavingMilliseconds;
    return {
        handler: implement(announceReplicaLeaving, async ({ attempt }) => {
            // The announcing gateway sends to all gateways, so the announcement isn't sent on.
            recordAnnounced(attempt);
            options.onAnnounced(attempt);
            return Result.ok({});
        }),
        announce: attempt => {
            if (!isAnnounced(attempt)) {
                recordAnnounced(attempt);
                void announceToOthers(attempt, options);
            }
        },
    };
}

/** Failed announcements are not retried: each costs one refused request. */
async function announceToOthers(
    attempt: string,
    { logger, membership, rpc }: LeavingAnnouncementsOptions,
): Promise<void> {
    const others = membership.members().filter(({ role, state }) => role === "gateway" && state !== "dead");
    await Promise.all(others.map(async ({ origin }) => {
        const answer = await rpc.call(origin, announceReplicaLeaving, { attempt });
        if (answer.isErr) {
            logger.debug("leaving-not-told", { attempt, failure: formatFailure(answer.error) });
        }
    }));
}
