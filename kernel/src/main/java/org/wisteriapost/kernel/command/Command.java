package org.wisteriapost.kernel.command;

import java.io.PrintStream;
import java.util.List;

/**
 * Command of the binary; implementations are registered with the service loader.
 */
public interface Command {

	/**
	 * Returns the words that select the command, for example {@code bundle roll}.
	 */
	String name();

	/**
	 * Returns the line that {@code --help} prints for the command.
	 */
	String summary();

	/**
	 * Runs the command to completion.
	 * @param args the arguments after the name
	 * @return one of {@link ExitCodes}
	 */
	int run(List<String> args, PrintStream out, PrintStream err);

}
