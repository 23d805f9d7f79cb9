package org.wisteriapost.protocol.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.undertow.client.ClientResponse;

/**
 * The head of a response.
 *
 * @param status the status
 * @param headers the first value of each header, by lower-case name
 * @param all every header in order, with its name as received
 */
record ResponseHead(int status, Map<String, String> headers, List<Map.Entry<String, String>> all) {

	private static final int MIN_FINAL_STATUS = 200;

	// More digits than these are no timeout.
	private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,9})");

	static ResponseHead of(ClientResponse response) {
		Map<String, String> headers = new HashMap<>();
		List<Map.Entry<String, String>> all = new ArrayList<>();
		response.getResponseHeaders().forEach((header) -> {
			String name = header.getHeaderName().toString();
			headers.put(name.toLowerCase(Locale.ROOT), header.getFirst());
			header.forEach((value) -> all.add(Map.entry(name, value)));
		});
		return new ResponseHead(response.getResponseCode(), headers, all);
	}

	/**
	 * Returns whether the response follows only later. The library skips 100 and takes
	 * the others for the response.
	 */
	boolean interim() {
		return this.status < MIN_FINAL_STATUS;
	}

	/**
	 * Returns how long the connection may be idle before it is used again: half of the
	 * server's Keep-Alive timeout, since it is unknown whether a request has run when the
	 * server closes the connection while the request is in transit.
	 */
	long maxIdleMillis() {
		Matcher seconds = KEEP_ALIVE_SECONDS.matcher(this.headers.getOrDefault("keep-alive", ""));
		if (!seconds.find()) {
			return ConnectionPool.DEFAULT_MAX_IDLE_MILLIS;
		}
		long serverMillis = TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.group(1)));
		return Math.min(ConnectionPool.MAX_IDLE_MILLIS, serverMillis / 2);
	}

}
