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
const replicaLeft = defineMethod("replicas.left", z.strictObject({ attempt: z.string() }), z.strictObject({}));

/** Attempts that are remembered as told. */
const REMEMBERED_ATTEMPTS = 1_000;

/** Options of the news. */
export interface LeavingNewsOptions {
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    /** Time for which the news counts; an attempt that refuses again after it is told of again. */
    readonly leavingMilliseconds: number;
    readonly logger: Logger;
    /** Called with an attempt that another gateway was refused by. */
    onNews(attempt: string): void;
}

/** Takes in news and tells it. */
export interface LeavingNews {
    readonly handler: MethodHandler;
    /** Tells all other gateways of an attempt, once while the news counts; does not wait for them. */
    tell(attempt: string): void;
}

/** Creates news of which nothing has been told. */
export function createLeavingNews(options: LeavingNewsOptions): LeavingNews {
    const toldAt = new Map<string, number>();
    const remember = (attempt: string) => {
        toldAt.delete(attempt);
        toldAt.set(attempt, options.clock());
        if (toldAt.size > REMEMBERED_ATTEMPTS) {
            const [oldest = ""] = toldAt.keys();
            toldAt.delete(oldest);
        }
    };
    const isTold = (attempt: string) =>
        options.clock() < (toldAt.get(attempt) ?? Number.NEGATIVE_INFINITY) + options.leavingMilliseconds;
    return {
        handler: implement(replicaLeft, async ({ attempt }) => {
            // Who told it tells all gateways; telling it again would only multiply the messages.
            remember(attempt);
            options.onNews(attempt);
            return Result.ok({});
        }),
        tell: attempt => {
            if (!isTold(attempt)) {
                remember(attempt);
                void tellOthers(attempt, options);
            }
        },
    };
}

/** News that is lost costs one refused request. */
async function tellOthers(attempt: string, { logger, membership, rpc }: LeavingNewsOptions): Promise<void> {
    const others = membership.members().filter(({ role, state }) => role === "gateway" && state !== "dead");
    await Promise.all(others.map(async ({ origin }) => {
        const answer = await rpc.call(origin, replicaLeft, { attempt });
        if (answer.isErr) {
            logger.debug("leaving-not-told", { attempt, failure: formatFailure(answer.error) });
        }
    }));
}
