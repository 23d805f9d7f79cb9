package org.wisteriapost.standin;

import java.util.Deque;
import java.util.Map;
import java.util.Optional;

import io.undertow.util.HeaderMap;

/**
 * One whole request to a stand-in.
 *
 * @param method GET, PUT, ...
 * @param path decoded, from the first slash
 * @param query parameters, decoded
 * @param headers in any case
 * @param body all of it
 */
record Request(String method, String path, Map<String, Deque<String>> query, HeaderMap headers, byte[] body) {

	Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.getFirst(name));
	}

	Optional<String> parameter(String name) {
		return Optional.ofNullable(this.query.get(name)).map(Deque::peekFirst);
	}

	String after(String prefix) {
		return this.path.substring(prefix.length());
	}

	boolean is(String wanted, String prefix) {
		return this.method.equals(wanted) && this.path.startsWith(prefix);
	}

}
