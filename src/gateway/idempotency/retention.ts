/**
 * Store leases that end idempotency records: one lease for all records of a period, so that records cost no lease each.
 */
import { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import { MILLISECONDS_PER_SECOND } from "../../core/time.js";
import type { Store } from "../../platform/store.js";
import type { IdempotencySettings } from "./settings.js";

/** Records of this share of the retention time have one lease together. */
const PERIOD_SHARE = 0.1;

/** Gives the lease for records written now. */
export interface Retention {
    findLease(now: number): Promise<Result<string, Failure>>;
    /** Lets go of the lease, since the store does not know it any more. */
    invalidateLease(): void;
}

interface Period {
    readonly leaseId: string;
    readonly endsMilliseconds: number;
}

/** Creates a retention without a lease; the first record brings one. */
export function createRetention(
    { settings, store }: { readonly settings: IdempotencySettings; readonly store: Store; },
): Retention {
    let period: Period | undefined;
    let pendingGrant: Promise<Result<Period, Failure>> | undefined;
    return {
        findLease: async now => {
            if (period !== undefined && now < period.endsMilliseconds) {
                return Result.ok(period.leaseId);
            }
            pendingGrant ??= grantPeriod(settings, store, now).finally(() => {
                pendingGrant = undefined;
            });
            const granted = await pendingGrant;
            if (granted.isOk) {
                period = granted.value;
            }
            return granted.map(({ leaseId }) => leaseId);
        },
        invalidateLease: () => {
            period = undefined;
        },
    };
}

async function grantPeriod(
    settings: IdempotencySettings,
    store: Store,
    now: number,
): Promise<Result<Period, Failure>> {
    const periodSeconds = settings.retentionSeconds * PERIOD_SHARE;
    const granted = await store.grantLease(Math.ceil(settings.retentionSeconds + periodSeconds));
    return granted.map(({ leaseId }) => ({
        leaseId,
        endsMilliseconds: now + periodSeconds * MILLISECONDS_PER_SECOND,
    }));
}
