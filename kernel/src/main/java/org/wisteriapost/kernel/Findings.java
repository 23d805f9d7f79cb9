package org.wisteriapost.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Collects findings so that all of them are reported together.
 */
public final class Findings {

	private static final Code INPUT_REJECTED = Code.error("input-rejected",
			"A settings or bundle file has findings and nothing was started.");

	private final List<Finding> list = new ArrayList<>();

	/**
	 * Adds one finding.
	 */
	public void add(Code code, Location location, String problem, String advice) {
		this.list.add(new Finding(code, location, problem, advice));
	}

	/**
	 * Adds all findings of another collection.
	 */
	public void addAll(Findings other) {
		this.list.addAll(other.list);
	}

	public boolean isEmpty() {
		return this.list.isEmpty();
	}

	/**
	 * Returns the findings in the order they were found.
	 */
	public List<Finding> list() {
		return List.copyOf(this.list);
	}

	/**
	 * Throws one failure that names every finding, unless there is none.
	 */
	public void throwIfAny() {
		if (!this.list.isEmpty()) {
			throw CodedException.of(INPUT_REJECTED,
					this.list.stream().map(Finding::toString).collect(Collectors.joining("\n", "\n", "")));
		}
	}

}
