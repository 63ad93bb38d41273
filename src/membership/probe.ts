/**
 * Probes peers directly, and indirectly through other peers if they don't answer.
 */
import { formatFailure } from "../core/errors.js";
import type { Random } from "../core/random.js";
import { getMemberName } from "./member.js";
import type { Member } from "./member.js";
import type { MembershipContext } from "./membership.js";
import { probeForPeer, probePeer } from "./messages.js";

/** Share of probes sent to dead members, to detect that a partition has healed. */
const DEAD_PROBE_SHARE = 0.125;

/** Timeout factor of an indirect probe, which takes two hops. */
const INDIRECT_TIMEOUT_FACTOR = 2;

/** Share of a timeout by which timers may be late before the delay is attributed to this process. */
const DELAY_FACTOR = 1;

/** Outcome of a probe; `delayed` if this process itself was stalled, so that the missing answer is no evidence. */
type Outcome = "direct" | "repeated" | "indirect" | "delayed" | "none";

/** Probes one random peer and, concurrently, one peer with an unconfirmed local suspicion. */
export async function probeNext(context: MembershipContext): Promise<void> {
    const localSuspect = context.roster.nextLocalSuspect();
    const peer = choosePeer(context, localSuspect);
    await Promise.all([
        peer === undefined ? undefined : probe(context, peer),
        localSuspect === undefined ? undefined : confirm(context, localSuspect),
    ]);
}

async function probe(context: MembershipContext, peer: Member): Promise<void> {
    if (peer.state === "dead") {
        const answered = await exchangeHeartbeat(context, peer) !== undefined;
        context.probes.inc({ outcome: answered ? "direct" : "none" });
        return;
    }
    const outcome = await probeWithFallbacks(context, peer);
    context.probes.inc({ outcome });
    if (outcome === "none" && context.roster.recordSilence(peer, context.clock())) {
        context.logger.info("peer suspected", { peer: getMemberName(peer), incarnation: peer.incarnation });
        context.notifyListeners();
    }
}

/**
 * Probes a suspected peer again. The probe carries the suspicion, so that the peer can refute it; without an answer,
 * the suspicion is confirmed.
 */
async function confirm(context: MembershipContext, peer: Member): Promise<void> {
    const outcome = await probeWithFallbacks(context, peer);
    context.confirmations.inc({ outcome });
    if (outcome === "none") {
        context.roster.recordSilence(peer, context.clock());
    }
}

/** Probes a peer directly and, without an answer, again directly and indirectly at the same time. */
async function probeWithFallbacks(context: MembershipContext, peer: Member): Promise<Outcome> {
    const { clock, settings } = context;
    const startedAt = clock();
    if (await exchangeHeartbeat(context, peer) !== undefined) {
        return "direct";
    }
    const [repeated, indirect] = await Promise.all([exchangeHeartbeat(context, peer), probeIndirectly(context, peer)]);
    if (repeated !== undefined) {
        return "repeated";
    }
    if (indirect) {
        return "indirect";
    }
    const longestMilliseconds = settings.probeTimeoutMilliseconds * (1 + INDIRECT_TIMEOUT_FACTOR + DELAY_FACTOR);
    return clock() - startedAt > longestMilliseconds ? "delayed" : "none";
}

function choosePeer(context: MembershipContext, localSuspect: Member | undefined): Member | undefined {
    const members = context.roster.entries().map(entry => entry.member).filter(member => member !== localSuspect);
    const dead = members.filter(member => member.state === "dead");
    const others = members.filter(member => member.state !== "dead");
    const candidates = dead.length > 0 && (others.length === 0 || context.random() < DEAD_PROBE_SHARE) ? dead : others;
    return candidates[Math.floor(context.random() * candidates.length)];
}

/** Exchanges heartbeats with a peer; returns the state in its answer, or `undefined` without one. */
export async function exchangeHeartbeat(context: MembershipContext, peer: Member): Promise<Member | undefined> {
    const current = context.roster.get(getMemberName(peer))?.member ?? peer;
    const answer = await context.rpc.call(peer.origin, probePeer, context.composeHeartbeat(current), {
        timeoutMilliseconds: context.settings.probeTimeoutMilliseconds,
    });
    if (answer.isErr) {
        context.logger.debug("probe failed", { failure: formatFailure(answer.error) });
        return undefined;
    }
    const { self, changes } = answer.value;
    context.applyUpdates([self, ...changes]);
    context.roster.recordAnswer(self);
    // Another process may listen on the peer's address now.
    return getMemberName(self) === getMemberName(peer) ? self : undefined;
}

async function probeIndirectly(context: MembershipContext, peer: Member): Promise<boolean> {
    const helpers = sampleMembers(
        context.roster.entries()
            .map(entry => entry.member)
            .filter(member => member.state === "alive" && getMemberName(member) !== getMemberName(peer)),
        context.settings.indirectProbes,
        context.random,
    );
    const answers = await Promise.all(
        helpers.map(helper =>
            context.rpc.call(helper.origin, probeForPeer, { target: peer.origin }, {
                timeoutMilliseconds: context.settings.probeTimeoutMilliseconds * INDIRECT_TIMEOUT_FACTOR,
            })
        ),
    );
    const found = answers.flatMap(answer =>
        answer.isOk && answer.value.target !== undefined ? answer.value.target : []
    );
    context.applyUpdates(found);
    found.forEach(member => context.roster.recordAnswer(member));
    return found.some(member => getMemberName(member) === getMemberName(peer));
}

/** Returns up to `count` random members. */
export function sampleMembers(members: readonly Member[], count: number, random: Random): Member[] {
    return members
        .map(member => ({ member, order: random() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .map(({ member }) => member);
}
