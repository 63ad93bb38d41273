/**
 * Exclusive requests of one gateway: the guard, the methods for peers, and the task that keeps its claims.
 */
import { Result } from "true-myth/result";
import type { Logger } from "../../core/log.js";
import { implement } from "../../core/method.js";
import type { Metrics } from "../../core/metrics.js";
import type { Part } from "../../core/part.js";
import { rankByRendezvous } from "../../core/random.js";
import type { RpcClient } from "../../core/rpc.js";
import type { Clock } from "../../core/time.js";
import { pause } from "../../core/time.js";
import type { MembershipSource } from "../../membership/member.js";
import type { InstanceList } from "../../platform/instances.js";
import type { Store } from "../../platform/store.js";
import type { ConfigurationSource } from "../../rules/rule.js";
import type { Guard } from "../guard.js";
import { findClaimReason } from "./claim.js";
import type { Claimant } from "./claim.js";
import { createExclusiveAdmission } from "./guard.js";
import { createHolder } from "./holder.js";
import type { Holder } from "./holder.js";
import { createLocks } from "./locks.js";
import type { Locks } from "./locks.js";
import { chooseLongestAttempt, createLongestAttempt } from "./longest-attempt.js";
import type { LongestAttempt } from "./longest-attempt.js";
import { nameKey, readHolder } from "./partition.js";
import { createProofFinder } from "./proof-of-death.js";
import type { ProofFinder } from "./proof-of-death.js";
import type { ExclusiveSettings } from "./settings.js";
import { createPartitionTable } from "./table.js";
import type { PartitionTable } from "./table.js";

const LOCK_POLL_MILLISECONDS = 20;
/** A claim is renewed once this share of its horizon has passed. */
const RENEWAL_SHARE = 0.5;
/** Time between two notes that the process runs, as a share of the pause limit. */
const PAUSE_CHECK_INTERVAL_SHARE = 0.2;

/** Options of the part. */
export interface ExclusiveOptions {
    readonly identity: { readonly instance: string; readonly incarnation: string; readonly origin: string; };
    readonly settings: ExclusiveSettings;
    readonly store: Store;
    readonly instanceList: InstanceList;
    readonly configuration: ConfigurationSource;
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** Exclusive requests of one gateway. */
export interface Exclusive extends Part {
    readonly guard: Guard;
    /** Waits for what was sent and gives all partitions back; refuses new exclusive requests meanwhile. */
    handOver(): Promise<void>;
}

interface ExclusiveContext {
    readonly options: ExclusiveOptions;
    readonly claimant: Claimant;
    readonly longest: LongestAttempt;
    readonly table: PartitionTable;
    readonly holder: Holder;
    readonly proof: ProofFinder;
}

/** Creates the part. */
export function createExclusive(options: ExclusiveOptions): Exclusive {
    const { clock, identity, settings } = options;
    const claimant = { ...identity, startedAtMilliseconds: clock() };
    const longest = createLongestAttempt(options.configuration, claimant.startedAtMilliseconds);
    const table = createPartitionTable(options.store);
    const proof = createProofFinder({
        rpc: options.rpc,
        instanceList: options.instanceList,
        timeoutMilliseconds: settings.refreshMilliseconds,
    });
    const claims = options.metrics.counter(
        "flamingowell_gateway_partition_claims_total",
        "Partitions of exclusive requests claimed, by reason",
        ["reason"],
    );
    const holder = createHolder({
        claimant,
        settings,
        store: options.store,
        table,
        longestAttemptMilliseconds: record => chooseLongestAttempt(record, claimant, longest, clock()),
        isProvenDead: record => proof.isProvenDead(record),
        onClaim: reason => claims.inc({ reason }),
        clock,
        logger: options.logger,
    });
    const locks = createLocks();
    const context = { options, claimant, longest, table, holder, proof };
    const state = { lastCheckMilliseconds: 0, releasing: new Set<number>() };
    const admit = createExclusiveAdmission({
        settings,
        table,
        holder,
        locks,
        isRecentlyChecked: now => now - state.lastCheckMilliseconds < settings.pauseLimitMilliseconds,
        isReleasing: partition => state.releasing.has(partition),
        findClaimantOrigin: partition => findClaimantOrigin(partition, options),
        longestAttemptMilliseconds: now => longest.current(now),
        clock,
    });
    return {
        guard: { admit },
        handlers: [
            implement(
                readHolder,
                async () =>
                    Result.ok({ instance: identity.instance, incarnation: identity.incarnation, held: holder.held() }),
            ),
        ],
        run: async signal => {
            const pauseMonitor = monitorPauses(signal, context, now => {
                state.lastCheckMilliseconds = now;
            });
            await maintainClaims(signal, context, () => state.releasing.size > 0);
            await pauseMonitor;
        },
        handOver: async () => {
            const held = holder.held();
            held.forEach(partition => state.releasing.add(partition));
            await Promise.all(held.map(partition => handOverPartition(partition, holder, locks)));
        },
    };
}

/**
 * Notes that the process runs. After a pause (the operating system stopped it, or the event loop hung) the table is read
 * before the process may send again, since others may have claimed what it held.
 */
async function monitorPauses(
    signal: AbortSignal,
    { options, table }: ExclusiveContext,
    recordCheck: (now: number) => void,
): Promise<void> {
    const { clock, logger, settings } = options;
    let lastCheckMilliseconds = clock();
    recordCheck(lastCheckMilliseconds);
    while (!signal.aborted) {
        await pause(settings.pauseLimitMilliseconds * PAUSE_CHECK_INTERVAL_SHARE, signal);
        const pausedMilliseconds = clock() - lastCheckMilliseconds;
        if (pausedMilliseconds > settings.pauseLimitMilliseconds) {
            logger.warn("process was paused", { pausedMilliseconds });
            await refreshUntilRead(signal, table, settings.refreshMilliseconds);
        }
        lastCheckMilliseconds = clock();
        recordCheck(lastCheckMilliseconds);
    }
}

async function refreshUntilRead(signal: AbortSignal, table: PartitionTable, waitMilliseconds: number): Promise<void> {
    while (!signal.aborted && (await table.refresh()).isErr) {
        await pause(waitMilliseconds, signal);
    }
}

async function maintainClaims(
    signal: AbortSignal,
    context: ExclusiveContext,
    isStopping: () => boolean,
): Promise<void> {
    const { options, proof, table } = context;
    while (!signal.aborted) {
        const refreshed = await table.refresh();
        if (refreshed.isErr) {
            options.logger.warn("partition table not read", { failure: refreshed.error });
        }
        else if (!isStopping()) {
            await proof.recordInstances();
            await claimDuePartitions(context);
        }
        await pause(options.settings.refreshMilliseconds, signal);
    }
}

/** Renews what this process holds and claims what falls to it by rendezvous hashing. */
async function claimDuePartitions(context: ExclusiveContext): Promise<void> {
    const { holder, options } = context;
    const duePartitions = [...Array(options.settings.partitions).keys()].filter(partition =>
        isClaimDue(partition, context)
    );
    await Promise.all(duePartitions.map(partition => holder.claim(partition)));
}

function isClaimDue(partition: number, { claimant, longest, options, table }: ExclusiveContext): boolean {
    const { settings } = options;
    const now = options.clock();
    const record = table.get(partition)?.body;
    if (findClaimReason(record, claimant, settings, now) === "own-renewal" && record !== undefined) {
        const remainingMilliseconds = record.horizonMilliseconds - now;
        const longestAttemptMilliseconds = chooseLongestAttempt(record, claimant, longest, now);
        return longestAttemptMilliseconds !== record.longestAttemptMilliseconds
            || remainingMilliseconds < settings.horizonMilliseconds * RENEWAL_SHARE;
    }
    return findClaimantOrigin(partition, options) === undefined && !isHolderAlive(record?.holder, options);
}

function isHolderAlive(holder: string | undefined, options: ExclusiveOptions): boolean {
    return options.membership.members().some(member =>
        member.role === "gateway" && member.instance === holder && member.state === "alive"
    );
}

/** Gives the origin of the live gateway that comes first for a partition, or `undefined` where this process does. */
function findClaimantOrigin(partition: number, options: ExclusiveOptions): string | undefined {
    const others = options.membership.members()
        .filter(member => member.role === "gateway" && member.state === "alive")
        .map(({ instance, origin }) => ({ instance, origin }));
    const candidates = [...others, { instance: options.identity.instance, origin: undefined }];
    return rankByRendezvous(nameKey(partition), candidates, candidate => candidate.instance)[0]?.origin;
}

async function handOverPartition(partition: number, holder: Holder, locks: Locks): Promise<void> {
    while (locks.count(key => key.startsWith(`${partition}/`)) > 0) {
        await pause(LOCK_POLL_MILLISECONDS);
    }
    await holder.release(partition);
}
