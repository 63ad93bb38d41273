/**
 * Memberships in one process that call each other's handlers and run no periodic tasks.
 */
import { Result } from "true-myth/result";
import { fail } from "../../src/core/errors.js";
import { createLogger } from "../../src/core/log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { parse } from "../../src/core/parse.js";
import { createRandom } from "../../src/core/random.js";
import type { RpcClient } from "../../src/core/rpc.js";
import { systemClock } from "../../src/core/time.js";
import type { Member } from "../../src/membership/member.js";
import { createMembership } from "../../src/membership/membership.js";
import type { Membership } from "../../src/membership/membership.js";
import { probePeer } from "../../src/membership/messages.js";
import { MembershipSettings } from "../../src/membership/settings.js";

/** Far longer than the rounds take on a busy machine, so that acknowledgements end them and not the time limit. */
const LEAVE_LIMIT_MILLISECONDS = 60_000;

/** Returns an alive member. */
export function describeMember(instance: string, news: Partial<Member> = {}): Member {
    return {
        instance,
        role: "gateway",
        dataCentre: "levi",
        origin: `http://${instance}`,
        incarnation: 1,
        state: "alive",
        configurationRevision: 0,
        ...news,
    };
}

/** Creates memberships that have each other as members. The first call of each to each other one is lost. */
export async function createNetwork(size: number, seed: number): Promise<Membership[]> {
    const members = Array.from({ length: size }, (_, index) => describeMember(`entry-${index + 1}`));
    const listeners = new Map<string, Membership>();
    for (const [index, self] of members.entries()) {
        const membership = createMembership({
            self,
            configurationRevision: () => 0,
            settings: MembershipSettings.parse({ leaveLimitMilliseconds: LEAVE_LIMIT_MILLISECONDS }),
            instanceList: { list: () => Promise.resolve(Result.ok([])) },
            rpc: connect(listeners),
            clock: systemClock,
            random: createRandom(seed + index),
            metrics: createMetrics({}),
            logger: createLogger("network"),
        });
        listeners.set(self.origin, membership);
    }
    for (const membership of listeners.values()) {
        await answer(membership, probePeer.name, { self: members[0], changes: members });
    }
    return [...listeners.values()];
}

function connect(listeners: ReadonlyMap<string, Membership>): RpcClient {
    const called = new Set<string>();
    return {
        async call(origin, method, params) {
            const membership = listeners.get(origin);
            if (membership === undefined || !called.has(origin)) {
                called.add(origin);
                return fail("timeout", method.name, "the message was lost", { peer: origin });
            }
            return parse(method.answer, await answer(membership, method.name, params), method.name);
        },
    };
}

async function answer(membership: Membership, name: string, params: unknown): Promise<unknown> {
    return membership.handlers.find(handler => handler.name === name)?.handle(params);
}
