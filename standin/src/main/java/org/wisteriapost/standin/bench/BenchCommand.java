package org.wisteriapost.standin.bench;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.ParseException;

/**
 * A benchmark of {@code scripts/bench}, found by the service loader.
 */
public interface BenchCommand {

	/**
	 * Returns the name on the command line.
	 */
	String name();

	/**
	 * Returns a one-line description for the usage text.
	 */
	String summary();

	/**
	 * Runs the benchmark and returns the exit code.
	 * @param args the arguments after the name
	 * @param out receives the results, one JSON line each
	 */
	int run(List<String> args, PrintStream out) throws ParseException;

}
