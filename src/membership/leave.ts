/**
 * How a process tells its peers that it is leaving, before it stops to answer.
 */
import { pause } from "../core/time.js";
import { nameMember } from "./member.js";
import type { Member } from "./member.js";
import type { MembershipContext } from "./membership.js";
import { draw, exchangeHeartbeat } from "./probe.js";

/** Peers that have to know; the rest hear it from them, so that the cost does not grow with the fleet. */
const ACKNOWLEDGEMENTS_WANTED = 24;

/** Peers that are told at the same time. */
const ROUND_SIZE = 8;

const ROUND_PAUSE_MILLISECONDS = 50;

/** Tells peers in rounds until all of them, or enough, have acknowledged it, or the time is up. */
export async function tellLeaving(context: MembershipContext): Promise<void> {
    const { clock, random, settings } = context;
    const deadline = clock() + settings.leaveLimitMilliseconds;
    const told = new Set<string>();
    let pending = findPending(context, told);
    while (pending.length > 0 && told.size < ACKNOWLEDGEMENTS_WANTED && clock() < deadline) {
        const round = draw(pending, ROUND_SIZE, random);
        const answers = await Promise.all(round.map(peer => exchangeHeartbeat(context, peer)));
        const names = answers.flatMap(answer => answer === undefined ? [] : nameMember(answer));
        names.forEach(name => told.add(name));
        if (names.length < round.length) {
            await pause(ROUND_PAUSE_MILLISECONDS);
        }
        pending = findPending(context, told);
    }
    context.logger.info("peers told of leaving", { told: told.size, untold: pending.length });
}

function findPending(context: MembershipContext, told: ReadonlySet<string>): Member[] {
    return context.roster.entries()
        .map(entry => entry.member)
        .filter(member => member.state === "alive" || member.state === "suspect")
        .filter(member => !told.has(nameMember(member)));
}
