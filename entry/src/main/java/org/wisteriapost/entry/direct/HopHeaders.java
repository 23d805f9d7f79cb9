package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The headers that concern one connection only and are not handed on.
 */
final class HopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopHeaders() {
	}

	static boolean contains(String lowerCaseName) {
		return NAMES.contains(lowerCaseName);
	}

	/**
	 * Returns the lower-case names that a Connection header lists.
	 */
	static List<String> listed(Iterable<String> connection) {
		List<String> names = new ArrayList<>();
		connection.forEach((value) -> {
			for (String name : value.split(",")) {
				names.add(name.trim().toLowerCase(Locale.ROOT));
			}
		});
		return names;
	}

}
