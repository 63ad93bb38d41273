/**
 * Teams and their rules files.
 */
import { basename } from "node:path";

/** Gives the team that a file's name stands for: `shop/rental-desk.rules` is `rental-desk`. */
export function teamOfFile(file: string): string {
    return basename(file).replace(/\.[a-z]+$/, "");
}
