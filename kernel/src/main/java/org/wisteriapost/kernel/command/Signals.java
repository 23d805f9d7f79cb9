package org.wisteriapost.kernel.command;

import sun.misc.Signal;

/**
 * Signals of the operating system that a process answers other than by ending.
 */
public final class Signals {

	private Signals() {
	}

	/**
	 * Runs a task at each signal, on a thread of the virtual machine's own.
	 * @param name without its SIG, for example {@code HUP}
	 */
	public static void on(String name, Runnable task) {
		Signal.handle(new Signal(name), (signal) -> task.run());
	}

}
