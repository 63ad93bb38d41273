/**
 * Closed data centres that tests change, in place of the operators' store.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import type { ClosureSource } from "../../src/jobs/model/closures.js";

/** Closures, and how an owner learns of them. */
export interface ClosureList {
    readonly source: ClosureSource;
    /** Whether a read is answered; a change is heard at once all the same. */
    isReachable: boolean;
    /** Number of reads that were answered. */
    reads(): number;
    close(dataCentre: string): void;
    reopen(dataCentre: string): void;
    /** Closes a data centre without a word to the owner, who finds it at its next read. */
    closeUnheard(dataCentre: string): void;
}

/** Creates an empty list. */
export function createClosureList(clock: () => number): ClosureList {
    const stored = new Set<string>();
    const known = new Set<string>();
    const listeners = new Set<() => void>();
    let confirmedAt = -Infinity;
    let reads = 0;
    const takeOver = (): void => {
        known.clear();
        stored.forEach(dataCentre => known.add(dataCentre));
        listeners.forEach(listener => listener());
    };
    const list: ClosureList = {
        isReachable: true,
        reads: () => reads,
        close(dataCentre) {
            stored.add(dataCentre);
            takeOver();
        },
        reopen(dataCentre) {
            stored.delete(dataCentre);
            takeOver();
        },
        closeUnheard: dataCentre => void stored.add(dataCentre),
        source: {
            closed: () => known,
            confirmedAtMilliseconds: () => confirmedAt,
            async refresh() {
                const sentAt = clock();
                if (!list.isReachable) {
                    return Result.err(createFailure("timeout", "read", "no answer within the time limit"));
                }
                reads += 1;
                confirmedAt = sentAt;
                takeOver();
                return Result.ok(undefined);
            },
            onChange(listener) {
                listeners.add(listener);
                return () => listeners.delete(listener);
            },
        },
    };
    return list;
}
