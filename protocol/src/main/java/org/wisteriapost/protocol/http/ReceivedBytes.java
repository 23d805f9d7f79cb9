package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds what is read from a connection, and has it checked. Confined to its I/O thread.
 *
 * A server may send bytes without an end. In a status line, a header, interim responses,
 * the framing of chunks or trailers they never reach the listener of a call, so that
 * nothing else would end them; and while they arrive as fast as they are read, the I/O
 * thread would do nothing else and run no timer.
 */
final class ReceivedBytes extends AbstractStreamSourceConduit<StreamSourceConduit> {

	// Of the status line, the headers and the trailers of a response.
	private static final long MAX_HEAD_BYTES = 64 * 1024;

	// A chunk of one byte has five bytes of framing, but large responses do not come in
	// such chunks.
	private static final long MAX_SMALL_CHUNK_FRAMING_BYTES = 1 << 20;

	private static final long MAX_FRAMING_PER_BODY_BYTE = 8;

	private static final long BODY_BYTES_PER_FRAMING_BYTE = 4;

	// Read in some ten microseconds, after which other connections and timers have
	// their turn.
	private static final int MAX_BYTES_PER_TURN = 64 * 1024;

	// Any of them show that the server has sent more than the response.
	private static final int SURPLUS_BYTES = 16;

	private final ResponseValidator validator = new ResponseValidator();

	private int remainingInTurn = MAX_BYTES_PER_TURN;

	private long received;

	private long body;

	ReceivedBytes(StreamSourceConduit next) {
		super(next);
	}

	/**
	 * Begins the response to another call.
	 */
	void beginCall(HttpCall call) {
		this.received = 0;
		this.body = 0;
		this.validator.begin(call.method());
	}

	/**
	 * Records bytes of the body that the call has received.
	 */
	void bodyReceived(int count) {
		this.body += count;
	}

	/**
	 * Returns whether the response is complete although its head states a body.
	 */
	boolean statedBodyAbsent() {
		return this.validator.statedBodyAbsent();
	}

	/**
	 * Ends the response to a call, and returns whether the connection may be used for
	 * another one: the server has sent nothing else and has not closed it.
	 * @throws MalformedResponseException if the response was not complete
	 */
	boolean endCall() throws MalformedResponseException {
		ByteBuffer behind = ByteBuffer.allocate(SURPLUS_BYTES);
		boolean open = readBehindEnd(behind);
		this.validator.received(behind.flip());
		this.validator.checkComplete();
		return open && !this.validator.hasSurplus();
	}

	private boolean readBehindEnd(ByteBuffer target) {
		try {
			return super.read(target) >= 0;
		}
		catch (IOException ex) {
			// The connection ended after the response.
			return false;
		}
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		if (endsTurn()) {
			return 0;
		}
		int start = target.position();
		int bytes = (int) count(super.read(target));
		validate(target, start);
		return bytes;
	}

	@Override
	public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
		for (ByteBuffer target : Arrays.asList(targets).subList(offset, offset + length)) {
			if (target.hasRemaining()) {
				return read(target);
			}
		}
		return 0;
	}

	private void validate(ByteBuffer target, int start) throws MalformedResponseException {
		this.validator.received(target.duplicate().flip().position(start));
	}

	// The connection remains readable, so the I/O thread continues it after the others.
	private boolean endsTurn() {
		if (this.remainingInTurn > 0) {
			return false;
		}
		this.remainingInTurn = MAX_BYTES_PER_TURN;
		return true;
	}

	private long count(long bytes) throws IOException {
		if (bytes <= 0) {
			this.remainingInTurn = MAX_BYTES_PER_TURN;
			return bytes;
		}
		this.remainingInTurn -= (int) bytes;
		this.received += bytes;
		if (this.received - this.body > MAX_HEAD_BYTES + maxFramingBytes()) {
			throw new IOException("too many bytes of a response outside its body: " + (this.received - this.body));
		}
		return bytes;
	}

	private long maxFramingBytes() {
		return Math.min(MAX_SMALL_CHUNK_FRAMING_BYTES, MAX_FRAMING_PER_BODY_BYTE * this.body)
				+ this.body / BODY_BYTES_PER_FRAMING_BYTE;
	}

}
