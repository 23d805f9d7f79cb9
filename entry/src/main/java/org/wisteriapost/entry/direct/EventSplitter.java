package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

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

	private final ByteArrayOutputStream remainder = new ByteArrayOutputStream();

	private int eventCount;

	private Optional<String> lastEventId = Optional.empty();

	/**
	 * Appends received bytes and returns everything up to the end of the last complete
	 * event.
	 */
	byte[] completeEvents(byte[] data) {
		this.remainder.writeBytes(data);
		byte[] all = this.remainder.toByteArray();
		this.eventCount = 0;
		int start = 0;
		int end = endOfEvent(all, start);
		while (end > 0) {
			parseEvent(all, start, end);
			start = end;
			end = endOfEvent(all, start);
		}
		if (start == 0) {
			return EMPTY;
		}
		this.remainder.reset();
		this.remainder.write(all, start, all.length - start);
		return Arrays.copyOf(all, start);
	}

	/**
	 * Returns the bytes after the last complete event.
	 */
	byte[] remainder() {
		return this.remainder.toByteArray();
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

	// An event ends with an empty line; lines end with LF or CRLF.
	private static int endOfEvent(byte[] all, int from) {
		for (int i = from; i + 1 < all.length; i++) {
			if (all[i] != '\n') {
				continue;
			}
			if (all[i + 1] == '\n') {
				return i + 2;
			}
			if (all[i + 1] == '\r' && i + 2 < all.length && all[i + 2] == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	// Called some hundred times a second, so only the id line is decoded to a string.
	private void parseEvent(byte[] all, int start, int end) {
		this.eventCount++;
		int line = start;
		for (int i = start; i < end; i++) {
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
