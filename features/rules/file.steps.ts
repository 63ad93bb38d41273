/**
 * Steps for the text of rules files.
 */
import { Given, Then } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { safeParseRules } from "../../src/rules/parse.js";
import type { ParsedRules } from "../../src/rules/parse.js";
import { printRules } from "../../src/rules/print.js";
import type { Rule } from "../../src/rules/rule.js";
import { arbitraryRules, arbitraryText } from "./arbitrary.js";

const SEED = 20_261_204;

interface FileWorld {
    parsed: ParsedRules;
}

Given("a rules file:", function(this: FileWorld, text: string) {
    this.parsed = safeParseRules(text, { team: "rental-desk" });
});

Then("it has {int} rules", function(this: FileWorld, count: number) {
    assert.equal(rulesOf(this.parsed).length, count);
});

Then(
    "rule {int} is a service on line {int} that {string} asked for and that ends before {string}",
    function(this: FileWorld, position: number, line: number, requester: string, end: string) {
        const rule = rulesOf(this.parsed)[position - 1];
        assert.equal(rule?.kind, "service");
        assert.equal(rule.line, line);
        assert.equal(rule.requester, requester);
        assert.equal(rule.end.untilMilliseconds, Date.parse(end));
        assert.deepEqual(rule.exclusive, { source: "path", segment: 0 });
        assert.deepEqual(rule.dataCentres, ["rovaniemi", "levi"]);
    },
);

Then("rule {int} runs at {string} in {string}", function(
    this: FileWorld,
    position: number,
    expression: string,
    timeZone: string,
) {
    const rule = rulesOf(this.parsed)[position - 1];
    assert.equal(rule?.kind, "batch");
    assert.deepEqual(rule.schedule, { expression, timeZone });
});

Then("the errors are:", function(this: FileWorld, table: DataTable) {
    assert.ok(!this.parsed.success, "the file was accepted");
    const places = this.parsed.failures.map(failure => ({ path: failure.path, message: failure.message }));
    for (const { line, column, text } of table.hashes()) {
        const found = places.some(({ path, message }) =>
            path?.[1] === Number(line) && path[2] === Number(column) && message.includes(text ?? "")
        );
        assert.ok(found, `${line}:${column} ${text} is not among ${JSON.stringify(places, undefined, 1)}`);
    }
    const surplus = places.filter(({ path }) => !table.hashes().some(({ line }) => path?.[1] === Number(line)));
    assert.deepEqual(surplus, []);
});

Then("{int} arbitrary files are read without a crash", (runs: number) => {
    let accepted = 0;
    fastCheck.assert(
        fastCheck.property(arbitraryText, text => {
            const parsed = safeParseRules(text, { team: "any" });
            accepted += parsed.success && parsed.rules.length > 0 ? 1 : 0;
            if (parsed.success) {
                assert.deepEqual(withoutLines(rulesOf(safeParseRules(printRules(parsed.rules), { team: "any" }))), [
                    ...withoutLines(parsed.rules),
                ]);
            }
        }),
        { seed: SEED, numRuns: runs },
    );
    assert.ok(accepted > 0, "none of the files was accepted, so that printing was not tried");
});

Then("{int} arbitrary sound files print and parse back to themselves", (runs: number) => {
    fastCheck.assert(
        fastCheck.property(arbitraryRules, rules => {
            const parsed = safeParseRules(printRules(rules), { team: "any" });
            assert.deepEqual(rulesOf(parsed), rules);
        }),
        { seed: SEED, numRuns: runs },
    );
});

function rulesOf(parsed: ParsedRules): Rule[] {
    assert.ok(parsed.success, parsed.success ? "" : parsed.failures.map(failure => failure.message).join("\n"));
    return parsed.rules;
}

function withoutLines(rules: readonly Rule[]): object[] {
    return rules.map(({ line, ...rule }) => {
        assert.ok(line >= 1);
        return rule;
    });
}
