/**
 * Entry of a stand-in worker in the store: renewed with each heartbeat, and removed after three intervals of silence.
 */
import { HOST } from "./http.js";
import type { Store } from "./store.js";

const MILLICORES = 32_000;
const MEMORY_MEGABYTES = 128_000;
const HEARTBEAT_MILLISECONDS = 1_100;
const EXPIRY_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;

/** Options of a registration. */
export interface RegistrationOptions {
    readonly id: string;
    readonly pool: string;
    readonly store: Store;
    readonly describe: () => { readonly port: number; readonly born: number; };
    readonly isCut: () => boolean;
}

/** A registration. */
export interface Registration {
    readonly begin: () => void;
    readonly stop: () => void;
}

/** Creates a registration; `begin` writes the entry. */
export function createRegistration({ describe, id, isCut, pool, store }: RegistrationOptions): Registration {
    let heartbeat: NodeJS.Timeout | undefined;
    let expiry: NodeJS.Timeout | undefined;
    let sequence = 0;
    const register = (): void => {
        if (isCut()) {
            return;
        }
        const { born, port } = describe();
        store.write(`servers/${id}`, {
            service: pool,
            address: `${HOST}:${port}`,
            zone: "jawa-barat",
            version: "1",
            slots: 8,
            state: "ready",
            coldLeftMs: 0,
            sequence: sequence++,
            born,
            capacity: { cpu: MILLICORES, memMb: MEMORY_MEGABYTES, gpu: 0 },
            labels: ["a", "r1-1"],
        });
        clearTimeout(expiry);
        expiry = setTimeout(() => store.remove(`servers/${id}`), EXPIRY_MILLISECONDS);
    };
    return {
        begin() {
            sequence = 0;
            register();
            heartbeat = setInterval(register, HEARTBEAT_MILLISECONDS);
        },
        stop: () => clearInterval(heartbeat),
    };
}
