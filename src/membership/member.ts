/**
 * Members: the system's own processes as their peers see them.
 */
import * as z from "zod";
import { Name, Origin, Role } from "../core/messages/identity.js";

/** One process. Its name is `INSTANCE/ROLE`. */
export const Member = z.strictObject({
    instance: Name,
    role: Role,
    dataCentre: Name,
    origin: Origin,
    /** Rises with each start of the process, and when it refutes a suspicion. */
    incarnation: z.int().min(0),
    state: z.enum(["alive", "suspect", "leaving", "dead"]),
    /** Highest revision of the configuration that the member has in force. */
    configurationRevision: z.int().min(0),
});
export type Member = z.infer<typeof Member>;

/** Gives the name under which members are kept. */
export function getMemberName(member: Pick<Member, "instance" | "role">): string {
    return `${member.instance}/${member.role}`;
}

/** What a process knows of its peers. Safety never rests on it. */
export interface MembershipSource {
    /** All members but the process itself. */
    members(): readonly Member[];
    self(): Member;
    /** Calls the listener after each change; the function that it returns ends that. */
    onChange(listener: () => void): () => void;
}
