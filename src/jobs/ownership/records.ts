/**
 * Records with which instances find each other and the owners of cells.
 */
import * as z from "zod";
import { PeerPort } from "../../core/port.js";

/** All instances watch the keys under this prefix, so it contains only records that change rarely. */
export const DIRECTORY_PREFIX = "/flamingowell/directory/";

/** An instance of the cluster. */
export const Member = z.object({
    instance: z.string(),
    /** Differs with each start of the process. */
    incarnation: z.string(),
    dataCentre: z.string(),
    /** Where other instances connect. */
    host: z.string(),
    port: PeerPort,
    /** Share of a processor. */
    processorShare: z.number(),
});
export type Member = z.infer<typeof Member>;

/** The owner of a cell. */
export const OwnerRecord = z.object({
    cell: z.string(),
    epoch: z.int(),
    instance: z.string(),
    incarnation: z.string(),
    host: z.string(),
    port: PeerPort,
    /** Whether the owner has released the cell, so that any instance may claim it. */
    isReleased: z.boolean(),
    /** Connections from other instances, if the owner has released the cell because of too few. */
    connections: z.int().optional(),
});
export type OwnerRecord = z.infer<typeof OwnerRecord>;

/** Describes a member as the owner of a cell. */
export function describeOwner(
    { host, incarnation, instance, port }: Member,
    cell: string,
    epoch: number,
): OwnerRecord {
    return { cell, epoch, instance, incarnation, host, port, isReleased: false };
}

/** The end of a process's ownership of a cell: it sends no more orders of this or an earlier epoch. */
export const StopRecord = z.object({
    cell: z.string(),
    epoch: z.int(),
    instance: z.string(),
    incarnation: z.string(),
});
export type StopRecord = z.infer<typeof StopRecord>;

/** Report of an instance that cannot reach the owner of a cell. */
export const ReachReport = z.object({
    cell: z.string(),
    instance: z.string(),
    incarnation: z.string(),
    /** Incarnation of the owner. */
    owner: z.string(),
});
export type ReachReport = z.infer<typeof ReachReport>;

/** Prefix of the reports on a cell's owner. Only the owner reads them, so they are not part of the directory that all instances watch. */
export function prefixOfReachReports(cell: string): string {
    return `/flamingowell/unreached/${cell}/`;
}

/** Key of the report that an instance cannot reach the owner of a cell. */
export function keyOfReachReport(cell: string, instance: string): string {
    return `${prefixOfReachReports(cell)}${instance}`;
}

/** Key of a member's record. */
export function keyOfMember(instance: string): string {
    return `${DIRECTORY_PREFIX}members/${instance}`;
}

/** Key of the record that names a cell's owner. */
export function keyOfOwner(cell: string): string {
    return `${DIRECTORY_PREFIX}owners/${cell}`;
}

/** Key of the record of the last time that an instance has stopped being a cell's owner. */
export function keyOfStop(cell: string, instance: string): string {
    return `${DIRECTORY_PREFIX}stops/${cell}/${instance}`;
}
