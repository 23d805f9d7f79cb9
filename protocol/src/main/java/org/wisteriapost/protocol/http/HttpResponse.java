package org.wisteriapost.protocol.http;

import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers by lower-case name
 * @param body the complete body
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

	/**
	 * Returns a header by its case-insensitive name.
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name.toLowerCase(java.util.Locale.ROOT)));
	}

}
