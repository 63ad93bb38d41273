/**
 * Queue of operators' commands, each of which is answered after its commit.
 */
import type { Ledger } from "../ledger/ledger.js";

/** A change requested by an operator, applied in the owner's loop. */
export type Command = (ledger: Ledger, now: number) => void;

/** Commands of one cell. */
export interface CommandQueue {
    /** Resolves to whether the command was committed. */
    push(command: Command): Promise<boolean>;
    /** Applies the waiting commands to the draft; their promises stay pending until the commit. */
    apply(ledger: Ledger, now: number): void;
    /** Resolves all applied commands to true, after a commit of the draft. */
    settleCommitted(): void;
    /** Resolves all commands to false, when no more drafts will be committed. */
    settleUncommitted(): void;
}

interface WaitingCommand {
    readonly command: Command;
    readonly settle: (committed: boolean) => void;
}

/** Creates an empty queue. */
export function createCommandQueue(): CommandQueue {
    const waiting: WaitingCommand[] = [];
    // The draft keeps its changes when a commit fails, so the next one that succeeds settles these too.
    const applied: WaitingCommand[] = [];
    return {
        push: command =>
            new Promise(settle => {
                waiting.push({ command, settle });
            }),
        apply(ledger, now) {
            const commands = waiting.splice(0);
            commands.forEach(({ command }) => command(ledger, now));
            applied.push(...commands);
        },
        settleCommitted() {
            applied.splice(0).forEach(({ settle }) => settle(true));
        },
        settleUncommitted() {
            [...applied.splice(0), ...waiting.splice(0)].forEach(({ settle }) => settle(false));
        },
    };
}
