/**
 * Methods of the operators' port.
 */
import * as z from "zod";
import { Failure } from "../core/errors.js";
import { Name } from "../core/messages/identity.js";
import {
    cancelTask,
    drainWorker,
    explainTask,
    listTasks as listSchedulerTasks,
    listWorkers as listSchedulerWorkers,
    readStatus,
} from "../core/messages/operator.js";
import { defineMethod } from "../core/method.js";
import type { Method } from "../core/method.js";
import { Member } from "../membership/member.js";
import { RuleChange } from "../rules/diff.js";
import { ExportedState } from "../scheduler/queries/export.js";
import { Verification } from "../scheduler/queries/verify.js";

/** A version of a team's rules. */
export const RulesVersion = z.strictObject({
    team: Name,
    revision: z.int().min(0),
    sequence: z.int().min(0),
    text: z.string(),
    appliedBy: z.string(),
    appliedAtMilliseconds: z.number(),
});
export type RulesVersion = z.infer<typeof RulesVersion>;

/** What became of an apply: accepted whole, rejected whole, or based on a version that is no longer in force. */
export const ApplyAnswer = z.discriminatedUnion("outcome", [
    z.strictObject({
        outcome: z.literal("accepted"),
        revision: z.int().min(0),
        /** False where the rules were in force already. */
        changed: z.boolean(),
        changes: z.array(RuleChange),
    }),
    z.strictObject({ outcome: z.literal("rejected"), failures: z.array(Failure) }),
    z.strictObject({
        outcome: z.literal("conflict"),
        current: RulesVersion,
        /** From the base, as far as history still has it, to what is in force. */
        changesSinceBase: z.array(RuleChange),
    }),
]);
export type ApplyAnswer = z.infer<typeof ApplyAnswer>;

/**
 * Applies a team's rules, whole or not at all, where `baseRevision` is in force (0 for a team without rules). The
 * `applyId` is chosen by the client and stays the same when it repeats a call whose answer was lost.
 */
export const applyRules = defineMethod(
    "rules.apply",
    z.strictObject({
        team: Name,
        file: z.string().optional(),
        text: z.string(),
        baseRevision: z.int().min(0),
        applyId: z.string().min(1),
        by: z.string().min(1),
    }),
    ApplyAnswer,
);

/** Applies an earlier version of a team's rules again. */
export const revertRules = defineMethod(
    "rules.revert",
    z.strictObject({
        team: Name,
        sequence: z.int().min(1),
        baseRevision: z.int().min(0),
        applyId: z.string().min(1),
        by: z.string().min(1),
    }),
    ApplyAnswer,
);

/** Checks rules and tells what an apply would change. */
export const planRules = defineMethod(
    "rules.plan",
    z.strictObject({ team: Name, file: z.string().optional(), text: z.string() }),
    z.strictObject({
        baseRevision: z.int().min(0),
        failures: z.array(Failure),
        changes: z.array(RuleChange),
    }),
);

/** Shows the rules of one team or of all. */
export const showRules = defineMethod(
    "rules.show",
    z.strictObject({ team: Name.optional() }),
    z.strictObject({
        /** `in-force` where the store did not answer: what this gateway acts on. */
        source: z.enum(["store", "in-force"]),
        versions: z.array(RulesVersion),
    }),
);

/** Lists the versions of a team's rules, the newest first, with what each changed. */
export const listHistory = defineMethod(
    "rules.history",
    z.strictObject({ team: Name }),
    z.strictObject({
        entries: z.array(z.strictObject({ version: RulesVersion, changes: z.array(RuleChange) })),
    }),
);

/** Counts the processes that have a revision of a team's rules in force. */
export const readSpread = defineMethod(
    "rules.spread",
    z.strictObject({ team: Name, revision: z.int().min(0) }),
    z.strictObject({ processes: z.int(), inForce: z.int(), behind: z.array(z.string()), silent: z.array(z.string()) }),
);

/** A scheduler's method as gateways offer it: the answers of all schedulers, and the names of those that gave none. */
function defineForwarded<Params extends z.ZodType, Shape extends z.ZodRawShape>(
    method: Method<Params, z.ZodObject<Shape, z.core.$strict>>,
) {
    return defineMethod(method.name, method.params, method.answer.extend({ silent: z.array(z.string()) }));
}

export const listTasks = defineForwarded(listSchedulerTasks);
export const cancelTasks = defineForwarded(cancelTask);
export const explainTasks = defineForwarded(explainTask);
export const listWorkers = defineForwarded(listSchedulerWorkers);
export const drainWorkers = defineForwarded(drainWorker);

/** A process as the membership sees it and, where it answered, as it sees itself. */
export const ProcessStatus = z.strictObject({ member: Member, status: readStatus.answer.optional() });
export type ProcessStatus = z.infer<typeof ProcessStatus>;

/** Lists all processes. */
export const listStatus = defineMethod(
    "status.list",
    z.strictObject({ instance: Name.optional() }),
    z.strictObject({ processes: z.array(ProcessStatus) }),
);

/** Reads the ledgers of all cells from the store, as one document. */
export const exportLedgers = defineMethod("state.export", z.strictObject({}), ExportedState);

/** Checks the ledgers' invariants against the workers and rules that the gateway knows. */
export const verifyLedgers = defineMethod("state.verify", z.strictObject({}), Verification);
