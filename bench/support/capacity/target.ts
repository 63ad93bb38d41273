/**
 * The size that the system is to reach in two years, and what the platform gives.
 */

/** Sizes of the target. */
export const target = {
    workers: 25_000,
    runningTasks: 270_000,
    startsPerSecond: 6_400,
    dataCentres: 20,
    configurationChangesPerDay: 21_000,
    workersPerCell: 128,
} as const;

/** What a node may spend for control. */
export const nodeLimits = { coreShare: 0.047, residentBytes: 128 * 1_024 * 1_024, bytesPerSecond: 14 * 1_024 } as const;

/** What the store takes today; its rates grow more slowly than the fleet. */
export const storeLimits = { writesPerSecond: 600, readsPerSecond: 2_000 } as const;
