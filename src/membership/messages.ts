/**
 * Messages of the membership.
 */
import * as z from "zod";
import { Origin } from "../core/messages/identity.js";
import { defineMethod } from "../core/method.js";
import { Member } from "./member.js";

const heartbeat = {
    /** Current state of the sender. */
    self: Member,
    /** Changes of other members, and the receiver's state as seen by the sender if that is not `alive`. */
    changes: z.array(Member),
};

/** Probes a peer; both sides exchange membership changes. */
export const probePeer = defineMethod("membership.probe", z.strictObject(heartbeat), z.strictObject(heartbeat));

/** Asks a peer to probe a target that the sender could not reach. */
export const probeForPeer = defineMethod(
    "membership.probe-for",
    z.strictObject({ target: Origin }),
    /** State in the target's answer; absent without an answer. */
    z.strictObject({ target: Member.optional() }),
);
