/**
 * All commands of the client.
 */
import type { Command } from "./command.js";
import { cancel } from "./commands/cancel.js";
import { drain } from "./commands/drain.js";
import { retire } from "./commands/retire.js";
import { rulesApply } from "./commands/rules-apply.js";
import { rulesRevert } from "./commands/rules-revert.js";
import { completion } from "./queries/completion.js";
import { explain } from "./queries/explain.js";
import { jobs } from "./queries/jobs.js";
import { rulesCheck } from "./queries/rules-check.js";
import { rulesEnding } from "./queries/rules-ending.js";
import { rulesHistory } from "./queries/rules-history.js";
import { rulesPlan } from "./queries/rules-plan.js";
import { rulesShow } from "./queries/rules-show.js";
import { stateExport } from "./queries/state-export.js";
import { stateVerify } from "./queries/state-verify.js";
import { status } from "./queries/status.js";
import { trace } from "./queries/trace.js";
import { who } from "./queries/who.js";
import { workers } from "./queries/workers.js";

export const commands: readonly Command[] = [
    rulesCheck,
    rulesPlan,
    rulesApply,
    rulesShow,
    rulesHistory,
    rulesRevert,
    rulesEnding,
    explain,
    who,
    jobs,
    cancel,
    retire,
    workers,
    drain,
    status,
    stateExport,
    stateVerify,
    trace,
    completion,
];
