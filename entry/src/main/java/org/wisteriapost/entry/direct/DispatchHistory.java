package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import org.wisteriapost.protocol.http.ConnectionUse;

/**
 * How the dispatches of a request have ended, for the log line of a request that is
 * refused or fails. The lines of single dispatches are left out under load.
 */
final class DispatchHistory {

	private final List<DirectEvent.DispatchEnded> ended = new ArrayList<>(1);

	void add(DirectEvent.DispatchEnded dispatch) {
		this.ended.add(dispatch);
	}

	/**
	 * Returns the number of a connection and of the call on it, in the form
	 * {@code CONNECTION/CALL}.
	 */
	static String describe(Optional<ConnectionUse> use) {
		return use.map((one) -> one.connection() + "/" + one.call()).orElse("none");
	}

	@Override
	public String toString() {
		return this.ended.stream()
			.map((one) -> one.dispatch() + " " + one.outcome() + " on connection " + describe(one.connection()))
			.collect(Collectors.joining(", "));
	}

}
