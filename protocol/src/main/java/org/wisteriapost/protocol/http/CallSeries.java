package org.wisteriapost.protocol.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Calls whose responses bear the same identification, such as the repetitions of a
 * request. No two of them use the same connection.
 *
 * A server may send a response a second time, when the next one is due on that
 * connection. What the response says of itself then doesn't tell to which of the calls it
 * belongs, and a rejection of an earlier call would count as one of a call that runs.
 */
public final class CallSeries {

	// By the number of the connection.
	private final Set<Long> connections = ConcurrentHashMap.newKeySet();

	private CallSeries() {
	}

	/**
	 * Creates a series without calls.
	 */
	public static CallSeries create() {
		return new CallSeries();
	}

	boolean hasUsed(PooledConnection connection) {
		return this.connections.contains(connection.number());
	}

	void add(ConnectionUse use) {
		this.connections.add(use.connection());
	}

}
