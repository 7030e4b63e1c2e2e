/** Classes of thrown errors; expected failures are returned as outcomes instead (docs/design.md §11). */
import ModernError from "modern-errors";

/** Base class of the errors that chutewick throws. */
export const BaseError = ModernError.subclass("BaseError");
/** A violated invariant, which stops the process. */
export const InvariantError = BaseError.subclass("InvariantError");
/** A daemon could not start. */
export const StartError = BaseError.subclass("StartError");
