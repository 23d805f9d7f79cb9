package org.wisteriapost.protocol.http;

import java.util.Map;

/**
 * Finds the ends of the events in a stream of server-sent events. An event ends with an
 * empty line; lines end with LF or CRLF. Additional empty lines between events belong to
 * none.
 */
public final class EventBoundary {

	private static final String MEDIA_TYPE = "text/event-stream";

	private boolean withinEvent;

	private boolean lineEmpty = true;

	/**
	 * Returns whether a response is a stream of server-sent events.
	 * @param headers by lower-case name
	 */
	public static boolean isEventStream(Map<String, String> headers) {
		String type = headers.getOrDefault("content-type", "");
		return type.regionMatches(true, 0, MEDIA_TYPE, 0, MEDIA_TYPE.length());
	}

	/**
	 * Reads the next byte and returns whether an event ends with it.
	 */
	public boolean endsEvent(byte next) {
		if (next == '\r') {
			return false;
		}
		if (next != '\n') {
			this.withinEvent = true;
			this.lineEmpty = false;
			return false;
		}
		boolean ends = this.withinEvent && this.lineEmpty;
		this.lineEmpty = true;
		this.withinEvent &= !ends;
		return ends;
	}

	/**
	 * Reads the next bytes.
	 */
	public void read(byte[] data) {
		for (byte next : data) {
			endsEvent(next);
		}
	}

	/**
	 * Returns whether a stream that ends now has been broken off.
	 */
	public boolean withinEvent() {
		return this.withinEvent;
	}

}
