/**
 * The members as one process sees them, and the rules by which news of a member replaces older news.
 */
import type { EntryInstance } from "../platform/instances.js";
import { getMemberName } from "./member.js";
import type { Member } from "./member.js";

/** At one incarnation, news of a later state in this order replaces an earlier one. */
const stateOrder: Record<Member["state"], number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/** A member's silence towards this process and those that it asked to probe. */
interface LocalSuspicion {
    readonly sinceMilliseconds: number;
    readonly lastProbeMilliseconds: number;
    /** Failed probes after the one that raised the doubt. */
    readonly confirmations: number;
}

/** A member with what this process notes about it. */
export interface RosterEntry {
    member: Member;
    /** What this process itself has found while it probed the member; undefined while it answers. */
    localSuspicion: LocalSuspicion | undefined;
    /** The instance list names it, or has named it and since dropped it. */
    listed: "never" | "now" | "dropped";
    /** Origin that the list named last. */
    listedOrigin: string | undefined;
    /** Heartbeats that still pass the latest change on. */
    remainingSends: number;
}

/** Tells whether news of a member replaces what is known. */
export function supersedes(update: Member, current: Member): boolean {
    if (update.incarnation !== current.incarnation) {
        return update.incarnation > current.incarnation;
    }
    return stateOrder[update.state] > stateOrder[current.state];
}

/** Holds the members but the process itself. */
export interface Roster {
    entries(): RosterEntry[];
    get(name: string): RosterEntry | undefined;
    /** Takes in news of a member; true where something changed. */
    merge(update: Member): boolean;
    /** Takes in the instance list; true where something changed. */
    mergeList(instances: readonly EntryInstance[]): boolean;
    /** Notes that a member answered neither this process nor others; true where it has become a suspect. */
    recordSilence(probed: Member, now: number): boolean;
    /** Notes that a member has answered. */
    recordAnswer(answered: Member): void;
    /** The doubted member whose last probe is the longest ago. */
    nextLocalSuspect(): Member | undefined;
    /**
     * Members that stayed silent for this time and at further probes become dead, and dead ones that are listed no more
     * go; true on a change. What others say of a silence is no proof: only the process that probes declares the death.
     */
    expire(suspicionMilliseconds: number, now: number): boolean;
    /** Picks changes to pass on. */
    pickChanges(limit: number): Member[];
}

const SENDS_PER_DOUBLING = 3;

/** Probes that have to fail after the one that raised a doubt, so that a few lost messages are no death. */
const REQUIRED_CONFIRMATIONS = 2;

/** Creates an empty roster for the process of the given name. */
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
            // News of the death of one that is not known helps nobody.
            if (update.state !== "dead") {
                add(update).remainingSends = countSends();
            }
            return update.state !== "dead";
        }
        const configurationRevision = Math.max(update.configurationRevision, entry.member.configurationRevision);
        if (supersedes(update, entry.member)) {
            // A new process starts without rules.
            const restarted = update.incarnation > entry.member.incarnation;
            const firstAnswer = entry.member.incarnation === 0 && update.state === entry.member.state
                && update.origin === entry.member.origin;
            if (firstAnswer) {
                // The list has told everybody of the member; passing its first answer on would flood a new fleet.
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
            // A replacement stands at a new origin; its incarnation is learnt when it answers.
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
            // News may have come while the probe was under way; it counts only for the incarnation that was probed.
            if (entry === undefined || entry.member.incarnation !== probed.incarnation) {
                return false;
            }
            // A leaving member has said so itself: its silence is noted here and not passed on as a suspicion.
            const { localSuspicion: doubt } = entry;
            const changed = merge({ ...entry.member, state: "suspect" });
            if (entry.member.state !== "dead") {
                entry.localSuspicion = doubt === undefined
                    ? { sinceMilliseconds: now, lastProbeMilliseconds: now, confirmations: 0 }
                    : { ...doubt, lastProbeMilliseconds: now, confirmations: doubt.confirmations + 1 };
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
                .flatMap(({ member, localSuspicion: doubt }) =>
                    doubt === undefined ? [] : { member, at: doubt.lastProbeMilliseconds }
                )
                .sort((left, right) => left.at - right.at);
            return first?.member;
        },
        expire(suspicionMilliseconds, now) {
            let changed = false;
            for (const [name, entry] of entries) {
                const { localSuspicion: doubt } = entry;
                if (
                    doubt !== undefined && doubt.confirmations >= REQUIRED_CONFIRMATIONS
                    && now - doubt.sinceMilliseconds >= suspicionMilliseconds
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

/** Gives both daemons of an entry instance, as far as the list can tell. */
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
