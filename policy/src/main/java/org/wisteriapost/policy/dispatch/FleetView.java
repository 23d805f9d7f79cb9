package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.Map;

import org.wisteriapost.policy.fleet.RunnerInfo;

/**
 * What an entry believes of the runners, for telling others.
 */
public final class FleetView {

	private final RunnerBook book;

	private final String place;

	FleetView(RunnerBook book, String place) {
		this.book = book;
		this.place = place;
	}

	/**
	 * Returns what this entry has at each runner.
	 */
	public List<RunnerLoad> ownLoad() {
		return this.book.states()
			.stream()
			.map((state) -> new RunnerLoad(state.info.id(), state.info.start(), state.own))
			.toList();
	}

	/**
	 * Returns what this entry and those that tell it their own part have at each runner.
	 */
	public List<RunnerLoad> nearLoad(long nowNanos) {
		return this.book.states()
			.stream()
			.map((state) -> new RunnerLoad(state.info.id(), state.info.start(), state.nearTotal(nowNanos)))
			.toList();
	}

	/**
	 * Returns what the agents of this place have said last of their engines, by address.
	 */
	public Map<String, EngineWord> nearWords() {
		return this.book.words(this.place);
	}

	/**
	 * Returns the runners that are believed to be there.
	 */
	public List<RunnerInfo> known() {
		return this.book.states().stream().map((state) -> state.info).toList();
	}

}
