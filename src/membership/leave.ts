/**
 * Announces to peers that this process is leaving, before it stops answering.
 */
import { pause } from "../core/time.js";
import { getMemberName } from "./member.js";
import type { Member } from "./member.js";
import type { MembershipContext } from "./membership.js";
import { exchangeHeartbeat, sampleMembers } from "./probe.js";

/** Acknowledgements after which no more peers are contacted; gossip reaches the others, so the cost is bounded. */
const REQUIRED_ACKNOWLEDGEMENTS = 24;

/** Peers contacted concurrently in one round. */
const PEERS_PER_ROUND = 8;

const ROUND_PAUSE_MILLISECONDS = 50;

/** Contacts peers in rounds until all of them or enough have acknowledged, or the time limit is reached. */
export async function announceLeaving(context: MembershipContext): Promise<void> {
    const { clock, random, settings } = context;
    const deadline = clock() + settings.leaveLimitMilliseconds;
    const acknowledged = new Set<string>();
    let pending = listUnacknowledged(context, acknowledged);
    while (pending.length > 0 && acknowledged.size < REQUIRED_ACKNOWLEDGEMENTS && clock() < deadline) {
        const round = sampleMembers(pending, PEERS_PER_ROUND, random);
        const answers = await Promise.all(round.map(peer => exchangeHeartbeat(context, peer)));
        const names = answers.flatMap(answer => answer === undefined ? [] : getMemberName(answer));
        names.forEach(name => acknowledged.add(name));
        if (names.length < round.length) {
            await pause(ROUND_PAUSE_MILLISECONDS);
        }
        pending = listUnacknowledged(context, acknowledged);
    }
    context.logger.info("leaving announced to peers", { told: acknowledged.size, untold: pending.length });
}

function listUnacknowledged(context: MembershipContext, acknowledged: ReadonlySet<string>): Member[] {
    return context.roster.entries()
        .map(entry => entry.member)
        .filter(member => member.state === "alive" || member.state === "suspect")
        .filter(member => !acknowledged.has(getMemberName(member)));
}
