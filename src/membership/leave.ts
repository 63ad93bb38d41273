/**
 * How a process tells its peers that it is leaving, before it stops to answer.
 */
import { pause } from "../core/time.js";
import { getMemberName } from "./member.js";
import type { Member } from "./member.js";
import type { MembershipContext } from "./membership.js";
import { exchangeHeartbeat, sampleMembers } from "./probe.js";

/** Peers that have to know; the rest hear it from them, so that the cost does not grow with the fleet. */
const REQUIRED_ACKNOWLEDGEMENTS = 24;

/** Peers that are told at the same time. */
const PEERS_PER_ROUND = 8;

const ROUND_PAUSE_MILLISECONDS = 50;

/** Tells peers in rounds until all of them, or enough, have acknowledged it, or the time is up. */
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
    context.logger.info("peers told of leaving", { told: acknowledged.size, untold: pending.length });
}

function listUnacknowledged(context: MembershipContext, acknowledged: ReadonlySet<string>): Member[] {
    return context.roster.entries()
        .map(entry => entry.member)
        .filter(member => member.state === "alive" || member.state === "suspect")
        .filter(member => !acknowledged.has(getMemberName(member)));
}
