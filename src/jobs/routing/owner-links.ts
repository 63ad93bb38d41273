/**
 * Keeps connections to the owners of cells open.
 */
import type { EventLog } from "../../core/event-log.js";
import { pause } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import { openLink } from "../link/link.js";
import type { Link } from "../link/link.js";
import { helloMethod } from "../model/requests.js";
import type { Directory } from "../ownership/directory.js";
import type { OwnerRecord } from "../ownership/records.js";

/** Wait before reconnecting to an owner that could not be reached. */
const RETRY_MILLISECONDS = 100;

/** Longest wait for a change of owner before the link is checked. */
const CHECK_MILLISECONDS = 1_000;

/** Time limit for the first answer on a new connection: four round trips between distant data centres. */
const HELLO_LIMIT_MILLISECONDS = 500;

/** Options of the owner links. */
export interface OwnerLinksOptions {
    readonly directory: Directory;
    readonly cells: readonly string[];
    /** Incarnation of this process. No link is opened to it. */
    readonly incarnation: string;
    readonly log: EventLog;
    /** Called when the process of an owner has certainly ended. */
    onOwnerDead(owner: OwnerRecord): void;
    /** Called with the time for which an owner has been unable to commit. */
    onOwnerFailing(owner: OwnerRecord, milliseconds: number): void;
    /** Called when a link opens or closes. */
    onChange(): void;
}

/** Open links to the owners of cells. */
export interface OwnerLinks {
    /** Returns the link to a cell's owner; `undefined` if none is open. */
    find(cell: string): Link | undefined;
    run(signal: AbortSignal): Promise<void>;
}

/** Creates the owner links. `run` maintains one link for each cell. */
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
