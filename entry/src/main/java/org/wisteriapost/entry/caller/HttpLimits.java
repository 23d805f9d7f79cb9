package org.wisteriapost.entry.caller;

import java.time.Duration;

import org.wisteriapost.entry.EntrySettings;
import org.wisteriapost.kernel.settings.Settings;

/**
 * Limits that protect callers from each other. Each is a setting.
 *
 * @param maxBodyBytes the size of a request's body
 * @param maxHeaderBytes the size of a request's headers
 * @param maxConnections the number of connections
 * @param maxRequests the number of requests in progress
 * @param defaultDeadline the deadline of a request that does not specify one
 * @param maxDeadline the longest deadline that a request may specify
 * @param bodyTimeout the time for receiving the headers, and again for the body
 * @param maxUnsentBytes the bytes that may be queued for a slow caller
 * @param addressCacheSeconds how long callers may cache the addresses of entries
 */
public record HttpLimits(int maxBodyBytes, int maxHeaderBytes, int maxConnections, int maxRequests,
		Duration defaultDeadline, Duration maxDeadline, Duration bodyTimeout, long maxUnsentBytes,
		long addressCacheSeconds) {

	/**
	 * Returns the limits that are set in the settings.
	 */
	public static HttpLimits of(Settings settings) {
		return new HttpLimits(EntrySettings.MAX_BODY_BYTES.get(settings).intValue(),
				EntrySettings.MAX_HEADER_BYTES.get(settings).intValue(),
				EntrySettings.MAX_CONNECTIONS.get(settings).intValue(),
				EntrySettings.MAX_STREAMS.get(settings).intValue(), EntrySettings.DEFAULT_DEADLINE.get(settings),
				EntrySettings.MAX_DEADLINE.get(settings), EntrySettings.BODY_TIMEOUT.get(settings),
				EntrySettings.MAX_UNSENT_BYTES.get(settings), EntrySettings.KEEP_SECONDS.get(settings));
	}

}
