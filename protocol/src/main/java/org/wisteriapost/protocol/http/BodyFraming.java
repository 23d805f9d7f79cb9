package org.wisteriapost.protocol.http;

import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Where the body of a response ends (RFC 9112, section 6.3).
 */
sealed interface BodyFraming {

	/** Digits of a length that does not overflow, beside leading zeros. */
	Pattern LENGTH_SYNTAX = Pattern.compile("0*[0-9]{1,18}");

	/**
	 * Returns the framing that a head states, if there is a body.
	 * @param fields those that decide the framing
	 */
	static BodyFraming of(StatusLine statusLine, List<FieldLine> fields) throws MalformedResponseException {
		List<String> codings = fields.stream().filter(FieldLine::isTransferCoding).map(FieldLine::value).toList();
		OptionalLong length = length(fields.stream().filter(FieldLine::isLength).map(FieldLine::value).toList());
		if (!codings.isEmpty()) {
			checkCodings(codings, statusLine, length);
			return new Chunked();
		}
		return length.isPresent() ? new Length(length.getAsLong()) : new UntilClose();
	}

	/**
	 * Returns whether it states that bytes follow.
	 */
	default boolean statesBytes() {
		return switch (this) {
			case Length(long bytes) -> bytes > 0;
			case Chunked() -> true;
			case UntilClose() -> false;
		};
	}

	// No other coding is asked for in requests.
	private static void checkCodings(List<String> codings, StatusLine statusLine, OptionalLong length)
			throws MalformedResponseException {
		if (codings.size() > 1 || !codings.getFirst().equalsIgnoreCase("chunked")) {
			throw MalformedResponseException.of("transfer coding");
		}
		if (length.isPresent()) {
			throw MalformedResponseException.of("content length and transfer coding");
		}
		if (statusLine.minorVersion() == 0) {
			throw MalformedResponseException.of("transfer coding in HTTP/1.0");
		}
	}

	private static OptionalLong length(List<String> values) throws MalformedResponseException {
		if (values.isEmpty()) {
			return OptionalLong.empty();
		}
		if (!values.stream().allMatch((value) -> LENGTH_SYNTAX.matcher(value).matches())) {
			throw MalformedResponseException.of("content length");
		}
		if (values.stream().mapToLong(Long::parseLong).distinct().count() > 1) {
			throw MalformedResponseException.of("different content lengths");
		}
		return OptionalLong.of(Long.parseLong(values.getFirst()));
	}

	/** After a number of bytes. */
	record Length(long bytes) implements BodyFraming {
	}

	/** After the last chunk and the trailers. */
	record Chunked() implements BodyFraming {
	}

	/** With the connection. */
	record UntilClose() implements BodyFraming {
	}

}
