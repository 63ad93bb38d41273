/**
 * Reports what ends soon and who asked for it: a metric, and a log line a day for each such rule.
 */
import type { Gauge } from "prom-client";
import { MILLISECONDS_PER_DAY, MILLISECONDS_PER_MINUTE, pause } from "../core/time.js";
import type { TeamRule } from "../rules/rule.js";
import type { OperatorContext } from "./operator.js";

/** A rule that has ended or ends soon. */
export interface EndingRule extends TeamRule {
    /** `ended` rules run nothing any more and can be removed from their file. */
    readonly state: "ending" | "ended";
}

/** Lists the rules that have ended or end within some days. */
export function findEnding(all: readonly TeamRule[], days: number, now: number): EndingRule[] {
    const retired = new Set(all.filter(({ rule }) => rule.kind === "retire").map(({ rule }) => rule.name));
    return all.flatMap(({ team, rule }): EndingRule[] => {
        const { untilMilliseconds = Infinity, feature } = rule.end;
        const ended = untilMilliseconds <= now || (feature !== undefined && retired.has(feature));
        const ending = untilMilliseconds <= now + days * MILLISECONDS_PER_DAY;
        return ended || ending ? [{ team, rule, state: ended ? "ended" : "ending" }] : [];
    });
}

/** Keeps the metric up to date and logs once a day; runs until the signal is aborted. */
export async function runEndingReport(context: OperatorContext, signal: AbortSignal): Promise<void> {
    const gauge = context.metrics.gauge(
        "flamingowell_rules_ending",
        "Rules that have ended, or end within the days of the settings",
        ["state"],
    );
    let reportedAt = -Infinity;
    while (!signal.aborted) {
        const now = context.clock();
        const configuration = context.feed.source.current();
        if (configuration !== undefined) {
            const all = configuration.documents.flatMap(({ team, rules }) => rules.map(rule => ({ team, rule })));
            const ending = findEnding(all, context.settings.endingDays, now);
            publish(gauge, ending);
            if (now - reportedAt >= MILLISECONDS_PER_DAY) {
                reportedAt = now;
                report(context, ending);
            }
        }
        await pause(configuration === undefined ? FIRST_LOOK_MILLISECONDS : MILLISECONDS_PER_MINUTE, signal);
    }
}

const FIRST_LOOK_MILLISECONDS = 200;

function publish(gauge: Gauge, ending: readonly EndingRule[]): void {
    for (const state of ["ending", "ended"] as const) {
        gauge.set({ state }, ending.filter(entry => entry.state === state).length);
    }
}

function report(context: OperatorContext, ending: readonly EndingRule[]): void {
    for (const { team, rule, state } of ending) {
        const { kind, name, requester, end } = rule;
        context.logger.info("rule ending", { team, kind, name, requester, state, ...end });
    }
}
