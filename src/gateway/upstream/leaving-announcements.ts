/**
 * News of replicas that say that they are leaving: the gateway that was told tells the others, so that one which seldom
 * calls the replica need not be refused first.
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

/** Tells a gateway that a replica takes no new work; it may have learned so already. */
const announceReplicaLeaving = defineMethod(
    "replicas.left",
    z.strictObject({ attempt: z.string() }),
    z.strictObject({}),
);

/** Attempts that are remembered as told. */
const RECORDED_ATTEMPTS_LIMIT = 1_000;

/** Options of the news. */
export interface LeavingAnnouncementsOptions {
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    /** Time for which the news counts; an attempt that refuses again after it is told of again. */
    readonly leavingMilliseconds: number;
    readonly logger: Logger;
    /** Called with an attempt that another gateway was refused by. */
    onAnnounced(attempt: string): void;
}

/** Takes in news and tells it. */
export interface LeavingAnnouncements {
    readonly handler: MethodHandler;
    /** Tells all other gateways of an attempt, once while the news counts; does not wait for them. */
    announce(attempt: string): void;
}

/** Creates news of which nothing has been told. */
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
            // Who told it tells all gateways; telling it again would only multiply the messages.
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

/** News that is lost costs one refused request. */
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
