package org.wisteriapost.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Collects findings so that all problems of an input are reported at once.
 */
public final class Findings {

	private static final Code INPUT_REJECTED = Code.error("input-rejected",
			"A settings or bundle file has findings and nothing was started.");

	private final List<Finding> list = new ArrayList<>();

	public void add(Code code, Location location, String problem, String advice) {
		this.list.add(new Finding(code, location, problem, advice));
	}

	/**
	 * Appends the findings of another collection.
	 */
	public void addAll(Findings other) {
		this.list.addAll(other.list);
	}

	public boolean isEmpty() {
		return this.list.isEmpty();
	}

	/**
	 * Returns an unmodifiable copy, in the order of insertion.
	 */
	public List<Finding> list() {
		return List.copyOf(this.list);
	}

	/**
	 * Throws one exception that lists all findings; does nothing when there are none.
	 */
	public void throwIfAny() {
		if (!this.list.isEmpty()) {
			throw CodedException.of(INPUT_REJECTED,
					this.list.stream().map(Finding::toString).collect(Collectors.joining("\n", "\n", "")));
		}
	}

}
