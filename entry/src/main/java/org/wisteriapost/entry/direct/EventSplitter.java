package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import org.wisteriapost.protocol.http.EventBoundary;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * A failing runner may break off within an event. If the partial event were forwarded,
 * the output of the runner that resumes the stream would be appended to it and corrupt
 * the event.
 */
final class EventSplitter {

	private static final byte[] EMPTY = new byte[0];

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private final EventBoundary boundary = new EventBoundary();

	private final ByteArrayOutputStream remainder = new ByteArrayOutputStream();

	private int eventCount;

	private Optional<String> lastEventId = Optional.empty();

	/**
	 * Appends received bytes and returns everything up to the end of the last complete
	 * event.
	 */
	byte[] completeEvents(byte[] data) {
		this.eventCount = 0;
		int received = this.remainder.size();
		this.remainder.writeBytes(data);
		int end = 0;
		for (int i = 0; i < data.length; i++) {
			if (this.boundary.endsEvent(data[i])) {
				this.eventCount++;
				end = received + i + 1;
			}
		}
		if (end == 0) {
			return EMPTY;
		}
		byte[] all = this.remainder.toByteArray();
		parseIds(all, end);
		this.remainder.reset();
		this.remainder.write(all, end, all.length - end);
		return Arrays.copyOf(all, end);
	}

	/**
	 * Returns how many bytes of an event that is not complete are kept.
	 */
	int remainderBytes() {
		return this.remainder.size();
	}

	/**
	 * Returns whether a stream that ends now has been broken off.
	 */
	boolean withinEvent() {
		return this.boundary.withinEvent();
	}

	/**
	 * Returns the number of events that the last call of {@link #completeEvents}
	 * returned.
	 */
	int eventCount() {
		return this.eventCount;
	}

	/**
	 * Returns the id of the most recent complete event that had one.
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	// Called some hundred times a second, so only the id lines are decoded to strings.
	private void parseIds(byte[] all, int end) {
		int line = 0;
		for (int i = 0; i < end; i++) {
			if (all[i] == '\n') {
				if (startsWithId(all, line, i)) {
					int from = line + ID_FIELD.length;
					this.lastEventId = Optional.of(new String(all, from, i - from, StandardCharsets.UTF_8).trim());
				}
				line = i + 1;
			}
		}
	}

	private static boolean startsWithId(byte[] all, int from, int to) {
		return to - from >= ID_FIELD.length
				&& Arrays.equals(all, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
	}

}
