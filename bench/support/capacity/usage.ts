/**
 * Processor time and memory of a process, as the operating system counts them (Linux).
 */
import { readFile } from "node:fs/promises";

const TICKS_PER_SECOND = 100;
const BYTES_PER_KIBIBYTE = 1_024;
/** Places of user and system time among the fields that follow the process's name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What a process has used. */
export interface ProcessUsage {
    /** Processor time since its start. */
    readonly processorSeconds: number;
    readonly residentBytes: number;
}

/** Reads the usage of a process. */
export async function readUsage(pid: number): Promise<ProcessUsage> {
    const stat = await readFile(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    const kibibytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
    return { processorSeconds: ticks / TICKS_PER_SECOND, residentBytes: kibibytes * BYTES_PER_KIBIBYTE };
}
