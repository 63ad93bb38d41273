/**
 * Proof that a holder's process is gone: a new incarnation answers at its address, or the platform's instance list no
 * longer has an instance that it had. Silence proves nothing.
 */
import type { RpcClient } from "../../core/rpc.js";
import type { InstanceList } from "../../platform/instances.js";
import { readHolder } from "./partition.js";
import type { PartitionRecord } from "./partition.js";

/** Options of the search for proof. */
export interface ProofOptions {
    readonly rpc: RpcClient;
    readonly instanceList: InstanceList;
    /** Time for the holder's address to answer. */
    readonly timeoutMilliseconds: number;
}

/** Looks for proof. */
export interface ProofFinder {
    isProvenDead(record: PartitionRecord): Promise<boolean>;
    /** Reads the instance list, so that a later absence means a removal. */
    recordInstances(): Promise<void>;
}

/** Creates a finder that has not seen the instance list yet. */
export function createProofFinder(options: ProofOptions): ProofFinder {
    const seenInstances = new Set<string>();
    const readNames = async (): Promise<Set<string> | undefined> => {
        const list = await options.instanceList.list();
        return list.isOk ? new Set(list.value.map(instance => instance.name)) : undefined;
    };
    return {
        isProvenDead: async record => {
            const answer = await options.rpc.call(record.origin, readHolder, {}, {
                timeoutMilliseconds: options.timeoutMilliseconds,
            });
            if (answer.isOk) {
                return answer.value.incarnation !== record.incarnation;
            }
            const names = await readNames();
            return names !== undefined && seenInstances.has(record.holder) && !names.has(record.holder);
        },
        recordInstances: async () => {
            for (const name of await readNames() ?? []) {
                seenInstances.add(name);
            }
        },
    };
}
