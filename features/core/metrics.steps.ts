/**
 * Steps for the page of metrics.
 */
import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";

const PAGE = "docs/operators/metrics.md";
const NAME_IN_CODE = /"((?:flamingowell|scheduler)_[a-z_]+)"/g;
const NAME_ON_PAGE = /^\| `((?:flamingowell|scheduler)_[a-z_]+)`/gm;

Then("the metrics of the code and those of the page are the same", async () => {
    const files = (await readdir("src", { recursive: true })).filter(file => file.endsWith(".ts"));
    const texts = await Promise.all(files.map(file => readFile(join("src", file), "utf8")));
    const inCode = new Set(texts.flatMap(text => findNames(text, NAME_IN_CODE)));
    const onPage = new Set(findNames(await readFile(PAGE, "utf8"), NAME_ON_PAGE));
    assert.ok(inCode.size > 0, "the code names no metric");
    assert.deepEqual([...onPage].sort(), [...inCode].sort());
});

function findNames(text: string, pattern: RegExp): string[] {
    return [...text.matchAll(pattern)].flatMap(([, name]) => name === undefined ? [] : [name]);
}
