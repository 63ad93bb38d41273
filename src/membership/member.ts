/**
 * Members: the state of gateway and scheduler processes as seen by their peers.
 */
import * as z from "zod";
import { Name, Origin, Role } from "../core/messages/identity.js";

/** State of one process, which is named `INSTANCE/ROLE`. */
export const Member = z.strictObject({
    instance: Name,
    role: Role,
    dataCentre: Name,
    origin: Origin,
    /** Increases with each start of the process and each refuted suspicion. */
    incarnation: z.int().min(0),
    state: z.enum(["alive", "suspect", "leaving", "dead"]),
    /** Highest revision of the configuration that the member has in force. */
    configurationRevision: z.int().min(0),
});
export type Member = z.infer<typeof Member>;

/** Returns the name of a member, `INSTANCE/ROLE`. */
export function getMemberName(member: Pick<Member, "instance" | "role">): string {
    return `${member.instance}/${member.role}`;
}

/** The members as seen by this process. Safety doesn't depend on this view. */
export interface MembershipSource {
    /** Returns all members except this process. */
    members(): readonly Member[];
    self(): Member;
    /** Calls the listener after each change; returns a function that unsubscribes it. */
    onChange(listener: () => void): () => void;
}
