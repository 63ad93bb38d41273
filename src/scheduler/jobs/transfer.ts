/**
 * Transfers: batch tasks on their way from a cell that cannot place them to another one.
 *
 * The record is written in the commit by which the giving cell drops the task, and deleted in the commit by which the
 * taking cell ends it. A task without a record is where its assignment says; with one it is in the ledger of the cell
 * named in `to`, or about to be taken in there.
 */
import * as z from "zod";
import type { Logger } from "../../core/log.js";
import { Name } from "../../core/messages/identity.js";
import { parseJson } from "../../core/parse.js";
import type { KeyValue, Store, Transaction, WriteOperation } from "../../platform/store.js";

const PAGE_ENTRIES = 500;
const PREFIX = "scheduler/transfers/";

/** A task that has left the cell of its assignment. */
export const Transfer = z.strictObject({
    taskId: z.string(),
    rule: Name,
    /** Generation of the rule's assignment under which the task was admitted. */
    generation: z.int().min(0),
    from: z.string(),
    /** Cell that has taken it; absent while any allowed cell may. */
    to: z.string().optional(),
    offeredAtMilliseconds: z.number(),
    submittedAtMilliseconds: z.number(),
    /** Number of the last attempt of an earlier task of this name. */
    attempt: z.int().min(0),
});
export type Transfer = z.infer<typeof Transfer>;

/** A transfer as read, with the revision of its record. */
export interface StoredTransfer {
    readonly transfer: Transfer;
    readonly revision: number;
}

/** Copy of all transfers. */
export interface Transfers {
    list(): readonly StoredTransfer[];
    find(taskId: string): StoredTransfer | undefined;
    /** Rises with each change of the copy. */
    version(): number;
    /** Number of the newest read that has begun. */
    startedReads(): number;
    /** Number of the newest read that the copy comes from; 0 before the first. */
    appliedRead(): number;
    /** Takes in what a commit of this process has changed. */
    applyCommitted(taskId: string, transfer: Transfer | undefined): void;
    /** Reads all transfers. */
    refresh(): Promise<void>;
    /** Replaces a transfer, or deletes it, where nobody else has done so; false where that is not certain. */
    replace(before: StoredTransfer, after: Transfer | undefined): Promise<boolean>;
}

/** Gives the write that puts a transfer. */
export function putTransfer(transfer: Transfer): WriteOperation {
    return { kind: "put", key: PREFIX + transfer.taskId, value: JSON.stringify(transfer) };
}

/** Gives the write that deletes the transfer of a task. */
export function deleteTransfer(taskId: string): WriteOperation {
    return { kind: "delete", key: PREFIX + taskId };
}

/** Creates a copy that has read nothing yet. */
export function createTransfers(store: Store, logger: Logger): Transfers {
    let records = new Map<string, StoredTransfer>();
    let version = 0;
    let startedReads = 0;
    let appliedRead = 0;
    let changes = 0;

    const change = (taskId: string, stored: StoredTransfer | undefined): void => {
        changes += 1;
        version += 1;
        if (stored === undefined) {
            records.delete(taskId);
        }
        else {
            records.set(taskId, stored);
        }
    };

    const decode = (entry: KeyValue): StoredTransfer[] => {
        const decoded = parseJson(Transfer, entry.value, `transfer ${entry.key}`);
        if (decoded.isErr) {
            logger.error("transfer not readable", { failure: decoded.error });
            return [];
        }
        return [{ transfer: decoded.value, revision: entry.modRevision }];
    };

    const readAll = async (): Promise<StoredTransfer[] | undefined> => {
        const found: StoredTransfer[] = [];
        for (let after: string | undefined;;) {
            const page = await store.read({
                key: PREFIX,
                prefix: true,
                limit: PAGE_ENTRIES,
                ...(after === undefined ? {} : { after }),
            });
            if (page.isErr) {
                return undefined;
            }
            found.push(...page.value.entries.flatMap(decode));
            after = page.value.entries.at(-1)?.key;
            if (!page.value.more || after === undefined) {
                return found;
            }
        }
    };

    return {
        list: () => [...records.values()],
        find: taskId => records.get(taskId),
        version: () => version,
        startedReads: () => startedReads,
        appliedRead: () => appliedRead,
        applyCommitted(taskId, transfer) {
            // Its revision is not known before the next read, so it cannot be replaced until then.
            change(taskId, transfer === undefined ? undefined : { transfer, revision: 0 });
        },
        async refresh() {
            startedReads += 1;
            const number = startedReads;
            const changesBefore = changes;
            const found = await readAll();
            // A read that began before a change of this process may show what was before it.
            if (found === undefined || changes !== changesBefore) {
                return;
            }
            const next = new Map(found.map(stored => [stored.transfer.taskId, stored]));
            const isSame = next.size === records.size
                && found.every(({ transfer, revision }) => records.get(transfer.taskId)?.revision === revision);
            version += isSame ? 0 : 1;
            records = next;
            appliedRead = number;
        },
        async replace(before, after) {
            const { taskId } = before.transfer;
            const answer = await store.transact(createReplacement(before, after));
            if (answer.isErr || !answer.value.succeeded) {
                return false;
            }
            change(taskId, after === undefined ? undefined : { transfer: after, revision: answer.value.revision });
            return true;
        },
    };
}

function createReplacement({ transfer, revision }: StoredTransfer, after: Transfer | undefined): Transaction {
    return {
        comparisons: [{ key: PREFIX + transfer.taskId, target: "modRevision", relation: "equal", value: revision }],
        writes: [after === undefined ? deleteTransfer(transfer.taskId) : putTransfer(after)],
    };
}
