package org.wisteriapost.standin;

import java.util.Deque;
import java.util.Map;
import java.util.Optional;

import io.undertow.util.HeaderMap;

/**
 * A fully received request.
 *
 * @param method GET, PUT, ...
 * @param path decoded, with the leading slash
 * @param query decoded parameters
 * @param headers case-insensitive
 * @param body the complete body
 */
record Request(String method, String path, Map<String, Deque<String>> query, HeaderMap headers, byte[] body) {

	Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.getFirst(name));
	}

	Optional<String> parameter(String name) {
		return Optional.ofNullable(this.query.get(name)).map(Deque::peekFirst);
	}

	String pathAfter(String prefix) {
		return this.path.substring(prefix.length());
	}

	boolean matches(String expectedMethod, String prefix) {
		return this.method.equals(expectedMethod) && this.path.startsWith(prefix);
	}

}
