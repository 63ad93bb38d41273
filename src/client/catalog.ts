/**
 * All commands of the client.
 */
import type { Command } from "./command.js";
import { rulesApply } from "./commands/rules-apply.js";
import { jobs } from "./queries/jobs.js";
import { rulesCheck } from "./queries/rules-check.js";
import { rulesShow } from "./queries/rules-show.js";
import { status } from "./queries/status.js";

export const commands: readonly Command[] = [rulesCheck, rulesApply, rulesShow, jobs, status];
