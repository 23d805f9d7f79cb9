package org.wisteriapost.kernel;

/**
 * One thing wrong with an operator's input, with where it is and what to write instead.
 *
 * @param code what kind of problem it is
 * @param location where it is
 * @param problem what is wrong, with the offending value
 * @param advice what to write instead
 */
public record Finding(Code code, Location location, String problem, String advice) {

	@Override
	public String toString() {
		return "%s: %s: %s; %s".formatted(this.location, this.code.name(), this.problem, this.advice);
	}

}
