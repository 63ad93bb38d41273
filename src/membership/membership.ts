/**
 * Membership: detects which gateway and scheduler processes are alive. Every process probes one peer per interval and
 * sends membership changes with its probes, so that its traffic doesn't grow with the fleet (SWIM).
 */
import Emittery from "emittery";
import type { Counter } from "prom-client";
import { Result } from "true-myth/result";
import { describeThrown, formatFailure } from "../core/errors.js";
import type { Logger } from "../core/log.js";
import { implement } from "../core/method.js";
import type { Metrics } from "../core/metrics.js";
import type { Part } from "../core/part.js";
import type { Random } from "../core/random.js";
import { jitter } from "../core/random.js";
import type { RpcClient } from "../core/rpc.js";
import { pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import type { EntryInstance, InstanceList } from "../platform/instances.js";
import { announceLeaving } from "./leave.js";
import { getMemberName } from "./member.js";
import type { Member, MembershipSource } from "./member.js";
import { probeForPeer, probePeer } from "./messages.js";
import { exchangeHeartbeat, probeNext } from "./probe.js";
import { createRoster } from "./roster.js";
import type { Roster } from "./roster.js";
import type { MembershipSettings } from "./settings.js";

/** Options of the membership. */
export interface MembershipOptions {
    readonly self: Pick<Member, "instance" | "role" | "dataCentre" | "origin" | "incarnation">;
    /** Returns the highest revision of the configuration in force in this process. */
    readonly configurationRevision: () => number;
    readonly settings: MembershipSettings;
    readonly instanceList: InstanceList;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** The membership: a part of the process that provides its members. */
export interface Membership extends Part {
    readonly source: MembershipSource;
    /**
     * Announces that this process is leaving; resolves after enough acknowledgements or after `leaveLimitMilliseconds`.
     */
    leave(): Promise<void>;
}

/** State that the tasks of the membership share. */
export interface MembershipContext extends MembershipOptions {
    readonly roster: Roster;
    current(): Member;
    /** Merges updates of members; refutes suspicions of this process. */
    applyUpdates(updates: readonly Member[]): void;
    /** Notifies listeners that the roster has changed. */
    notifyListeners(): void;
    /** Counts probes by outcome. */
    readonly probes: Counter<"outcome">;
    /** Counts further probes of unanswered members by outcome. */
    readonly confirmations: Counter<"outcome">;
    /**
     * Composes the next heartbeat to a peer. It includes the peer's own state if not `alive`, so that the peer can
     * refute it.
     */
    composeHeartbeat(target: Member | undefined): { self: Member; changes: Member[]; };
}

const INTERVAL_JITTER_SHARE = 0.1;

/** Creates the membership. */
export function createMembership(options: MembershipOptions): Membership {
    const { metrics, logger, settings } = options;
    const events = new Emittery<{ changed: undefined; }>();
    const roster = createRoster(getMemberName(options.self));
    const states = metrics.gauge("flamingowell_members", "Peers by state", ["state"]);
    const refuted = metrics.counter("flamingowell_membership_refutations_total", "Suspicions of this process refuted");
    let incarnation = options.self.incarnation;
    let leaving = false;

    const current = (): Member => ({
        ...options.self,
        incarnation,
        state: leaving ? "leaving" : "alive",
        configurationRevision: options.configurationRevision(),
    });

    function refute(update: Member): void {
        if (update.incarnation >= incarnation && (update.state === "suspect" || update.state === "dead")) {
            incarnation = update.incarnation + 1;
            refuted.inc();
            logger.info("suspicion refuted", { incarnation });
        }
    }

    function notifyListeners(): void {
        for (const state of ["alive", "suspect", "leaving", "dead"] as const) {
            states.set({ state }, roster.entries().filter(entry => entry.member.state === state).length);
        }
        events.emit("changed").catch((thrown: unknown) => {
            logger.error("listener failed", { message: describeThrown(thrown) });
        });
    }

    const context: MembershipContext = {
        ...options,
        probes: metrics.counter("flamingowell_membership_probes_total", "Probes of peers by outcome", ["outcome"]),
        confirmations: metrics.counter(
            "flamingowell_membership_confirmations_total",
            "Further probes of peers that gave no answer, by outcome",
            ["outcome"],
        ),
        roster,
        current,
        notifyListeners,
        applyUpdates(updates) {
            updates.filter(member => getMemberName(member) === getMemberName(options.self)).forEach(refute);
            const changes = updates.map(member => roster.merge(member));
            if (changes.includes(true)) {
                notifyListeners();
            }
        },
        composeHeartbeat(target) {
            const changes = roster.pickChanges(settings.changesPerHeartbeat);
            const suspected = target === undefined || target.state === "alive" ? [] : [target];
            return { self: current(), changes: [...suspected, ...changes] };
        },
    };

    async function runProbes(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const startedAt = options.clock();
            await probeNext(context);
            if (roster.expire(settings.suspicionMilliseconds, options.clock())) {
                notifyListeners();
            }
            const interval = jitter(settings.probeIntervalMilliseconds, INTERVAL_JITTER_SHARE, options.random);
            await pause(Math.max(1, interval - (options.clock() - startedAt)), signal);
        }
    }

    async function pollInstanceList(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const list = await options.instanceList.list();
            if (list.isErr) {
                logger.warn("instance list not read", { failure: formatFailure(list.error) });
            }
            else if (roster.mergeList(list.value.filter(isEntry))) {
                notifyListeners();
            }
            await pause(jitter(settings.listIntervalMilliseconds, INTERVAL_JITTER_SHARE, options.random), signal);
        }
    }

    return {
        source: {
            members: () => roster.entries().map(entry => entry.member),
            self: current,
            onChange: listener => events.on("changed", listener),
        },
        handlers: createHandlers(context),
        async run(signal) {
            await Promise.all([runProbes(signal), pollInstanceList(signal)]);
        },
        async leave() {
            leaving = true;
            await announceLeaving(context);
        },
    };
}

function isEntry(instance: { kind: string; }): instance is EntryInstance {
    return instance.kind === "entry";
}

function createHandlers(context: MembershipContext): Part["handlers"] {
    return [
        implement(probePeer, async ({ self, changes }) => {
            context.applyUpdates([self, ...changes]);
            context.roster.recordAnswer(self);
            return Result.ok(context.composeHeartbeat(context.roster.get(getMemberName(self))?.member));
        }),
        implement(probeForPeer, async ({ target }) => {
            const member = context.roster.entries().find(entry => entry.member.origin === target)?.member;
            const answer = await exchangeHeartbeat(context, member ?? { ...context.current(), origin: target });
            return Result.ok(answer === undefined ? {} : { target: answer });
        }),
    ];
}
