/**
 * Open watches: newline-delimited JSON on answers that do not end.
 */
import type { Response } from "express";
import { isInRange } from "./keyspace.js";
import type { KeyChange, KeyRange, Keyspace } from "./keyspace.js";
import { toRange, writeEvent, writeHeader } from "./messages.js";
import type { WatchRequest } from "./messages.js";

/** The open watches. */
export interface Watches {
    open(request: WatchRequest, response: Response): void;
    readonly publish: (changes: readonly KeyChange[], revision: number) => void;
    readonly notifyProgress: () => void;
    breakAll(): void;
    count(): number;
}

/** Options of the watches. */
export interface WatchesOptions {
    readonly keyspace: Keyspace;
    readonly isSilent: () => boolean;
    readonly onBytes: (bytes: number) => void;
}

interface OpenWatch {
    readonly range: KeyRange;
    readonly response: Response;
    readonly progress: boolean;
}

/** Creates the set of open watches. */
export function createWatches({ keyspace, isSilent, onBytes }: WatchesOptions): Watches {
    const watches = new Set<OpenWatch>();

    function send(response: Response, result: object): void {
        const line = `${JSON.stringify({ result })}\n`;
        onBytes(Buffer.byteLength(line));
        response.write(line);
    }

    function sendChanges(watch: OpenWatch, changes: readonly KeyChange[], revision: number): void {
        const events = changes.filter(change => isInRange(change.entry.key, watch.range)).map(writeEvent);
        if (events.length > 0) {
            send(watch.response, { header: writeHeader(revision), events });
        }
    }

    return {
        open(request, response) {
            const { start_revision: start, progress_notify: progress } = request.create_request;
            const watch = { range: toRange(request.create_request), response, progress };
            response.status(200).type("application/json");
            send(response, { header: writeHeader(keyspace.revision()), created: true });
            if (start > 0 && start <= keyspace.compactedRevision()) {
                const compact = String(keyspace.compactedRevision() + 1);
                send(response, {
                    header: writeHeader(keyspace.revision()),
                    canceled: true,
                    compact_revision: compact,
                });
                response.end();
                return;
            }
            if (start > 0 && start <= keyspace.revision()) {
                sendChanges(watch, keyspace.changesSince(start), keyspace.revision());
            }
            watches.add(watch);
            response.on("close", () => watches.delete(watch));
        },
        publish(changes, revision) {
            if (isSilent()) {
                return;
            }
            for (const watch of watches) {
                sendChanges(watch, changes, revision);
            }
        },
        notifyProgress() {
            if (isSilent()) {
                return;
            }
            for (const watch of watches) {
                if (watch.progress) {
                    send(watch.response, { header: writeHeader(keyspace.revision()) });
                }
            }
        },
        breakAll() {
            for (const watch of watches) {
                watch.response.destroy();
            }
            watches.clear();
        },
        count: () => watches.size,
    };
}
