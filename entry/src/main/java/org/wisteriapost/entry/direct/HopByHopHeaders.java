package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * HTTP headers that apply to a single connection and are not forwarded.
 */
final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopByHopHeaders() {
	}

	static boolean contains(String lowerCaseName) {
		return NAMES.contains(lowerCaseName);
	}

	/**
	 * Returns the header names that Connection headers list, in lower case.
	 */
	static List<String> connectionOptions(Iterable<String> connection) {
		List<String> names = new ArrayList<>();
		connection.forEach((value) -> {
			for (String name : value.split(",")) {
				names.add(name.trim().toLowerCase(Locale.ROOT));
			}
		});
		return names;
	}

}
