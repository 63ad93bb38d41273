/**
 * Compares what this process knows with its peers: all of them at the start, then one at a time.
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

/** Heartbeats carry revisions: a peer that is ahead is read at once. */
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

/** A process that starts without the store needs the newest of what most peers know: one alone may be behind. */
export async function readFromAllPeers(context: FeedContext): Promise<void> {
    // Dead members count as well: in a partition, those on this side alone may all be behind.
    const peers = context.membership.members();
    const answers = await Promise.all(peers.map(peer => readFromPeer(context, peer.origin)));
    const informed = answers.filter(answer => answer).length;
    if (informed > 0 && informed * 2 >= peers.length) {
        context.becomeInformed();
    }
}
