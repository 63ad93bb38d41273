/**
 * Real processes for demos, tests and benches: start, wait until they listen, pause, kill, stop.
 */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { createInterface } from "node:readline";

const READY_LIMIT_MILLISECONDS = 60_000;
const TICKS_PER_SECOND = 100;
/** Place of user time among the fields that follow the process's name; system time comes next. */
const USER_TICKS_FIELD = 11;

/** What to start. */
export interface ProcessOptions {
    /** Name of the process; its settings and log files carry it. */
    readonly name: string;
    /** Compiled script, from the repository's root. */
    readonly script: string;
    readonly settings: object;
    /** Folder for settings and logs. */
    readonly directory: string;
    /** Flags of Node.js, such as a heap limit. */
    readonly nodeFlags?: readonly string[];
}

/** A process that has announced where it listens. */
export interface RunningProcess {
    readonly name: string;
    readonly pid: number;
    /** Origins by port name. */
    readonly announcement: Readonly<Record<string, string>>;
    /** Exit code, or the signal that ended it. */
    readonly exited: Promise<number | NodeJS.Signals>;
    kill(): Promise<void>;
    pause(): void;
    resume(): void;
    /** Asks for a graceful stop and gives the exit code. */
    stop(): Promise<number | NodeJS.Signals>;
}

/** Starts a process; rejects when it ends or stays silent before it listens. */
export async function startProcess(options: ProcessOptions): Promise<RunningProcess> {
    const settingsFile = join(options.directory, `${options.name}.json`);
    await writeFile(settingsFile, JSON.stringify(options.settings, undefined, 4));
    const child = spawn(
        process.execPath,
        [...options.nodeFlags ?? [], options.script, "--settings", settingsFile],
        { stdio: ["ignore", "pipe", "pipe"] },
    );
    child.stderr.pipe(createWriteStream(join(options.directory, `${options.name}.log`), { flags: "a" }));
    const exited = waitForExit(child);
    const announcement = await waitForAnnouncement(child, exited, options);
    return {
        name: options.name,
        pid: child.pid ?? 0,
        announcement,
        exited,
        kill: async () => {
            child.kill("SIGKILL");
            await exited;
        },
        pause: () => child.kill("SIGSTOP"),
        resume: () => child.kill("SIGCONT"),
        stop: () => {
            child.kill("SIGTERM");
            return exited;
        },
    };
}

async function waitForExit(child: ChildProcess): Promise<number | NodeJS.Signals> {
    const [code, signal] = await once(child, "exit") as [number | null, NodeJS.Signals | null];
    return code ?? signal ?? 0;
}

async function waitForAnnouncement(
    child: ChildProcess,
    exited: Promise<number | NodeJS.Signals>,
    options: ProcessOptions,
): Promise<Record<string, string>> {
    const { stdout } = child;
    if (stdout === null) {
        throw new Error(`${options.name}: no standard output`);
    }
    const lines = createInterface({ input: stdout });
    const limit = AbortSignal.timeout(READY_LIMIT_MILLISECONDS);
    try {
        const line = await Promise.race([
            once(lines, "line", { signal: limit }),
            exited.then(code => {
                throw new Error(`${options.name}: ended with ${code} before it listened`);
            }),
        ]);
        return JSON.parse(String(line[0])) as Record<string, string>;
    }
    catch (thrown) {
        const usage = await describeUsage(child);
        child.kill("SIGKILL");
        if (limit.aborted) {
            throw new Error(`${options.name}: did not listen within ${READY_LIMIT_MILLISECONDS} ms (${usage})`);
        }
        throw thrown;
    }
}

/** Tells a process that waits for something from one that gets no processor time (Linux). */
async function describeUsage(child: ChildProcess): Promise<string> {
    try {
        const stat = await readFile(`/proc/${child.pid ?? 0}/stat`, "utf8");
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1]);
        return `state ${fields[0] ?? "?"}, ${ticks / TICKS_PER_SECOND} s of processor time`;
    }
    catch {
        return "usage unknown";
    }
}
