/**
 * Changes that operators have asked for, waiting for the commit that carries them out.
 */
import type { Ledger } from "../ledger/ledger.js";

/** A change that an operator has asked for; carried out by the cell's own task. */
export type Command = (ledger: Ledger, now: number) => void;

/** Commands of one cell. */
export interface CommandQueue {
    /** Resolves once the command is committed; false where it was not. */
    push(command: Command): Promise<boolean>;
    /** Carries out what waits; the commands wait on for their commit. */
    apply(ledger: Ledger, now: number): void;
    /** The draft that contains the commands carried out so far has been committed. */
    settleCommitted(): void;
    /** No draft is going to be committed any more. */
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
