/**
 * Members and owners of cells, mirrored from the store.
 */
import Emittery from "emittery";
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import type { Logger } from "../../core/log.js";
import { parseJson } from "../../core/parse.js";
import type { Clock } from "../../core/time.js";
import { createMirror } from "../../platform/mirror.js";
import type { Mirror } from "../../platform/mirror.js";
import type { Store } from "../../platform/store.js";
import { DIRECTORY_PREFIX, keyOfOwner, keyOfStop, Member, OwnerRecord, StopRecord } from "./records.js";

/** Wait before a failed read of the store is retried. */
const RETRY_MILLISECONDS = 100;

/** Kinds of records by the prefix of their keys; all others are members. */
const KINDS = [
    { prefix: `${DIRECTORY_PREFIX}owners/`, kind: "owner" },
    { prefix: `${DIRECTORY_PREFIX}stops/`, kind: "stop" },
] as const;

/** An instance's view of the directory. */
export interface Directory {
    readonly mirror: Mirror;
    members(): readonly Member[];
    /** Finds the member with an incarnation. */
    findMember(incarnation: string): Member | undefined;
    owner(cell: string): OwnerRecord | undefined;
    /** The last time that an instance has stopped being the cell's owner, if its record has not lapsed. */
    stop(cell: string, instance: string): StopRecord | undefined;
    /** Calls a function after each change. */
    onChange(listener: () => void): void;
    run(signal: AbortSignal): Promise<void>;
}

/** Creates an empty directory; `run` reads it from the store. */
export function createDirectory(store: Store, clock: Clock, log: EventLog, logger: Logger): Directory {
    const events = new Emittery<{ changed: undefined; }>();
    const members = new Map<string, Member>();
    const owners = new Map<string, OwnerRecord>();
    const stops = new Map<string, StopRecord>();
    const mirror = createMirror({
        store,
        prefix: DIRECTORY_PREFIX,
        clock,
        logger,
        retryMilliseconds: RETRY_MILLISECONDS,
        onChange(keys) {
            keys.forEach(applyEntry);
            void events.emit("changed");
        },
    });
    const applyEntry = (key: string): void => {
        const kind = KINDS.find(({ prefix }) => key.startsWith(prefix))?.kind ?? "member";
        const entry = mirror.entries.get(key);
        members.delete(key);
        owners.delete(key);
        stops.delete(key);
        if (entry === undefined) {
            log.write(`${kind}-gone`, { key }, "vital");
            return;
        }
        const decoded = kind === "owner"
            ? parseJson(OwnerRecord, entry.value, key).map(owner => void owners.set(key, owner))
            : kind === "stop"
            ? parseJson(StopRecord, entry.value, key).map(stop => void stops.set(key, stop))
            : parseJson(Member, entry.value, key).map(member => void members.set(key, member));
        log.write(`${kind}-seen`, {
            key,
            revision: entry.modRevision,
            ...(decoded.isErr
                ? { failure: formatFailure(decoded.error) }
                : { record: owners.get(key) ?? stops.get(key) ?? members.get(key) }),
        }, "vital");
    };
    return {
        mirror,
        members: () => [...members.values()],
        findMember: incarnation => [...members.values()].find(member => member.incarnation === incarnation),
        owner: cell => owners.get(keyOfOwner(cell)),
        stop: (cell, instance) => stops.get(keyOfStop(cell, instance)),
        onChange: listener => void events.on("changed", listener),
        run: signal => mirror.run(signal),
    };
}
