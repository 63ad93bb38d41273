/**
 * Proof that a holder's process has ended: another incarnation answers at its origin, or the platform has removed the
 * instance from its list. A missing answer alone proves nothing.
 */
import type { RpcClient } from "../../core/rpc.js";
import type { InstanceList } from "../../platform/instances.js";
import { readHolder } from "./partition.js";
import type { PartitionRecord } from "./partition.js";

/** Dependencies and time limit of the check that a holder's process has ended. */
export interface ProofOptions {
    readonly rpc: RpcClient;
    readonly instanceList: InstanceList;
    /** Time within which the holder's origin has to answer. */
    readonly timeoutMilliseconds: number;
}

/** Finds proof that a holder's process has ended. */
export interface ProofFinder {
    isProvenDead(record: PartitionRecord): Promise<boolean>;
    /** Records the listed instances, so that a later absence proves a removal. */
    recordInstances(): Promise<void>;
}

/** Creates a finder without recorded instances. */
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
