/**
 * Settings of the request path.
 */
import * as z from "zod";

const DEFAULT_LONGEST_DEADLINE_MILLISECONDS = 60_000;
const DEFAULT_BODY_LIMIT_BYTES = 1_048_576;
const DEFAULT_BODY_TIMEOUT_MILLISECONDS = 10_000;
const DEFAULT_HEADER_LIMIT_BYTES = 16_384;
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 10_000;
const DEFAULT_CALLER_CONNECTIONS = 10_000;
const DEFAULT_CERTIFICATE_CHECK_MILLISECONDS = 5_000;
const DEFAULT_DRAIN_DELAY_MILLISECONDS = 1_500;
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 65_000;
const DEFAULT_ANSWER_BUFFER_BYTES = 65_536;
const DEFAULT_ANSWER_LIMIT_BYTES = 67_108_864;
const DEFAULT_RECORDED_ANSWER_BYTES = 524_288;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_ROUTES_WAIT_MILLISECONDS = 10_000;
const DEFAULT_ATTEMPTS = 3;
const DEFAULT_RETRY_SHARE = 0.2;
const DEFAULT_RETRY_RESERVE = 10;
const DEFAULT_RETRY_DELAY_MILLISECONDS = 5;
const DEFAULT_SUBSET = 16;
const DEFAULT_IDLE_MILLISECONDS = 4_000;
const DEFAULT_COOLING_MILLISECONDS = 250;
const DEFAULT_FIRST_LIMIT = 64;
const DEFAULT_LARGEST_LIMIT = 4_096;
const DEFAULT_BREAKER_FAILURES = 3;
const DEFAULT_BREAKER_OPEN_MILLISECONDS = 1_000;
const DEFAULT_BREAKER_LONGEST_MILLISECONDS = 30_000;
const DEFAULT_LEAVING_MILLISECONDS = 60_000;
const DEFAULT_PROBE_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_EJECTED_SHARE = 0.3;
const DEFAULT_SPILL_FACTOR = 2;

/** Settings of the request path; every key has a default. */
export const RequestSettings = z.strictObject({
    /** Longest time that a caller may ask to wait. */
    longestDeadlineMilliseconds: z.int().min(1).default(DEFAULT_LONGEST_DEADLINE_MILLISECONDS),
    /** Largest body of a caller's request. */
    bodyLimitBytes: z.int().min(0).default(DEFAULT_BODY_LIMIT_BYTES),
    /** Time within which a caller has to deliver its body. */
    bodyTimeoutMilliseconds: z.int().min(1).default(DEFAULT_BODY_TIMEOUT_MILLISECONDS),
    /** Largest head of a caller's request. */
    headerLimitBytes: z.int().min(1_024).default(DEFAULT_HEADER_LIMIT_BYTES),
    /** Time within which a caller has to deliver the head of its request. */
    headerTimeoutMilliseconds: z.int().min(1).default(DEFAULT_HEADER_TIMEOUT_MILLISECONDS),
    /** Most connections of callers at once. */
    callerConnections: z.int().min(1).default(DEFAULT_CALLER_CONNECTIONS),
    /** Certificate and key in PEM files; without them callers speak plain HTTP. */
    tls: z.strictObject({ certificateFile: z.string().min(1), keyFile: z.string().min(1) }).optional(),
    /** Time between two checks of the certificate's files. */
    certificateCheckMilliseconds: z.int().min(1).default(DEFAULT_CERTIFICATE_CHECK_MILLISECONDS),
    /** Time for which a stopping gateway still accepts requests, so that the load balancer sees that it is not ready. */
    drainDelayMilliseconds: z.int().min(0).default(DEFAULT_DRAIN_DELAY_MILLISECONDS),
    /** Time after which an idle connection of a caller is closed. */
    keepAliveMilliseconds: z.int().min(1).default(DEFAULT_KEEP_ALIVE_MILLISECONDS),
    /** Answers up to this size are buffered before the first byte is sent to the caller; larger ones are streamed. */
    answerBufferBytes: z.int().min(0).default(DEFAULT_ANSWER_BUFFER_BYTES),
    /** Largest answer of an upstream. */
    answerLimitBytes: z.int().min(1).default(DEFAULT_ANSWER_LIMIT_BYTES),
    /** Answers to requests with an idempotency key are buffered up to this size, so that they can be recorded. */
    recordedAnswerBytes: z.int().min(0).default(DEFAULT_RECORDED_ANSWER_BYTES),
    /** Time within which a connection to an upstream has to be established. */
    connectTimeoutMilliseconds: z.int().min(1).default(DEFAULT_CONNECT_TIMEOUT_MILLISECONDS),
    /** Wait of one long poll for routes. */
    routesWaitMilliseconds: z.int().min(1).max(30_000).default(DEFAULT_ROUTES_WAIT_MILLISECONDS),
    /** Attempts that one request may take in all. */
    attempts: z.int().min(1).default(DEFAULT_ATTEMPTS),
    /** Retries allowed as a share of successful answers. */
    retryShare: z.number().min(0).max(1).default(DEFAULT_RETRY_SHARE),
    /** Most retries that a service's budget holds; also its initial value. */
    retryReserve: z.number().min(0).default(DEFAULT_RETRY_RESERVE),
    /** Mean wait before a retry; each wait differs from it by a random amount of up to half. */
    retryDelayMilliseconds: z.number().min(0).default(DEFAULT_RETRY_DELAY_MILLISECONDS),
    /** Most replicas of one service that the gateway uses, near and far ones counted apart. */
    subset: z.int().min(1).default(DEFAULT_SUBSET),
    /** Time after which an idle connection to an upstream is closed. */
    idleMilliseconds: z.int().min(1).default(DEFAULT_IDLE_MILLISECONDS),
    /** Time for which the credit of a destroyed connection is not reused. */
    coolingMilliseconds: z.int().min(0).default(DEFAULT_COOLING_MILLISECONDS),
    /** Initial limit on the concurrent requests of one service. */
    firstLimit: z.int().min(1).default(DEFAULT_FIRST_LIMIT),
    /** Largest limit on the concurrent requests of one service. */
    largestLimit: z.int().min(1).default(DEFAULT_LARGEST_LIMIT),
    /** Adaptive concurrency limit and refusal of requests that would miss their deadline; without it requests wait until the deadline. */
    shedding: z.boolean().default(true),
    /** Failures in a row that open an upstream's circuit breaker. */
    breakerFailures: z.int().min(1).default(DEFAULT_BREAKER_FAILURES),
    /** Time for which a circuit breaker opens first; it doubles with each failed probe. */
    breakerOpenMilliseconds: z.int().min(1).default(DEFAULT_BREAKER_OPEN_MILLISECONDS),
    /** Longest time for which a circuit breaker stays open. */
    breakerLongestMilliseconds: z.int().min(1).default(DEFAULT_BREAKER_LONGEST_MILLISECONDS),
    /** Time for which a replica that has refused a request because it is leaving gets no requests, unless its routes change before. */
    leavingMilliseconds: z.int().min(0).default(DEFAULT_LEAVING_MILLISECONDS),
    /** Time within which a probe on a new connection has to be answered. */
    probeTimeoutMilliseconds: z.int().min(1).default(DEFAULT_PROBE_TIMEOUT_MILLISECONDS),
    /** Largest share of a service's replicas that is excluded for failing more than the others. */
    ejectedShare: z.number().min(0).max(1).default(DEFAULT_EJECTED_SHARE),
    /** A replica in another data centre is chosen where the near one's load times latency is more than this many times higher. */
    spillFactor: z.number().min(1).default(DEFAULT_SPILL_FACTOR),
});
export type RequestSettings = z.infer<typeof RequestSettings>;
