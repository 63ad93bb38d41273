/**
 * Starts or ends the drain of a worker.
 */
import type { Ledger } from "../ledger/ledger.js";

/** An operator's order to start or end a drain. */
export interface DrainOrder {
    readonly worker: string;
    readonly drain: boolean;
    readonly by: string;
}

/** Records the drain in the ledger, so that the next owner continues it. */
export function drain(ledger: Ledger, order: DrainOrder): void {
    if (order.drain) {
        ledger.putDrain({ worker: order.worker, by: order.by });
    }
    else {
        ledger.endDrain(order.worker);
    }
}
