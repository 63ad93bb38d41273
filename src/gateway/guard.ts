/**
 * Interface between the forwarding of requests and the guards that decide whether a request may be sent at all:
 * exclusive requests (two attempts of one key never overlap) and requests with an idempotency key (at most one run).
 */

/** What a guard needs to know of a request. */
export interface GuardedRequest {
    readonly requestId: string;
    readonly service: string;
    /** Key of an exclusive service's request; absent where the service is not exclusive. */
    readonly exclusiveKey?: string;
    /** Value of `Idempotency-Key`; absent where the caller gave none. */
    readonly idempotencyKey?: string;
    /** SHA-256 of method, path and body, hexadecimal; set where there is an idempotency key. */
    readonly fingerprint?: string;
    /** Time by which the caller needs its answer; an upstream stops working on the request then. */
    readonly deadlineMilliseconds: number;
    /** Another gateway has passed the request on; it is never passed on again. */
    readonly forwarded: boolean;
}

/** An answer as kept for repeats. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
    /** Body in base64. */
    readonly body: string;
}

/**
 * How a permitted request ended: `answered` (whole answer of an upstream), `not-run` (nothing ran), `unknown` (it may
 * have run, or may still run until its deadline).
 */
export type PermitOutcome = "answered" | "not-run" | "unknown";

/** Leave to send a request. */
export interface Permit {
    /** Upper bound on the deadline that the upstream is given; absent where the request's own deadline holds. */
    readonly latestEndMilliseconds?: number;
    /** Asked right before each send; once false, nothing may be sent any more and the request is refused. */
    maySend(now: number): boolean;
    /** Ends the permit; resolves when the outcome is recorded as far as it has to be. Called exactly once. */
    finish(outcome: PermitOutcome, answer?: RecordedAnswer): Promise<void>;
}

/** What a guard says to a request. */
export type Admission =
    | { readonly kind: "proceed"; readonly permit: Permit; }
    /** Another gateway holds the key: pass the request on to its peer origin. */
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

/** Decides on requests before any upstream is chosen. */
export interface Guard {
    /** May wait for an earlier attempt of the same key, at most until the deadline. */
    admit(request: GuardedRequest, now: number): Promise<Admission>;
}
