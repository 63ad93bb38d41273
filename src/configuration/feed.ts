/**
 * Distributes the rules to every process: a few processes watch the store, the others read from peers.
 */
import Emittery from "emittery";
import { Result } from "true-myth/result";
import { describeThrown, formatFailure } from "../core/errors.js";
import type { Logger } from "../core/log.js";
import { implement } from "../core/method.js";
import type { Metrics } from "../core/metrics.js";
import type { Part } from "../core/part.js";
import { rankByRendezvous } from "../core/random.js";
import type { Random } from "../core/random.js";
import type { RpcClient } from "../core/rpc.js";
import type { Clock } from "../core/time.js";
import { getMemberName } from "../membership/member.js";
import type { Member, MembershipSource } from "../membership/member.js";
import type { Store } from "../platform/store.js";
import type { Configuration, ConfigurationSource } from "../rules/rule.js";
import { createCatalog } from "./catalog.js";
import type { Catalog } from "./catalog.js";
import { runExchange } from "./exchange.js";
import { announceConfiguration, readConfiguration, readRevisionsInForce } from "./messages.js";
import type { RevisedRecord } from "./record.js";
import type { ConfigurationSettings } from "./settings.js";
import { runStoreWatch } from "./watch.js";

/** Options of the feed. */
export interface ConfigurationFeedOptions {
    readonly settings: ConfigurationSettings;
    readonly store: Store;
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** The configuration feed: a part of the process that provides its rules. */
export interface ConfigurationFeed extends Part {
    readonly source: ConfigurationSource;
    /** Merges a record that this process has committed. */
    accept(revised: RevisedRecord): void;
    /** Returns the revision of a team's rules in this process; 0 without any. */
    revisionOf(team: string): number;
}

/** Origin of a record, used as a label of the record counter. */
export type RecordOrigin = "store" | "peer" | "own";

/** State that the tasks of the feed share. */
export interface FeedContext extends ConfigurationFeedOptions {
    readonly catalog: Catalog;
    /** Merges and counts records; on a change, notifies listeners and announces it to peers. */
    mergeRecords(records: readonly RevisedRecord[], complete: number, from: RecordOrigin): void;
    /** Marks the configuration as informed: the store or enough peers have been read in full. */
    becomeInformed(): void;
    isInformed(): boolean;
}

/** Creates the configuration feed. */
export function createConfigurationFeed(options: ConfigurationFeedOptions): ConfigurationFeed {
    const events = new Emittery<{ changed: Configuration; announce: undefined; }>();
    const { metrics, logger } = options;
    const catalog = createCatalog();
    const mergedRecords = metrics.counter("flamingowell_configuration_records_total", "Changed records of rules", [
        "from",
    ]);
    const unreadable = metrics.counter("flamingowell_configuration_unreadable_total", "Records that do not parse");
    const revision = metrics.gauge("flamingowell_configuration_revision", "Highest revision in force");
    let informed = false;

    function notifyListeners(): void {
        events.emit("changed", catalog.configuration()).catch((thrown: unknown) => {
            logger.error("listener failed", { message: describeThrown(thrown) });
        });
    }

    const context: FeedContext = {
        ...options,
        catalog,
        isInformed: () => informed,
        becomeInformed() {
            if (!informed) {
                informed = true;
                logger.info("configuration known", { revision: catalog.configuration().revision });
                notifyListeners();
            }
        },
        mergeRecords(records, complete, from) {
            const { changed, failures } = catalog.merge(records, complete);
            for (const failure of failures) {
                unreadable.inc();
                logger.error("rules unreadable", { failure: formatFailure(failure) });
            }
            if (changed) {
                mergedRecords.inc({ from });
                revision.set(catalog.configuration().revision);
                logger.info("configuration changed", { revision: catalog.configuration().revision, from });
                void events.emit("announce");
            }
            if (changed && informed) {
                notifyListeners();
            }
        },
    };
    events.on("announce", () => announce(context));

    return {
        source: {
            current: () => informed ? catalog.configuration() : undefined,
            onChange: listener => events.on("changed", listener),
        },
        accept: revised => context.mergeRecords([revised], 0, "own"),
        revisionOf: team => catalog.revisionOf(team),
        handlers: createHandlers(context),
        async run(signal) {
            await Promise.all([runStoreWatch(context, signal), runExchange(context, signal)]);
        },
    };
}

/** Returns the members that are not dead. */
export function listReachable(context: FeedContext): Member[] {
    return context.membership.members().filter(member => member.state !== "dead");
}

/** Returns whether this process is one of the processes that watch the store. */
export function isWatcher(context: FeedContext): boolean {
    const self = context.membership.self();
    const candidates = [self, ...context.membership.members().filter(member => member.state === "alive")];
    const watchers = rankByRendezvous("configuration", candidates, getMemberName).slice(0, context.settings.watchers);
    return watchers.some(member => getMemberName(member) === getMemberName(self));
}

/** Announces a change to a few random peers; each peer that lacks it reads it and announces it in turn. */
async function announce(context: FeedContext): Promise<void> {
    const { settings, rpc, random, membership } = context;
    const peers = listReachable(context)
        .map(member => ({ member, order: random() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, settings.announceFanout);
    const message = { origin: membership.self().origin, digest: copyDigest(context.catalog) };
    await Promise.all(peers.map(({ member }) =>
        rpc.call(member.origin, announceConfiguration, message, {
            timeoutMilliseconds: settings.peerTimeoutMilliseconds,
        })
    ));
}

function copyDigest(catalog: Catalog): { complete: number; beyond: number[]; } {
    const { complete, beyond } = catalog.digest();
    return { complete, beyond: [...beyond] };
}

/** Reads the records that this process lacks from a peer; returns whether the peer was informed. */
export async function readFromPeer(context: FeedContext, origin: string): Promise<boolean> {
    const answer = await context.rpc.call(origin, readConfiguration, copyDigest(context.catalog), {
        timeoutMilliseconds: context.settings.peerTimeoutMilliseconds,
    });
    if (answer.isErr) {
        context.logger.debug("peer not read", { failure: formatFailure(answer.error) });
        return false;
    }
    const { informed, digest, records } = answer.value;
    if (informed) {
        context.mergeRecords(records, digest.complete, "peer");
    }
    return informed;
}

function createHandlers(context: FeedContext): Part["handlers"] {
    const { catalog } = context;
    return [
        implement(readConfiguration, async digest =>
            Result.ok({
                informed: context.isInformed(),
                digest: copyDigest(catalog),
                records: catalog.missingFrom(digest),
            })),
        implement(announceConfiguration, async ({ origin, digest }) => {
            const own = catalog.digest();
            const hasUnknownRevision = digest.beyond.some(revision =>
                revision > own.complete && !own.beyond.includes(revision)
            );
            if (digest.complete > own.complete || hasUnknownRevision) {
                void readFromPeer(context, origin);
            }
            return Result.ok({});
        }),
        implement(readRevisionsInForce, async ({ team }) =>
            Result.ok({
                revision: context.isInformed() ? catalog.revisionOf(team) : 0,
                configurationRevision: context.isInformed() ? catalog.configuration().revision : 0,
            })),
    ];
}
