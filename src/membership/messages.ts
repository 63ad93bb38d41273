/**
 * Messages of the membership.
 */
import * as z from "zod";
import { Origin } from "../core/messages/identity.js";
import { defineMethod } from "../core/method.js";
import { Member } from "./member.js";

const heartbeat = {
    /** The sender as it is. */
    self: Member,
    /** What the sender passes on of others, and what it believes of the receiver where that is not `alive`. */
    changes: z.array(Member),
};

/** Asks a peer whether it lives; both ends exchange changes. */
export const probePeer = defineMethod("membership.probe", z.strictObject(heartbeat), z.strictObject(heartbeat));

/** Asks a peer to probe another one, which the asker could not reach. */
export const probeForPeer = defineMethod(
    "membership.probe-for",
    z.strictObject({ target: Origin }),
    /** The target as it answered; absent where it did not. */
    z.strictObject({ target: Member.optional() }),
);
