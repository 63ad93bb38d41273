/**
 * Steps for the checker, on logs written by hand.
 */
import { Before, Given, Then } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { judgeAll } from "../../bench/support/checker/index.js";
import type { OperatorRecord, Verdict } from "../../bench/support/checker/index.js";
import type { CallRecord } from "../../bench/support/load.js";
import { WorkerRecord } from "../../stand-ins/worker/index.js";

interface CheckerWorld {
    calls: CallRecord[];
    workers: WorkerRecord[];
    operators: OperatorRecord[];
    endedAt: number;
}

const CALL_DEFAULTS = {
    service: "check",
    key: "k",
    method: "GET",
    call: "",
    gateway: "http://gateway",
    dueAt: 0,
    sentAt: 0,
    endedAt: 1,
    outcome: "answered",
    status: 200,
    detail: "",
} as const;

const WORKER_DEFAULTS = {
    incarnation: "1",
    slots: 8,
    cores: 1,
    memoryBytes: 1,
    accelerators: 0,
    connections: 64,
    taskId: "task",
    attempt: 1,
    rule: "rule",
    kind: "batch",
    cell: "cell",
    epoch: 1,
    owner: "owner",
    resumedProgress: 0,
    progress: 0,
    checkpointed: false,
    state: "stopped",
    service: "check",
    requestId: "",
    call: "",
    run: 0,
    method: "GET",
    path: "/",
    idempotencyKey: "",
    gateway: "g-1",
    deadline: 0,
    outcome: "answered",
    reason: "",
    open: 64,
};

/** Sizes of a worker whose row does not give them. */
const LARGE_SHAPE = { cores: 1_000, memoryBytes: 1_000 };

Before({ name: "an empty set of logs" }, function(this: CheckerWorld) {
    this.calls = [];
    this.workers = [];
    this.operators = [];
    this.endedAt = 1_000_000;
});

Given("the callers wrote", function(this: CheckerWorld, table: DataTable) {
    this.calls.push(...readRows(table).map(row => ({ ...CALL_DEFAULTS, wire: String(row["call"]), ...row })));
});

Given("the workers wrote", function(this: CheckerWorld, table: DataTable) {
    const rows = readRows(table).map(row => ({
        ...WORKER_DEFAULTS,
        ...(row["event"] === "worker" ? LARGE_SHAPE : {}),
        ...row,
    }));
    this.workers.push(...rows.map(row => WorkerRecord.parse(row)));
});

Given("the operators wrote", function(this: CheckerWorld, table: DataTable) {
    this.operators.push(...readRows(table).map(row => row as unknown as OperatorRecord));
});

Given("the run ended at {int}", function(this: CheckerWorld, endedAt: number) {
    this.endedAt = endedAt;
});

Then("{string} has {int} opportunity/opportunities and {int} violation(s)", function(
    this: CheckerWorld,
    promise: string,
    opportunities: number,
    violations: number,
) {
    judge(this, promise, opportunities, violations);
});

Then("{string} has {int} opportunity/opportunities and {int} violation(s) naming {string}", function(
    this: CheckerWorld,
    promise: string,
    opportunities: number,
    violations: number,
    text: string,
) {
    const found = judge(this, promise, opportunities, violations);
    assert.ok(found.some(violation => violation.includes(text)), found.join("\n"));
});

Then("{string} has {int} excused event(s) naming {string}", function(
    this: CheckerWorld,
    promise: string,
    count: number,
    text: string,
) {
    const { excused } = findVerdict(this, promise);
    assert.equal(excused.length, count, excused.join("\n"));
    assert.ok(excused.every(each => each.includes(text)), excused.join("\n"));
});

function judge(world: CheckerWorld, promise: string, opportunities: number, violations: number): readonly string[] {
    const verdict = findVerdict(world, promise);
    assert.deepEqual(
        [verdict.opportunities, verdict.violations.length],
        [opportunities, violations],
        verdict.violations.join("\n"),
    );
    return verdict.violations;
}

function findVerdict(world: CheckerWorld, promise: string): Verdict {
    const verdicts = judgeAll({ ...world, exclusiveServices: ["check"] });
    const verdict = verdicts.find(each => each.promise === promise);
    assert.ok(verdict !== undefined, `no promise is named ${promise}`);
    return verdict;
}

function readRows(table: DataTable): Record<string, string | number | boolean>[] {
    return table.hashes().map(row =>
        Object.fromEntries(
            Object.entries(row).filter(([, cell]) => cell !== "").map(([name, cell]) => [name, readCell(cell)]),
        )
    );
}

function readCell(cell: string): string | number | boolean {
    if (cell === "true" || cell === "false") {
        return cell === "true";
    }
    return /^[\d.]+$/.test(cell) ? Number(cell) : cell;
}
