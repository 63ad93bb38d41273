/**
 * Who takes part and who owns which cell, as the store says.
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
import { DIRECTORY_PREFIX, keyOfOwner, Member, OwnerRecord } from "./records.js";

/** Wait before the store is asked again that did not answer. */
const RETRY_MILLISECONDS = 100;

/** The directory as an instance sees it. */
export interface Directory {
    readonly mirror: Mirror;
    members(): readonly Member[];
    owner(cell: string): OwnerRecord | undefined;
    /** Calls a function after each change. */
    onChange(listener: () => void): void;
    run(signal: AbortSignal): Promise<void>;
}

/** Creates a directory that has read nothing yet. */
export function createDirectory(store: Store, clock: Clock, log: EventLog, logger: Logger): Directory {
    const events = new Emittery<{ changed: undefined; }>();
    const members = new Map<string, Member>();
    const owners = new Map<string, OwnerRecord>();
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
        const isOwner = key.startsWith(keyOfOwner(""));
        const entry = mirror.entries.get(key);
        members.delete(key);
        owners.delete(key);
        if (entry === undefined) {
            log.write(isOwner ? "owner-gone" : "member-gone", { key }, "vital");
            return;
        }
        const decoded = isOwner
            ? parseJson(OwnerRecord, entry.value, key).map(owner => void owners.set(key, owner))
            : parseJson(Member, entry.value, key).map(member => void members.set(key, member));
        log.write(isOwner ? "owner-seen" : "member-seen", {
            key,
            revision: entry.modRevision,
            ...(decoded.isErr
                ? { failure: formatFailure(decoded.error) }
                : { record: owners.get(key) ?? members.get(key) }),
        }, "vital");
    };
    return {
        mirror,
        members: () => [...members.values()],
        owner: cell => owners.get(keyOfOwner(cell)),
        onChange: listener => void events.on("changed", listener),
        run: signal => mirror.run(signal),
    };
}
