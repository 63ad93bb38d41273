/**
 * Tells whether the store has answered lately, from the calls that a process makes anyway.
 */
import type { Result } from "true-myth/result";
import type { Failure, FailureCode } from "../core/errors.js";
import type { Store } from "./store.js";

/** A store that notes whether its last call was answered. */
export interface ObservedStore extends Store {
    /** False before the first answer, and after a call that got none. */
    isReachable(): boolean;
}

const UNANSWERED_CODES: ReadonlySet<FailureCode> = new Set(["unavailable", "timeout", "ambiguous"]);

/** Wraps a store; watches and revocations are passed on unobserved. */
export function observeStore(store: Store): ObservedStore {
    let reachable = false;
    const note = <Value>(answer: Result<Value, Failure>): Result<Value, Failure> => {
        reachable = answer.isOk || !UNANSWERED_CODES.has(answer.error.code);
        return answer;
    };
    return {
        isReachable: () => reachable,
        read: async request => note(await store.read(request)),
        transact: async transaction => note(await store.transact(transaction)),
        grantLease: async ttlSeconds => note(await store.grantLease(ttlSeconds)),
        renewLease: async leaseId => note(await store.renewLease(leaseId)),
        revokeLease: leaseId => store.revokeLease(leaseId),
        watch: request => store.watch(request),
    };
}
