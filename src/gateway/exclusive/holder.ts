/**
 * Holds partitions for one gateway: claims, renews and releases them in the store.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import { createTimeout } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import { commitRecord } from "../../platform/commit.js";
import type { StoredRecord } from "../../platform/commit.js";
import type { Store } from "../../platform/store.js";
import { createClaim, findClaimReason, isHeldBy } from "./claim.js";
import type { Claimant, ClaimReason } from "./claim.js";
import { nameKey } from "./partition.js";
import type { PartitionRecord } from "./partition.js";
import type { ExclusiveSettings } from "./settings.js";
import type { PartitionTable } from "./table.js";

/** Options of a holder. */
export interface HolderOptions {
    readonly claimant: Claimant;
    readonly settings: ExclusiveSettings;
    readonly store: Store;
    readonly table: PartitionTable;
    /** Longest time that an attempt of any exclusive service may run under a claim that replaces a record. */
    longestAttemptMilliseconds(record: PartitionRecord | undefined): number;
    /** Asks whether the process that holds a record is provably gone. */
    isProvenDead(record: PartitionRecord): Promise<boolean>;
    onClaim(reason: ClaimReason): void;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Claims, renews and releases. */
export interface Holder {
    /** The record of a partition that this process holds now; `undefined` where it does not. */
    find(partition: number): PartitionRecord | undefined;
    held(): number[];
    /** Claims a partition if that is allowed, or renews the claim; fails with `conflict` or the store's failure. */
    claim(partition: number): Promise<Result<PartitionRecord, Failure>>;
    /** Gives a partition back; nothing that was sent for it may still run. */
    release(partition: number): Promise<void>;
}

/** Creates a holder that holds nothing yet. */
export function createHolder(options: HolderOptions): Holder {
    const { claimant, settings, table } = options;
    // One claim of a partition at a time: a second request waits for the first one's answer.
    const runningClaims = new Map<number, Promise<Result<PartitionRecord, Failure>>>();
    const find = (partition: number): PartitionRecord | undefined => {
        const record = table.get(partition)?.body;
        return record !== undefined && isHeldBy(record, claimant) ? record : undefined;
    };
    return {
        find,
        held: () => [...Array(settings.partitions).keys()].filter(partition => find(partition) !== undefined),
        claim: partition => {
            const running = runningClaims.get(partition);
            if (running !== undefined) {
                return running;
            }
            const claim = claimPartition(partition, options).finally(() => runningClaims.delete(partition));
            runningClaims.set(partition, claim);
            return claim;
        },
        release: partition => releasePartition(partition, options),
    };
}

async function claimPartition(
    partition: number,
    options: HolderOptions,
): Promise<Result<PartitionRecord, Failure>> {
    const previous = options.table.get(partition);
    const reason = await determineClaimReason(previous?.body, options);
    if (reason === undefined) {
        const holder = previous?.body.holder ?? "nobody";
        return Result.err(
            createFailure("conflict", "claim partition", `partition ${partition} is held`, { peer: holder }),
        );
    }
    const now = options.clock();
    const longestAttemptMilliseconds = options.longestAttemptMilliseconds(previous?.body);
    const record = createClaim(options.claimant, previous, longestAttemptMilliseconds, options.settings, now);
    const committed = await commit(partition, record, previous, options);
    if (committed.isOk && reason !== "own-renewal") {
        options.onClaim(reason);
        options.logger.info("partition claimed", { partition, reason, quietUntil: record.quietUntilMilliseconds });
    }
    return committed.map(() => record);
}

async function determineClaimReason(
    record: PartitionRecord | undefined,
    options: HolderOptions,
): Promise<ClaimReason | undefined> {
    const reason = findClaimReason(record, options.claimant, options.settings, options.clock());
    if (reason !== undefined || record === undefined || !options.settings.acceptProofOfDeath) {
        return reason;
    }
    return await options.isProvenDead(record) ? "proof-of-death" : undefined;
}

async function commit(
    partition: number,
    record: PartitionRecord,
    previous: StoredRecord<PartitionRecord> | undefined,
    options: HolderOptions,
): Promise<Result<number, Failure>> {
    const committed = await commitRecord(options.store, {
        key: nameKey(partition),
        body: record,
        expectedRevision: previous?.revision ?? 0,
        // The claim counts from before it was written, so a write that takes too long is of no use.
        signal: createTimeout(options.settings.refreshMilliseconds),
    });
    if (committed.isOk) {
        options.table.put(partition, { body: record, revision: committed.value, leaseId: "" });
    }
    else {
        await options.table.refreshOne(partition);
    }
    return committed;
}

async function releasePartition(partition: number, options: HolderOptions): Promise<void> {
    const previous = options.table.get(partition);
    if (previous === undefined || !isHeldBy(previous.body, options.claimant)) {
        return;
    }
    const released = await commit(partition, { ...previous.body, released: true }, previous, options);
    if (released.isErr) {
        options.logger.warn("partition not released", { partition, failure: released.error });
    }
}
