/**
 * Settings that both daemons share.
 */
import { z } from "zod";
import { ConfigurationSettings } from "../configuration/settings.js";
import { ListenAddress } from "../core/http.js";
import { Name, Origin } from "../core/messages/identity.js";
import { MembershipSettings } from "../membership/settings.js";

const DEFAULT_STORE_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_PEER_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_STOP_LIMIT_MILLISECONDS = 20_000;

/** Keys of both daemons' settings files. */
export const commonSettings = {
    /** Name of the entry instance. */
    instance: Name,
    dataCentre: Name,
    store: z.strictObject({
        origins: z.array(Origin).min(1),
        timeoutMilliseconds: z.int().min(1).default(DEFAULT_STORE_TIMEOUT_MILLISECONDS),
    }),
    instanceList: z.strictObject({
        origin: Origin,
        timeoutMilliseconds: z.int().min(1).default(DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS),
    }),
    /** Port for peers: JSON-RPC under the peer token. */
    peers: ListenAddress,
    /** Origin under which peers reach this process; by default where it listens. */
    advertisedOrigin: Origin.optional(),
    /** Port for `/metrics`, `/live` and `/ready`. */
    metrics: ListenAddress,
    /** Shared secret of the system's own processes. */
    peerToken: z.string().min(8),
    /** Time within which a peer has to answer. */
    peerTimeoutMilliseconds: z.int().min(1).default(DEFAULT_PEER_TIMEOUT_MILLISECONDS),
    /** Longest time that a graceful stop may take. */
    stopLimitMilliseconds: z.int().min(0).default(DEFAULT_STOP_LIMIT_MILLISECONDS),
    membership: MembershipSettings.prefault({}),
    configuration: ConfigurationSettings.prefault({}),
};
