/**
 * What a process uses, as Linux counts it.
 */
import { readFileSync } from "node:fs";

/** Clock ticks of `/proc/PID/stat` in a second. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIBIBYTE = 1_024;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Use of one process since its start, and its memory now. */
export interface ProcessUse {
    readonly atMilliseconds: number;
    readonly processorSeconds: number;
    readonly residentBytes: number;
    /** Bytes read and written by system calls; for a daemon without files nearly all of them on sockets. */
    readonly transferredBytes: number;
}

/** Reads the use of a process. */
export function readProcessUse(pid: number): ProcessUse {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    const transfers = readFileSync(`/proc/${pid}/io`, "utf8");
    return {
        atMilliseconds: performance.now(),
        processorSeconds: ticks / TICKS_PER_SECOND,
        residentBytes: readField(readFileSync(`/proc/${pid}/status`, "utf8"), "VmRSS") * BYTES_PER_KIBIBYTE,
        transferredBytes: readField(transfers, "rchar") + readField(transfers, "wchar"),
    };
}

function readField(text: string, name: string): number {
    return Number(new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text)?.[1]);
}
