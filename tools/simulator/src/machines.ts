/** The product's own cores under virtual time, one module a role. */
export { AccessMachine, type AccessHooks, type ClientSight } from "./machines/access-machine.js";
export { ControlMachine, isHeadOf } from "./machines/control-machine.js";
export { zoneNamed, type MachineShape, type Setting } from "./machines/shape.js";
export { StorageMachine } from "./machines/storage-machine.js";
