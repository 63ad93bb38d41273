/**
 * Messages for the exchange of rules between peers.
 */
import * as z from "zod";
import { Name, Origin } from "../core/messages/identity.js";
import { defineMethod } from "../core/method.js";
import { RevisedRecord } from "./record.js";

/** Records that a process has: every record up to `complete`, and the revisions `beyond` it. */
export const Digest = z.strictObject({ complete: z.int().min(0), beyond: z.array(z.int().min(1)) });
export type Digest = z.infer<typeof Digest>;

/**
 * Reads the records that are missing from the requester's digest. The answer includes the peer's own digest and whether
 * the peer is `informed`, which is false until it has read the rules itself.
 */
export const readConfiguration = defineMethod(
    "configuration.read",
    Digest,
    z.strictObject({ informed: z.boolean(), digest: Digest, records: z.array(RevisedRecord) }),
);

/** Announces the sender's digest and the origin from which the records can be read. */
export const announceConfiguration = defineMethod(
    "configuration.announce",
    z.strictObject({ origin: Origin, digest: Digest }),
    z.strictObject({}),
);

/** Reads the revisions of a team's rules and of the whole configuration in force on a peer. */
export const readRevisionsInForce = defineMethod(
    "configuration.reach",
    z.strictObject({ team: Name }),
    z.strictObject({ revision: z.int().min(0), configurationRevision: z.int().min(0) }),
);
