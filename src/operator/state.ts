/**
 * The operators' view of the ledgers: exported whole, or checked.
 */
import { Result } from "true-myth/result";
import type { Failure } from "../core/errors.js";
import { implement } from "../core/method.js";
import type { MethodHandler } from "../core/method.js";
import type { WorkerInstance } from "../platform/instances.js";
import { exportState } from "../scheduler/queries/export.js";
import type { Verification } from "../scheduler/queries/verify.js";
import { verifyState } from "../scheduler/queries/verify.js";
import { exportLedgers, verifyLedgers } from "./messages.js";
import type { OperatorContext } from "./operator.js";

/** Creates the methods that read ledgers from the store. */
export function createStateHandlers(context: OperatorContext): MethodHandler[] {
    return [
        implement(exportLedgers, () => exportState(context.store, context.clock())),
        implement(verifyLedgers, () => verify(context)),
    ];
}

/** Checks the ledgers; where the instance list cannot be read, capacity is left out. */
async function verify(context: OperatorContext): Promise<Result<Verification, Failure>> {
    const state = await exportState(context.store, context.clock());
    if (state.isErr) {
        return Result.err(state.error);
    }
    const listed = await context.instanceList.list();
    const workers = listed.isOk
        ? listed.value.filter((instance): instance is WorkerInstance => instance.kind === "worker")
        : undefined;
    const configuration = context.feed.source.current();
    return Result.ok(verifyState({
        state: state.value,
        ...(workers === undefined ? {} : { workers }),
        ...(configuration === undefined ? {} : { configuration }),
    }));
}
