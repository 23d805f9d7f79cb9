package org.wisteriapost.standin.sim;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs the events of a simulation in the order of their virtual time. Events of the same
 * time run in the order in which they were scheduled.
 */
public final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private long nowNanos;

	private long lastSequence;

	/**
	 * Returns the virtual time.
	 */
	public long nowNanos() {
		return this.nowNanos;
	}

	/**
	 * Schedules an event.
	 * @param delayNanos the time from now to the event
	 */
	public void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, ++this.lastSequence, action));
	}

	/**
	 * Runs the events up to a virtual time, including those that they schedule.
	 */
	public void runUntil(long limitNanos) {
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= limitNanos) {
			Event event = this.events.poll();
			this.nowNanos = event.atNanos();
			event.action().run();
		}
	}

	private record Event(long atNanos, long sequence, Runnable action) {
	}

}
