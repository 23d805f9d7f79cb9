package org.wisteriapost.protocol.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.client.ClientConnection;

/**
 * A connection and how it has been used. Only the call that uses it or the pool that
 * holds it may change it.
 */
final class PooledConnection {

	private static final AtomicLong LAST_NUMBER = new AtomicLong();

	private final long number = LAST_NUMBER.incrementAndGet();

	private final ClientConnection connection;

	private final ReceivedBytes received;

	private volatile int calls;

	private volatile long idleSinceNanos;

	private volatile long maxIdleNanos;

	private PooledConnection(ClientConnection connection, ReceivedBytes received) {
		this.connection = connection;
		this.received = received;
	}

	/**
	 * Returns a connection that was just established.
	 */
	static PooledConnection of(ClientConnection established, ReceivedBytes received) {
		return new PooledConnection(established, received);
	}

	long number() {
		return this.number;
	}

	ClientConnection connection() {
		return this.connection;
	}

	/**
	 * Records bytes of the body that the call has received.
	 */
	void bodyReceived(int count) {
		this.received.bodyReceived(count);
	}

	/**
	 * Records that a call begins to use it.
	 */
	ConnectionUse beginCall(HttpCall call) {
		this.calls++;
		this.received.beginCall(call);
		return new ConnectionUse(this.number, this.calls);
	}

	/**
	 * Returns whether the response is complete although its head states a body.
	 */
	boolean statedBodyAbsent() {
		return this.received.statedBodyAbsent();
	}

	/**
	 * Ends the response to a call, and returns whether another call may use the
	 * connection.
	 * @throws MalformedResponseException if the response was not complete
	 */
	boolean endResponse() throws MalformedResponseException {
		return this.received.endCall();
	}

	/**
	 * Records that the call that used it has ended.
	 * @param maxIdleMillis how long it may be idle until its next call
	 */
	void endCall(long maxIdleMillis) {
		this.idleSinceNanos = System.nanoTime();
		this.maxIdleNanos = TimeUnit.MILLISECONDS.toNanos(maxIdleMillis);
	}

	/**
	 * Returns whether a call may use it, as long as it is usable.
	 */
	boolean allowedFor(HttpCall call) {
		return call.maxReuseIdle().filter((limit) -> idleNanos() > limit.toNanos()).isEmpty()
				&& call.series().filter((series) -> series.hasUsed(this)).isEmpty();
	}

	boolean usable() {
		return this.connection.isOpen() && idleNanos() < this.maxIdleNanos;
	}

	private long idleNanos() {
		return System.nanoTime() - this.idleSinceNanos;
	}

}
