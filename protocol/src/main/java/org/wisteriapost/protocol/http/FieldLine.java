package org.wisteriapost.protocol.http;

/**
 * A field of a head or of trailers (RFC 9112, section 5).
 *
 * @param value without the blanks around it
 */
record FieldLine(String name, String value) {

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final char DELETE = 0x7f;

	static FieldLine parse(String line) throws MalformedResponseException {
		int colon = line.indexOf(':');
		if (colon <= 0 || !isToken(line.substring(0, colon))) {
			throw MalformedResponseException.of("field name");
		}
		return new FieldLine(line.substring(0, colon), checkedValue(line.substring(colon + 1)));
	}

	/**
	 * Returns whether a line continues the value of the field before.
	 */
	static boolean isContinuation(String line) {
		return !line.isEmpty() && isBlank(line.charAt(0));
	}

	/**
	 * Checks a line that continues the value of this field.
	 *
	 * With a colon it may as well be a field whose name has got a leading blank, and the
	 * framing of the body may depend on that.
	 */
	void checkContinuation(String line) throws MalformedResponseException {
		if (decidesFraming() || line.indexOf(':') >= 0) {
			throw MalformedResponseException.of("continuation line");
		}
		checkedValue(line);
	}

	boolean isLength() {
		return this.name.equalsIgnoreCase("Content-Length");
	}

	boolean isTransferCoding() {
		return this.name.equalsIgnoreCase("Transfer-Encoding");
	}

	boolean decidesFraming() {
		return isLength() || isTransferCoding();
	}

	/**
	 * Returns whether a text has no control characters other than tabs.
	 */
	static boolean isText(String text) {
		return text.chars().allMatch((next) -> (next >= ' ' && next != DELETE) || next == '\t');
	}

	private static String checkedValue(String value) throws MalformedResponseException {
		if (!isText(value)) {
			throw MalformedResponseException.of("field value");
		}
		int start = 0;
		int end = value.length();
		while (start < end && isBlank(value.charAt(start))) {
			start++;
		}
		while (start < end && isBlank(value.charAt(end - 1))) {
			end--;
		}
		return value.substring(start, end);
	}

	private static boolean isToken(String name) {
		return name.chars()
			.allMatch((next) -> (next >= 'a' && next <= 'z') || (next >= 'A' && next <= 'Z')
					|| (next >= '0' && next <= '9') || TOKEN_SYMBOLS.indexOf(next) >= 0);
	}

	private static boolean isBlank(char next) {
		return next == ' ' || next == '\t';
	}

}
