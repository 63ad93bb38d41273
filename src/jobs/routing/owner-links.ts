/**
 * Connections to the owners of cells.
 */
import type { EventLog } from "../../core/event-log.js";
import { pause } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import { openLink } from "../link/link.js";
import type { Link } from "../link/link.js";
import { helloMethod } from "../model/requests.js";
import type { Directory } from "../ownership/directory.js";
import type { OwnerRecord } from "../ownership/records.js";

/** Wait before an owner is tried again that could not be reached. */
const RETRY_MILLISECONDS = 100;

/** Longest wait for news of an owner. */
const CHECK_MILLISECONDS = 1_000;

/** A new connection has to answer within this time; four round trips between distant data centres. */
const HELLO_LIMIT_MILLISECONDS = 500;

/** What the links need. */
export interface OwnerLinksOptions {
    readonly directory: Directory;
    readonly cells: readonly string[];
    /** Incarnation of this process, which needs no link to itself. */
    readonly incarnation: string;
    readonly log: EventLog;
    /** The process of an owner has certainly ended. */
    onOwnerDead(owner: OwnerRecord): void;
    /** An owner has been unable to commit anything for so long. */
    onOwnerFailing(owner: OwnerRecord, milliseconds: number): void;
    /** A link has opened or closed. */
    onChange(): void;
}

/** Links to owners. */
export interface OwnerLinks {
    /** The open link to a cell's owner. */
    find(cell: string): Link | undefined;
    run(signal: AbortSignal): Promise<void>;
}

/** Creates the links; one task a cell keeps them open. */
export function createOwnerLinks(options: OwnerLinksOptions): OwnerLinks {
    const { directory, log } = options;
    const links = new Map<string, { readonly link: Link; readonly owner: OwnerRecord; }>();

    const maintainLink = async (cell: string, signal: AbortSignal): Promise<void> => {
        const ownerChange = createWake();
        directory.onChange(() => ownerChange.wake());
        while (!signal.aborted) {
            const owner = directory.owner(cell);
            const current = links.get(cell);
            if (current !== undefined && (!current.link.isOpen() || current.owner.incarnation !== owner?.incarnation)) {
                links.delete(cell);
                current.link.close();
                log.write("owner-link-closed", { cell, peer: current.link.peer }, "vital");
                options.onChange();
            }
            if (owner === undefined || owner.incarnation === options.incarnation || links.has(cell)) {
                await ownerChange.wait(CHECK_MILLISECONDS, signal);
                continue;
            }
            if (!await openOwnerLink(cell, owner, () => ownerChange.wake())) {
                await pause(RETRY_MILLISECONDS, signal);
            }
        }
        links.get(cell)?.link.close();
    };

    const openOwnerLink = async (cell: string, owner: OwnerRecord, onClose: () => void): Promise<boolean> => {
        const opened = await openLink({ host: owner.host, port: owner.port }, {
            onClose,
            onPeerFailing: milliseconds => options.onOwnerFailing(owner, milliseconds),
        });
        if (opened.isErr) {
            const { message, refusal } = opened.error;
            log.write("owner-link-failed", { cell, owner: owner.instance, refusal, message }, "vital");
            if (refusal === "refused") {
                options.onOwnerDead(owner);
            }
            return false;
        }
        const link = opened.value;
        const hello = await link.call(helloMethod, {}, HELLO_LIMIT_MILLISECONDS);
        if (hello.isErr || hello.value.incarnation !== owner.incarnation) {
            link.close();
            if (hello.isOk && hello.value.instance === owner.instance) {
                options.onOwnerDead(owner);
            }
            return false;
        }
        links.set(cell, { link, owner });
        log.write("owner-link-opened", { cell, owner: owner.instance, epoch: owner.epoch }, "vital");
        options.onChange();
        return true;
    };

    return {
        find: cell => {
            const found = links.get(cell);
            return found?.link.isOpen() === true ? found.link : undefined;
        },
        async run(signal) {
            await Promise.all(options.cells.map(cell => maintainLink(cell, signal)));
        },
    };
}
