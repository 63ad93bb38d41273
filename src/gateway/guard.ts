/**
 * Interface of guards, which decide whether a request may be sent to an upstream: exclusive requests (two attempts of
 * one key never overlap) and requests with an idempotency key (at most one run).
 */

/** Properties of a request that guards depend on. */
export interface GuardedRequest {
    readonly requestId: string;
    readonly service: string;
    /** Key of an exclusive service's request; absent where the service is not exclusive. */
    readonly exclusiveKey?: string;
    /** Value of `Idempotency-Key`; absent where the caller gave none. */
    readonly idempotencyKey?: string;
    /** SHA-256 of method, path and body, hexadecimal; set where there is an idempotency key. */
    readonly fingerprint?: string;
    /** Deadline of the caller; the upstream stops working on the request at this time. */
    readonly deadlineMilliseconds: number;
    /** Forwarded by another gateway; a request is forwarded at most once. */
    readonly forwarded: boolean;
}

/** Answer as stored for repeated requests. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
    /** Body in base64. */
    readonly body: string;
}

/**
 * Outcome of a permitted request: `answered` (complete answer of an upstream), `not-run` (nothing ran), `unknown` (it
 * may have run, or may still run until its deadline).
 */
export type PermitOutcome = "answered" | "not-run" | "unknown";

/** Permission to send a request. */
export interface Permit {
    /** Upper bound on the deadline that the upstream is given; absent where the request's deadline is the only bound. */
    readonly latestEndMilliseconds?: number;
    /** Called right before each attempt is sent; where it returns false, the request is refused. */
    maySend(now: number): boolean;
    /** Ends the permit; called exactly once. Resolves when the caller may be answered. */
    finish(outcome: PermitOutcome, answer?: RecordedAnswer): Promise<void>;
}

/** Decision of a guard on a request. */
export type Admission =
    | { readonly kind: "proceed"; readonly permit: Permit; }
    /** Another gateway holds the key: forward the request to its peer origin. */
    | { readonly kind: "forward"; readonly origin: string; }
    | { readonly kind: "replay"; readonly answer: RecordedAnswer; }
    | {
        readonly kind: "refuse";
        readonly status: number;
        readonly outcome: "not-run" | "unknown";
        /** Label of the refusal's counter and of the `flamingowell-reason` header. */
        readonly reason: string;
        readonly message: string;
    };

/** Decides on requests before a replica is chosen. */
export interface Guard {
    /** Decides on a request; may wait for an earlier attempt of the same key until the deadline. */
    admit(request: GuardedRequest, now: number): Promise<Admission>;
}
