/**
 * The operators' surface of a gateway: rules, and what operators ask of schedulers and gateways.
 */
import type { Counter } from "prom-client";
import { Result } from "true-myth/result";
import type { ConfigurationFeed } from "../configuration/feed.js";
import { readRevisionsInForce } from "../configuration/messages.js";
import { createFailure } from "../core/errors.js";
import type { Logger } from "../core/log.js";
import { implement } from "../core/method.js";
import type { MethodHandler } from "../core/method.js";
import type { Metrics } from "../core/metrics.js";
import type { Part } from "../core/part.js";
import type { RpcClient } from "../core/rpc.js";
import type { Clock } from "../core/time.js";
import { getMemberName } from "../membership/member.js";
import type { MembershipSource } from "../membership/member.js";
import type { InstanceList } from "../platform/instances.js";
import type { Store } from "../platform/store.js";
import { diffRules } from "../rules/diff.js";
import { safeParseRules } from "../rules/parse.js";
import { apply, readCurrent, readRules, toVersion } from "./apply.js";
import { checkAgainstOthers } from "./check.js";
import { runEndingReport } from "./ending.js";
import { callMembers, createForwardHandlers, listProcesses } from "./forward.js";
import { readHistory } from "./history.js";
import { applyRules, listHistory, planRules, readSpread, revertRules, showRules } from "./messages.js";
import type { OperatorSettings } from "./settings.js";
import { showVersions } from "./show.js";
import { createStateHandlers } from "./state.js";

/** Options of the operators' surface. */
export interface OperatorSurfaceOptions {
    readonly settings: OperatorSettings;
    readonly store: Store;
    readonly instanceList: InstanceList;
    readonly feed: ConfigurationFeed;
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** What the handlers share. */
export interface OperatorContext extends OperatorSurfaceOptions {
    readonly applies: Counter;
}

/** Creates the surface; its handlers belong on the operators' port, not on the peers'. */
export function createOperatorSurface(options: OperatorSurfaceOptions): Part {
    const applies = options.metrics.counter("flamingowell_rules_applies_total", "Applies of rules", ["outcome"]);
    const context: OperatorContext = { ...options, applies };
    return {
        handlers: [
            ...createRulesHandlers(context),
            ...createForwardHandlers(context),
            ...createStateHandlers(context),
        ],
        run: signal => runEndingReport(context, signal),
    };
}

function createRulesHandlers(context: OperatorContext): MethodHandler[] {
    return [
        implement(applyRules, params => apply(context, params)),
        implement(revertRules, async ({ sequence, ...params }) => {
            const history = await readHistory(context, params.team);
            if (history.isErr) {
                return Result.err(history.error);
            }
            const version = history.value.find(candidate => candidate.record.sequence === sequence);
            return version === undefined
                ? Result.err(createFailure("not-found", "rules.revert", `${params.team} has no version ${sequence}`))
                : apply(context, { ...params, text: version.record.text });
        }),
        implement(planRules, async params => {
            const current = await readCurrent(context, params.team);
            if (current.isErr) {
                return Result.err(current.error);
            }
            const { team, text, file } = params;
            const parsed = safeParseRules(text, { team, ...(file === undefined ? {} : { file }) });
            const failures = parsed.success
                ? await checkAgainstOthers(context, params, parsed.rules)
                : parsed.failures;
            const before = readRules(current.value?.record.text ?? "", team);
            const changes = parsed.success ? diffRules(before, parsed.rules) : [];
            return Result.ok({ baseRevision: current.value?.revision ?? 0, failures, changes });
        }),
        implement(showRules, ({ team }) => showVersions(context, team)),
        implement(listHistory, async ({ team }) => {
            const history = await readHistory(context, team);
            return history.map(versions => {
                const entries = versions.map((version, index) => ({
                    version: toVersion(version),
                    changes: diffRules(
                        readRules(versions[index - 1]?.record.text ?? "", team),
                        readRules(version.record.text, team),
                    ),
                }));
                return { entries: entries.reverse().slice(0, context.settings.historyEntries) };
            });
        }),
        implement(readSpread, async ({ team, revision }) => {
            const members = listProcesses(context).filter(member => member.state !== "dead");
            const { answers, silent } = await callMembers(context, members, readRevisionsInForce, { team });
            const behind = answers
                .filter(({ answer }) => answer.revision < revision)
                .map(({ member }) => getMemberName(member));
            return Result.ok({ processes: members.length, inForce: answers.length - behind.length, behind, silent });
        }),
    ];
}
