/**
 * Probes of one peer: directly, and through others where it does not answer.
 */
import { formatFailure } from "../core/errors.js";
import type { Random } from "../core/random.js";
import { getMemberName } from "./member.js";
import type { Member } from "./member.js";
import type { MembershipContext } from "./membership.js";
import { probeForPeer, probePeer } from "./messages.js";

/** Share of the probes that go to dead members, so that a healed partition is found. */
const DEAD_PROBE_SHARE = 0.125;

/** An indirect probe passes two hops. */
const INDIRECT_TIMEOUT_FACTOR = 2;

/** Timeouts that fire later than by this share of themselves were held up on this machine. */
const DELAY_FACTOR = 1;

/** How a probe ended: `delayed` where this process was held up itself, so that the silence says nothing of the peer. */
type Outcome = "direct" | "repeated" | "indirect" | "delayed" | "none";

/** Probes one peer, and beside it one whose silence is not confirmed yet. */
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

/** Probes a doubted peer again; it hears of the doubt and refutes it, or its silence is confirmed. */
async function confirm(context: MembershipContext, peer: Member): Promise<void> {
    const outcome = await probeWithFallbacks(context, peer);
    context.confirmations.inc({ outcome });
    if (outcome === "none") {
        context.roster.recordSilence(peer, context.clock());
    }
}

/** Tries to reach a peer: once directly, then once more directly and through others. */
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

/** Sends a heartbeat; gives the peer as it answered, or `undefined`. */
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
    // Another process may have taken over the address.
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

/** Draws up to a number of members at random. */
export function sampleMembers(members: readonly Member[], count: number, random: Random): Member[] {
    return members
        .map(member => ({ member, order: random() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .map(({ member }) => member);
}
