/**
 * Checks of a file's rules against the rules of other teams and against the workers that exist.
 */
import { createFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import type { WorkerInstance } from "../platform/instances.js";
import { startsTasks } from "../rules/rule.js";
import type { Rule, TaskRule } from "../rules/rule.js";
import type { OperatorContext } from "./operator.js";

/** A file under check. */
export interface CheckedFile {
    readonly team: string;
    readonly file?: string | undefined;
}

/** Gives a failure for each rule that cannot hold: its name is another team's, or no worker can hold its tasks. */
export async function checkAgainstOthers(
    context: OperatorContext,
    file: CheckedFile,
    rules: readonly Rule[],
): Promise<Failure[]> {
    const placed = rules.filter(startsTasks);
    const list = placed.length === 0 ? undefined : await context.instanceList.list();
    const workers = list?.isOk === true ? list.value.filter(instance => instance.kind === "worker") : [];
    return placed.flatMap(rule => [
        ...checkName(context, file, rule),
        ...workers.length === 0 ? [] : checkFit(file, rule, workers),
    ]);
}

function toFailure(file: CheckedFile, rule: Rule, message: string): Failure {
    const name = file.file ?? `${file.team}.rules`;
    return createFailure("invalid-input", `${name}:${rule.line}:1`, message, { path: [name, rule.line, 1] });
}

function checkName(context: OperatorContext, file: CheckedFile, rule: Rule): Failure[] {
    const documents = context.feed.source.current()?.documents ?? [];
    const other = documents
        .filter(document => document.team !== file.team)
        .find(document => document.rules.some(existing => startsTasks(existing) && existing.name === rule.name));
    return other === undefined ? [] : [refuseName(file, rule, other.team)];
}

/** Refuses a rule whose name another team owns. */
export function refuseName(file: CheckedFile, rule: Rule, owner: string): Failure {
    return toFailure(file, rule, `${rule.name} is a rule of team ${owner}; use another name`);
}

function checkFit(file: CheckedFile, rule: TaskRule, workers: readonly WorkerInstance[]): Failure[] {
    const inReach = workers.filter(worker =>
        rule.dataCentres.length === 0 || rule.dataCentres.includes(worker.dataCentre)
    );
    if (inReach.length === 0) {
        const known = [...new Set(workers.map(worker => worker.dataCentre))].sort().join(", ");
        return [toFailure(file, rule, `no worker stands in ${rule.dataCentres.join(", ")}; data centres are ${known}`)];
    }
    const { cores, memoryBytes, accelerators } = rule.resources;
    const fits = inReach.some(({ shape }) =>
        cores <= shape.cores && memoryBytes <= shape.memoryBytes && accelerators <= shape.accelerators
    );
    return fits
        ? []
        : [toFailure(file, rule, `no worker can hold a task of ${rule.name}: ${describeLargest(inReach)}`)];
}

function describeLargest(workers: readonly WorkerInstance[]): string {
    const cores = Math.max(...workers.map(worker => worker.shape.cores));
    const memory = Math.max(...workers.map(worker => worker.shape.memoryBytes));
    const accelerators = Math.max(...workers.map(worker => worker.shape.accelerators));
    return `the most that one has is ${cores} cores, ${memory} bytes of memory, ${accelerators} accelerators`;
}
