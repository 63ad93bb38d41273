/**
 * Ports of peers, apart from the servers so that a process without these does not load them.
 */
import * as z from "zod";

/** Port of a peer. Opening a connection to a number out of range throws. */
export const PeerPort = z.int().min(1).max(65_535);
