package org.wisteriapost.protocol.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The first line of a response (RFC 9112, section 4).
 *
 * @param minorVersion of HTTP/1
 */
record StatusLine(int minorVersion, int status) {

	private static final Pattern SYNTAX = Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9]{2}) (.*)", Pattern.DOTALL);

	private static final int MIN_FINAL_STATUS = 200;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	static StatusLine parse(String line) throws MalformedResponseException {
		Matcher matcher = SYNTAX.matcher(line);
		if (!matcher.matches() || !FieldLine.isText(matcher.group(3))) {
			throw MalformedResponseException.of("status line");
		}
		return new StatusLine(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)));
	}

	/**
	 * Returns whether the response follows only later.
	 */
	boolean interim() {
		return this.status < MIN_FINAL_STATUS;
	}

	/**
	 * Returns whether a response with this status never has a body.
	 */
	boolean withoutBody() {
		return interim() || this.status == NO_CONTENT || this.status == NOT_MODIFIED;
	}

}
