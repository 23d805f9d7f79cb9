package org.wisteriapost.kernel.command;

import java.io.PrintStream;
import java.util.List;

/**
 * One command of the binary; registers with the service loader.
 */
public interface Command {

	/**
	 * Returns the words that choose it, for example {@code bundle roll}.
	 */
	String name();

	/**
	 * Returns one line for {@code --help}.
	 */
	String summary();

	/**
	 * Runs it and returns when it has ended.
	 * @param args what stands after the name
	 * @return one of {@link ExitCodes}
	 */
	int run(List<String> args, PrintStream out, PrintStream err);

}
