/**
 * Wire format of the store: the JSON gateway of the etcd v3 API (keys and values in base64, 64-bit numbers as text).
 *
 * Source: https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
 */
import * as z from "zod";

/** Paths of the methods in use. */
export const etcdPaths = {
    range: "/v3/kv/range",
    txn: "/v3/kv/txn",
    leaseGrant: "/v3/lease/grant",
    leaseKeepAlive: "/v3/lease/keepalive",
    leaseRevoke: "/v3/lease/revoke",
    watch: "/v3/watch",
} as const;

const NumberText = z.union([z.string(), z.number()]).transform(Number);

export const EtcdHeader = z.object({ revision: NumberText.default(0) });

export const EtcdKeyValue = z.object({
    key: z.string(),
    value: z.string().default(""),
    create_revision: NumberText.default(0),
    mod_revision: NumberText.default(0),
    version: NumberText.default(0),
    lease: z.string().default(""),
});
export type EtcdKeyValue = z.infer<typeof EtcdKeyValue>;

export const EtcdRangeAnswer = z.object({
    header: EtcdHeader,
    kvs: z.array(EtcdKeyValue).default([]),
    more: z.boolean().default(false),
});

export const EtcdTransactionAnswer = z.object({
    header: EtcdHeader,
    succeeded: z.boolean().default(false),
    responses: z.array(z.object({ response_range: z.object({ kvs: z.array(EtcdKeyValue).default([]) }).optional() }))
        .default([]),
});

export const EtcdLeaseAnswer = z.object({ ID: z.string().default(""), TTL: NumberText.default(0) });

export const EtcdKeepAliveAnswer = z.object({ result: EtcdLeaseAnswer });

export const EtcdError = z.object({ code: z.number().default(2), message: z.string().default("unknown error") });

export const EtcdWatchAnswer = z.object({
    result: z.object({
        header: EtcdHeader,
        created: z.boolean().default(false),
        canceled: z.boolean().default(false),
        compact_revision: NumberText.optional(),
        events: z.array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: EtcdKeyValue })).default([]),
    }),
});

/** gRPC status codes that tell that a call had no effect. */
export const etcdStatus = { invalidArgument: 3, notFound: 5, resourceExhausted: 8, outOfRange: 11 } as const;

/** Encodes text as base64. */
export function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes base64 to text. */
export function decodeText(encoded: string): string {
    return Buffer.from(encoded, "base64").toString("utf8");
}

/** Gives the end of the range that holds every key with a prefix: the prefix with its last byte raised by one. */
export function endOfPrefix(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    const last = bytes.length - 1;
    bytes.writeUInt8(bytes.readUInt8(last) + 1, last);
    return bytes.toString("utf8");
}
