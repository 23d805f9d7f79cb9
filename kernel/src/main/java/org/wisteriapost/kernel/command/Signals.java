package org.wisteriapost.kernel.command;

import sun.misc.Signal;

/**
 * Handlers for operating system signals that do not terminate the process.
 */
public final class Signals {

	private Signals() {
	}

	/**
	 * Runs a task on a thread of the Java runtime each time the signal arrives.
	 * @param name without the prefix SIG, for example {@code HUP}
	 */
	public static void on(String name, Runnable task) {
		Signal.handle(new Signal(name), (signal) -> task.run());
	}

}
