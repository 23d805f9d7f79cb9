package org.wisteriapost.standin.bench;

import java.io.PrintStream;
import java.util.List;

/**
 * One measurement; registers with the service loader.
 */
public interface Experiment {

	/**
	 * Returns the first word that chooses it.
	 */
	String name();

	/**
	 * Returns one line for {@code --help}.
	 */
	String summary();

	/**
	 * Runs it and returns the process's exit code.
	 * @param args what stands after the name
	 */
	int run(List<String> args, PrintStream out, PrintStream err) throws Exception;

}
