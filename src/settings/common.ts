/**
 * Settings that both daemons share.
 */
import * as z from "zod";
import { ConfigurationSettings } from "../configuration/settings.js";
import { PeerTlsSettings } from "../core/certificates.js";
import { ListenAddress } from "../core/http.js";
import { Name, Origin } from "../core/messages/identity.js";
import { MembershipSettings } from "../membership/settings.js";

const DEFAULT_STORE_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_INSTANCE_LIST_FRESH_MILLISECONDS = 900;
const DEFAULT_PEER_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_STOP_LIMIT_MILLISECONDS = 20_000;

/** Keys of both daemons' settings files. */
export const commonSettings = {
    /** Name of the entry instance. */
    instance: Name,
    /** Data centre in which the instance stands. */
    dataCentre: Name,
    store: z.strictObject({
        /** Origins of the store; a call that certainly had no effect at one is tried at the next. */
        origins: z.array(Origin).min(1),
        /** Time within which the store has to answer. */
        timeoutMilliseconds: z.int().min(1).default(DEFAULT_STORE_TIMEOUT_MILLISECONDS),
    }),
    instanceList: z.strictObject({
        /** Origin of the platform's instance list. */
        origin: Origin,
        /** Time within which the list has to be read. */
        timeoutMilliseconds: z.int().min(1).default(DEFAULT_PLATFORM_TIMEOUT_MILLISECONDS),
        /** Parts of a process that want the list again within this time get the one that was read last. */
        freshMilliseconds: z.int().min(0).default(DEFAULT_INSTANCE_LIST_FRESH_MILLISECONDS),
    }),
    /** Certificates of the peers' and operators' ports and of connections to peers; without them all speak plain HTTP. */
    tls: PeerTlsSettings.optional(),
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
