#!/usr/bin/env node
/**
 * The operators' client.
 */
import { readFile } from "node:fs/promises";
import { userInfo } from "node:os";
import { runClient } from "../client/client.js";
import { systemClock } from "../core/time.js";

const interrupted = new AbortController();
process.once("SIGINT", () => interrupted.abort());
process.exitCode = await runClient({
    args: process.argv.slice(2),
    clock: systemClock,
    signal: interrupted.signal,
    user: userInfo().username,
    readFile: path => readFile(path, "utf8"),
    print: line => process.stdout.write(`${line}\n`),
    note: line => process.stderr.write(`${line}\n`),
});
