package org.wisteriapost.entry.process;

import java.util.function.LongSupplier;

/**
 * Makes the part of the state that needs what only the state has.
 */
@FunctionalInterface
interface EntryParts {

	/**
	 * Returns the table of calls.
	 * @param generation of the bundle in force, stamped on each frame
	 */
	Calls calls(LongSupplier generation);

}
