package org.wisteriapost.kernel;

/**
 * Problem in a settings or bundle file.
 *
 * @param code the kind of problem
 * @param location its position in the file
 * @param problem the description, with the offending value
 * @param advice the suggested correction
 */
public record Finding(Code code, Location location, String problem, String advice) {

	@Override
	public String toString() {
		return "%s: %s: %s; %s".formatted(this.location, this.code.name(), this.problem, this.advice);
	}

}
