/**
 * The roster: members as seen by this process, and the precedence of updates.
 */
import type { EntryInstance } from "../platform/instances.js";
import { getMemberName } from "./member.js";
import type { Member } from "./member.js";

/** Precedence of states within one incarnation; a higher state supersedes a lower one. */
const stateOrder: Record<Member["state"], number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/** A member that answered neither this process nor the peers that probed it on request. */
interface LocalSuspicion {
    readonly sinceMilliseconds: number;
    readonly lastProbeMilliseconds: number;
    /** Failed probes after the one that raised the suspicion. */
    readonly confirmations: number;
}

/** A member and local data about it. */
export interface RosterEntry {
    member: Member;
    /** Suspicion from this process's own probes; undefined while the member answers. */
    localSuspicion: LocalSuspicion | undefined;
    /** Whether the instance list contains the member now, or contained it before. */
    listed: "never" | "now" | "dropped";
    /** Last origin of the member in the instance list. */
    listedOrigin: string | undefined;
    /** Heartbeats that still have to carry the member's latest change. */
    remainingSends: number;
}

/** Returns whether an update supersedes the current state of a member. */
export function supersedes(update: Member, current: Member): boolean {
    if (update.incarnation !== current.incarnation) {
        return update.incarnation > current.incarnation;
    }
    return stateOrder[update.state] > stateOrder[current.state];
}

/** Stores all members except this process. */
export interface Roster {
    entries(): RosterEntry[];
    get(name: string): RosterEntry | undefined;
    /** Merges an update of a member; returns whether the roster changed. */
    merge(update: Member): boolean;
    /** Merges the instance list; returns whether the roster changed. */
    mergeList(instances: readonly EntryInstance[]): boolean;
    /** Records that a probe had no answer, direct or indirect; returns whether the member has become suspect. */
    recordSilence(probed: Member, now: number): boolean;
    /** Records that a member has answered, which ends the local suspicion. */
    recordAnswer(answered: Member): void;
    /** Returns the locally suspected member with the oldest last probe. */
    nextLocalSuspect(): Member | undefined;
    /**
     * Marks members as dead whose local suspicion is older than the limit and confirmed by further probes, and removes
     * dead members that are no longer listed. Returns whether the roster changed. Suspicions of other processes aren't
     * enough: a process declares a member dead only after its own probes.
     */
    expire(suspicionMilliseconds: number, now: number): boolean;
    /** Picks the changes to send with the next heartbeat. */
    pickChanges(limit: number): Member[];
}

const SENDS_PER_DOUBLING = 3;

/** Failed probes required after the first one, so that a few lost messages don't mark a member as dead. */
const REQUIRED_CONFIRMATIONS = 2;

/** Creates an empty roster for the process with the given name. */
export function createRoster(selfName: string): Roster {
    const entries = new Map<string, RosterEntry>();

    function countSends(): number {
        return SENDS_PER_DOUBLING * Math.ceil(Math.log2(entries.size + 2));
    }

    function replaceMember(entry: RosterEntry, member: Member): void {
        entry.localSuspicion = undefined;
        entry.member = member;
        entry.remainingSends = countSends();
    }

    function add(member: Member): RosterEntry {
        const entry: RosterEntry = {
            member,
            localSuspicion: undefined,
            listed: "never",
            listedOrigin: undefined,
            remainingSends: 0,
        };
        entries.set(getMemberName(member), entry);
        return entry;
    }

    function merge(update: Member): boolean {
        const name = getMemberName(update);
        if (name === selfName) {
            return false;
        }
        const entry = entries.get(name);
        if (entry === undefined) {
            // The death of an unknown member is of no use to any process, so the member isn't added.
            if (update.state !== "dead") {
                add(update).remainingSends = countSends();
            }
            return update.state !== "dead";
        }
        const configurationRevision = Math.max(update.configurationRevision, entry.member.configurationRevision);
        if (supersedes(update, entry.member)) {
            // A restarted process starts without rules, so its configuration revision may be lower.
            const restarted = update.incarnation > entry.member.incarnation;
            const firstAnswer = entry.member.incarnation === 0 && update.state === entry.member.state
                && update.origin === entry.member.origin;
            if (firstAnswer) {
                // Every process reads the instance list; forwarding first answers would flood a new fleet.
                entry.member = update;
                return true;
            }
            replaceMember(entry, restarted ? update : { ...update, configurationRevision });
            return true;
        }
        const isRevisionNewer = update.incarnation === entry.member.incarnation
            && configurationRevision > entry.member.configurationRevision;
        if (isRevisionNewer) {
            entry.member = { ...entry.member, configurationRevision };
        }
        return isRevisionNewer;
    }

    function mergeListed(listed: Member): boolean {
        const current = entries.get(getMemberName(listed));
        const entry = current ?? add(listed);
        const isOriginChanged = entry.listedOrigin !== undefined && entry.listedOrigin !== listed.origin;
        entry.listed = "now";
        entry.listedOrigin = listed.origin;
        if (
            current !== undefined && isOriginChanged && entry.member.origin !== listed.origin
            && entry.member.state !== "alive"
        ) {
            // A replacement process has a new origin; its incarnation is read from its first answer.
            replaceMember(entry, { ...listed, incarnation: entry.member.incarnation });
            return true;
        }
        return current === undefined;
    }

    return {
        entries: () => [...entries.values()],
        get: name => entries.get(name),
        merge,
        mergeList(instances) {
            const members = instances.flatMap(listProcesses).filter(member => getMemberName(member) !== selfName);
            const names = new Set(members.map(getMemberName));
            const changes = members.map(member => mergeListed(member));
            for (const [name, entry] of entries) {
                if (entry.listed === "now" && !names.has(name)) {
                    entry.listed = "dropped";
                }
            }
            return changes.includes(true);
        },
        recordSilence(probed, now) {
            const entry = entries.get(getMemberName(probed));
            // The incarnation may have changed during the probe; the result applies only to the probed incarnation.
            if (entry === undefined || entry.member.incarnation !== probed.incarnation) {
                return false;
            }
            // A leaving member stays `leaving`: a missing answer is recorded locally but not sent as a suspicion.
            const { localSuspicion } = entry;
            const changed = merge({ ...entry.member, state: "suspect" });
            if (entry.member.state !== "dead") {
                entry.localSuspicion = localSuspicion === undefined
                    ? { sinceMilliseconds: now, lastProbeMilliseconds: now, confirmations: 0 }
                    : {
                        ...localSuspicion,
                        lastProbeMilliseconds: now,
                        confirmations: localSuspicion.confirmations + 1,
                    };
            }
            return changed;
        },
        recordAnswer(answered) {
            const entry = entries.get(getMemberName(answered));
            if (entry?.member.incarnation === answered.incarnation) {
                entry.localSuspicion = undefined;
            }
        },
        nextLocalSuspect() {
            const [first] = [...entries.values()]
                .flatMap(({ member, localSuspicion }) =>
                    localSuspicion === undefined ? [] : { member, at: localSuspicion.lastProbeMilliseconds }
                )
                .sort((left, right) => left.at - right.at);
            return first?.member;
        },
        expire(suspicionMilliseconds, now) {
            let changed = false;
            for (const [name, entry] of entries) {
                const { localSuspicion } = entry;
                if (
                    localSuspicion !== undefined && localSuspicion.confirmations >= REQUIRED_CONFIRMATIONS
                    && now - localSuspicion.sinceMilliseconds >= suspicionMilliseconds
                ) {
                    replaceMember(entry, { ...entry.member, state: "dead" });
                    changed = true;
                }
                if (entry.member.state === "dead" && entry.listed !== "now" && entry.remainingSends === 0) {
                    entries.delete(name);
                    changed = true;
                }
            }
            return changed;
        },
        pickChanges(limit) {
            const chosen = [...entries.values()]
                .filter(entry => entry.remainingSends > 0)
                .sort((left, right) => right.remainingSends - left.remainingSends)
                .slice(0, limit);
            for (const entry of chosen) {
                entry.remainingSends -= 1;
            }
            return chosen.map(entry => entry.member);
        },
    };
}

/** Returns the gateway and the scheduler of an entry instance, with incarnation 0 until they answer. */
function listProcesses(instance: EntryInstance): Member[] {
    const common = {
        instance: instance.name,
        dataCentre: instance.dataCentre,
        incarnation: 0,
        state: instance.state === "leaving" ? "leaving" as const : "alive" as const,
        configurationRevision: 0,
    };
    return [
        { ...common, role: "gateway", origin: instance.gatewayOrigin },
        { ...common, role: "scheduler", origin: instance.schedulerOrigin },
    ];
}
