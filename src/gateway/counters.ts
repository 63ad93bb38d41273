/**
 * Counters of the request path: answers, refusals by reason, retries by reason.
 */
import type { Metrics } from "../core/metrics.js";

/** Reasons for which the gateway refuses or fails a request. Guards have additional reasons. */
export const reasons = {
    noConfiguration: "no-configuration",
    unknownService: "unknown-service",
    invalidRequest: "invalid-request",
    headTooLarge: "head-too-large",
    headTimeout: "head-timeout",
    bodyTooLarge: "body-too-large",
    bodyTimeout: "body-timeout",
    noUpstream: "no-upstream",
    circuitOpen: "circuit-open",
    queueFull: "queue-full",
    deadlinePassed: "deadline-passed",
    connectFailed: "connect-failed",
    upstreamRefused: "upstream-refused",
    upstreamGaveUp: "upstream-gave-up",
    upstreamTimeout: "upstream-timeout",
    upstreamFailed: "upstream-failed",
    callerTooSlow: "caller-too-slow",
    callerLeft: "caller-left",
    answerTruncated: "answer-truncated",
    answerCrossed: "answer-crossed",
    answerOversized: "answer-oversized",
    answerUndelimited: "answer-undelimited",
    permitLapsed: "permit-lapsed",
    forwardFailed: "forward-failed",
    internal: "internal",
} as const;

/** Counters of answers, refusals, retries, breakers and leaving replicas. */
export interface RequestCounters {
    countAnswer(service: string, statusClass: string): void;
    countRefusal(reason: string): void;
    countRetry(reason: string): void;
    countBreakerOpen(service: string): void;
    /** Counts a leaving replica, by the source of the information. */
    countLeaving(source: "replica" | "gateway"): void;
}

/** Creates the counters; answer counters are cached, since a label lookup costs more than an increment. */
export function createRequestCounters(metrics: Metrics): RequestCounters {
    const answers = metrics.counter("flamingowell_answers_total", "Whole answers of upstreams passed to callers", [
        "service",
        "status",
    ]);
    const refusals = metrics.counter("flamingowell_refusals_total", "Answers made by the gateway itself, by reason", [
        "reason",
    ]);
    const retries = metrics.counter("flamingowell_retries_total", "Requests sent again, by the reason for it", [
        "reason",
    ]);
    const breakers = metrics.counter("flamingowell_breakers_opened_total", "Circuit breakers opened, by service", [
        "service",
    ]);
    const leaving = metrics.counter(
        "flamingowell_leaving_replicas_total",
        "Replicas learned to be leaving, by who said so: the replica, or another gateway",
        ["source"],
    );
    const answerCounts = new Map<string, { inc(): void; }>();
    return {
        countAnswer: (service, status) => {
            const key = `${service} ${status}`;
            let count = answerCounts.get(key);
            if (count === undefined) {
                count = answers.labels({ service, status });
                answerCounts.set(key, count);
            }
            count.inc();
        },
        countRefusal: reason => refusals.inc({ reason }),
        countBreakerOpen: service => breakers.inc({ service }),
        countLeaving: source => leaving.inc({ source }),
        countRetry: reason => retries.inc({ reason }),
    };
}
