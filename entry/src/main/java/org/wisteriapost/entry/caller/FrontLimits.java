package org.wisteriapost.entry.caller;

import java.time.Duration;

import org.wisteriapost.entry.EntrySettings;
import org.wisteriapost.kernel.settings.Settings;

/**
 * The limits that hold one caller's harm from the others; each is a setting.
 *
 * @param bodyBytes most bytes in a body
 * @param headerBytes most bytes in a head
 * @param connections most connections
 * @param streams most requests in progress
 * @param defaultDeadline of a request that names none
 * @param maxDeadline the longest that may be named
 * @param bodyTimeout time for a head, and then a body, to come
 * @param unsentBytes most bytes that wait for a slow caller
 * @param keepSeconds how long an address answer may be kept
 */
public record FrontLimits(int bodyBytes, int headerBytes, int connections, int streams, Duration defaultDeadline,
		Duration maxDeadline, Duration bodyTimeout, long unsentBytes, long keepSeconds) {

	/**
	 * Returns the limits in some settings.
	 */
	public static FrontLimits of(Settings settings) {
		return new FrontLimits(EntrySettings.MAX_BODY_BYTES.get(settings).intValue(),
				EntrySettings.MAX_HEADER_BYTES.get(settings).intValue(),
				EntrySettings.MAX_CONNECTIONS.get(settings).intValue(),
				EntrySettings.MAX_STREAMS.get(settings).intValue(), EntrySettings.DEFAULT_DEADLINE.get(settings),
				EntrySettings.MAX_DEADLINE.get(settings), EntrySettings.BODY_TIMEOUT.get(settings),
				EntrySettings.MAX_UNSENT_BYTES.get(settings), EntrySettings.KEEP_SECONDS.get(settings));
	}

}
