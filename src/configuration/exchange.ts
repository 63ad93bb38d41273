/**
 * Reads missing records from peers: from all peers until the process is informed, then from one peer at a time.
 */
import { jitter } from "../core/random.js";
import { pause } from "../core/time.js";
import { listReachable, readFromPeer } from "./feed.js";
import type { FeedContext } from "./feed.js";

const INTERVAL_JITTER_SHARE = 0.2;

/** Runs until the signal is aborted. */
export async function runExchange(context: FeedContext, signal: AbortSignal): Promise<void> {
    const { settings, random } = context;
    const unsubscribe = context.membership.onChange(() => void readFromNewestPeer(context));
    signal.addEventListener("abort", unsubscribe, { once: true });
    while (!signal.aborted) {
        await (context.isInformed() ? readFromRandomPeer(context) : readFromAllPeers(context));
        await pause(jitter(settings.compareIntervalMilliseconds, INTERVAL_JITTER_SHARE, random), signal);
    }
}

/** Reads from the peer with the highest revision in its heartbeat, if that is newer than the local one. */
async function readFromNewestPeer(context: FeedContext): Promise<void> {
    const peers = listReachable(context);
    const highest = Math.max(0, ...peers.map(peer => peer.configurationRevision));
    const newest = peers.find(peer => peer.configurationRevision === highest);
    if (newest !== undefined && highest > context.catalog.configuration().revision) {
        await readFromPeer(context, newest.origin);
    }
}

async function readFromRandomPeer(context: FeedContext): Promise<void> {
    const peers = listReachable(context);
    const peer = peers[Math.floor(context.random() * peers.length)];
    if (peer !== undefined) {
        await readFromPeer(context, peer.origin);
    }
}

/** Reads from all peers. The process becomes informed when at least half of them answer as informed: one may lag. */
export async function readFromAllPeers(context: FeedContext): Promise<void> {
    // Dead members count as well: in a partition, all members on this side may lag.
    const peers = context.membership.members();
    const answers = await Promise.all(peers.map(peer => readFromPeer(context, peer.origin)));
    const informed = answers.filter(answer => answer).length;
    if (informed > 0 && informed * 2 >= peers.length) {
        context.becomeInformed();
    }
}
