package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events after whole events.
 *
 * A runner that fails stops anywhere. Were half of an event passed on, the run that goes
 * on elsewhere would be joined to it and the caller would read one event made of two.
 */
final class EventSplitter {

	private static final byte[] NONE = new byte[0];

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

	private int events;

	private Optional<String> lastId = Optional.empty();

	/**
	 * Takes bytes and returns those up to the end of the last whole event.
	 */
	byte[] whole(byte[] data) {
		this.rest.writeBytes(data);
		byte[] all = this.rest.toByteArray();
		this.events = 0;
		int start = 0;
		int end = next(all, start);
		while (end > 0) {
			event(all, start, end);
			start = end;
			end = next(all, start);
		}
		if (start == 0) {
			return NONE;
		}
		this.rest.reset();
		this.rest.write(all, start, all.length - start);
		return Arrays.copyOf(all, start);
	}

	/**
	 * Returns what came after the last whole event.
	 */
	byte[] rest() {
		return this.rest.toByteArray();
	}

	/**
	 * Returns how many events the last call returned.
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns the id of the last event, of all that came so far.
	 */
	Optional<String> lastId() {
		return this.lastId;
	}

	// An event ends with an empty line; lines end with LF or CR LF.
	private static int next(byte[] all, int from) {
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

	// Some hundred times a second, so only the line of the id becomes a string.
	private void event(byte[] all, int start, int end) {
		this.events++;
		int line = start;
		for (int i = start; i < end; i++) {
			if (all[i] == '\n') {
				if (startsWithId(all, line, i)) {
					int from = line + ID.length;
					this.lastId = Optional.of(new String(all, from, i - from, StandardCharsets.UTF_8).trim());
				}
				line = i + 1;
			}
		}
	}

	private static boolean startsWithId(byte[] all, int from, int to) {
		return to - from >= ID.length && Arrays.equals(all, from, from + ID.length, ID, 0, ID.length);
	}

}
