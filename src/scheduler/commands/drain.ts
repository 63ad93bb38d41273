/**
 * Drains a worker, or ends that.
 */
import type { Ledger } from "../ledger/ledger.js";

/** A drain as an operator has ordered it. */
export interface DrainOrder {
    readonly worker: string;
    readonly drain: boolean;
    readonly by: string;
}

/** Notes the drain in the ledger, so that a successor goes on with it. */
export function drain(ledger: Ledger, order: DrainOrder): void {
    if (order.drain) {
        ledger.putDrain({ worker: order.worker, by: order.by });
    }
    else {
        ledger.endDrain(order.worker);
    }
}
