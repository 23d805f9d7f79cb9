package org.wisteriapost.protocol.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decides whether the bytes that a server sends are a well-formed response, for all who
 * read responses. Confined to the connection's I/O thread.
 *
 * The HTTP library takes the first of several lengths, takes a body of an unknown
 * transfer coding as it is, and passes over much in chunk sizes and trailers. Of a
 * response that was damaged there the caller would get a part of the body, or the framing
 * as its body, as a complete response. The bytes are checked before the library has them,
 * so that nothing of a malformed head is believed.
 */
final class ResponseValidator {

	private static final int MAX_LINE_BYTES = 64 * 1024;

	// The size does not overflow; an extension does not change the framing.
	private static final Pattern CHUNK_SIZE = Pattern.compile("0*([0-9a-fA-F]{1,15})(?:[ \t]*;.*)?", Pattern.DOTALL);

	private static final int HEXADECIMAL = 16;

	private static final byte[] NEXT_RESPONSE = "HTTP/".getBytes(StandardCharsets.US_ASCII);

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final List<FieldLine> framingFields = new ArrayList<>();

	private Part part = Part.COMPLETE;

	private String method = "";

	private boolean lineEnds;

	private Optional<StatusLine> statusLine = Optional.empty();

	private Optional<FieldLine> lastField = Optional.empty();

	private long remaining;

	private boolean statedBodyAbsent;

	private int surplus;

	/**
	 * Begins the response to a request.
	 */
	void begin(String method) {
		this.method = method;
		this.line.reset();
		this.lineEnds = false;
		this.statedBodyAbsent = false;
		this.surplus = 0;
		beginHead();
	}

	private void beginHead() {
		this.part = Part.STATUS_LINE;
		this.framingFields.clear();
		this.lastField = Optional.empty();
	}

	/**
	 * Checks the next bytes, all that remain in the buffer.
	 */
	void received(ByteBuffer bytes) throws MalformedResponseException {
		while (bytes.hasRemaining()) {
			switch (this.part) {
				case BODY, CHUNK -> skip(bytes);
				case BODY_UNTIL_CLOSE -> bytes.position(bytes.limit());
				case COMPLETE -> receivedBehindEnd(bytes.get());
				case STATUS_LINE, FIELDS, CHUNK_SIZE, CHUNK_END, TRAILERS -> receivedOfLine(bytes.get());
			}
		}
	}

	/**
	 * Checks that the response is complete, if the connection ends now.
	 */
	void checkComplete() throws MalformedResponseException {
		boolean ended = this.part == Part.COMPLETE || this.part == Part.BODY_UNTIL_CLOSE;
		if (!ended || (hasSurplus() && this.surplus < NEXT_RESPONSE.length)) {
			throw MalformedResponseException.of("its end");
		}
	}

	/**
	 * Returns whether the response is complete although its head states a body that the
	 * library waits for.
	 */
	boolean statedBodyAbsent() {
		return this.statedBodyAbsent;
	}

	/**
	 * Returns whether the server has sent more than the response.
	 */
	boolean hasSurplus() {
		return this.surplus > 0;
	}

	private void skip(ByteBuffer bytes) {
		int count = (int) Math.min(this.remaining, bytes.remaining());
		bytes.position(bytes.position() + count);
		this.remaining -= count;
		if (this.remaining == 0) {
			this.part = (this.part == Part.CHUNK) ? Part.CHUNK_END : Part.COMPLETE;
		}
	}

	// A response that comes twice is complete the first time. Other bytes may be the rest
	// of a body whose length was damaged.
	private void receivedBehindEnd(byte next) throws MalformedResponseException {
		if (this.surplus < NEXT_RESPONSE.length && next != NEXT_RESPONSE[this.surplus]) {
			throw MalformedResponseException.of("bytes behind its end");
		}
		this.surplus = Math.min(this.surplus + 1, NEXT_RESPONSE.length);
	}

	private void receivedOfLine(byte next) throws MalformedResponseException {
		if (this.lineEnds != (next == '\n') || this.line.size() >= MAX_LINE_BYTES) {
			throw MalformedResponseException.of("line end");
		}
		if (next == '\r') {
			this.lineEnds = true;
		}
		else if (next != '\n') {
			this.line.write(next);
		}
		else {
			this.lineEnds = false;
			String text = this.line.toString(StandardCharsets.ISO_8859_1);
			this.line.reset();
			endLine(text);
		}
	}

	private void endLine(String text) throws MalformedResponseException {
		switch (this.part) {
			case STATUS_LINE -> {
				this.statusLine = Optional.of(StatusLine.parse(text));
				this.part = Part.FIELDS;
			}
			case FIELDS -> field(text);
			case CHUNK_SIZE -> chunkSize(text);
			case CHUNK_END -> {
				if (!text.isEmpty()) {
					throw MalformedResponseException.of("chunk end");
				}
				this.part = Part.CHUNK_SIZE;
			}
			case TRAILERS -> trailer(text);
			case BODY, BODY_UNTIL_CLOSE, CHUNK, COMPLETE -> throw new IllegalStateException("no line expected");
		}
	}

	private void field(String text) throws MalformedResponseException {
		if (text.isEmpty()) {
			endHead();
			return;
		}
		FieldLine field = readField(text);
		if (field.decidesFraming()) {
			this.framingFields.add(field);
		}
	}

	private FieldLine readField(String text) throws MalformedResponseException {
		if (FieldLine.isContinuation(text) && this.lastField.isPresent()) {
			this.lastField.get().checkContinuation(text);
		}
		else {
			this.lastField = Optional.of(FieldLine.parse(text));
		}
		return this.lastField.get();
	}

	private void endHead() throws MalformedResponseException {
		StatusLine status = this.statusLine.orElseThrow();
		BodyFraming framing = BodyFraming.of(status, this.framingFields);
		this.lastField = Optional.empty();
		if (status.interim()) {
			beginHead();
		}
		else if (this.method.equals("HEAD")) {
			this.part = Part.COMPLETE;
		}
		else if (status.withoutBody()) {
			this.statedBodyAbsent = framing.statesBytes();
			this.part = Part.COMPLETE;
		}
		else {
			beginBody(framing);
		}
	}

	private void beginBody(BodyFraming framing) {
		switch (framing) {
			case BodyFraming.Length(long bytes) -> {
				this.remaining = bytes;
				this.part = (bytes > 0) ? Part.BODY : Part.COMPLETE;
			}
			case BodyFraming.Chunked() -> this.part = Part.CHUNK_SIZE;
			case BodyFraming.UntilClose() -> this.part = Part.BODY_UNTIL_CLOSE;
		}
	}

	private void chunkSize(String text) throws MalformedResponseException {
		Matcher matcher = CHUNK_SIZE.matcher(text);
		if (!matcher.matches() || !FieldLine.isText(text)) {
			throw MalformedResponseException.of("chunk size");
		}
		this.remaining = Long.parseLong(matcher.group(1), HEXADECIMAL);
		this.part = (this.remaining > 0) ? Part.CHUNK : Part.TRAILERS;
	}

	private void trailer(String text) throws MalformedResponseException {
		if (text.isEmpty()) {
			this.part = Part.COMPLETE;
		}
		else if (readField(text).decidesFraming()) {
			throw MalformedResponseException.of("framing in trailers");
		}
	}

	/** What the next byte belongs to. */
	private enum Part {

		STATUS_LINE, FIELDS, BODY, BODY_UNTIL_CLOSE, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, COMPLETE

	}

}
