/**
 * Names and addresses of the system's own processes and of the platform's workers.
 */
import * as z from "zod";

/** Name of an instance, data centre, rule, team or feature: lower-case words joined by hyphens. */
export const Name = z.string().regex(/^[a-z0-9]+(?:[-.][a-z0-9]+)*$/, "use lower-case letters, digits and hyphens").max(
    80,
);
export type Name = z.infer<typeof Name>;

/** The daemons of an entry instance. */
export const Role = z.enum(["gateway", "scheduler"]);
export type Role = z.infer<typeof Role>;

/** Origin of an HTTP endpoint, such as `http://127.0.0.1:7000`. */
export const Origin = z.string().regex(/^https?:\/\/[^/\s]+$/, "use http://ADDRESS:PORT without a path");
export type Origin = z.infer<typeof Origin>;
