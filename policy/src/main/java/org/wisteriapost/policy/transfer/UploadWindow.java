package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Limits how many parts of chunks may be in flight from this VM. Used by one thread.
 *
 * When the VM's link has far less capacity than declared and a dozen peers fetch from it,
 * parts queue on it for seconds, and what the engine on the same VM answers queues behind
 * them. Uploads therefore yield by the delay that they cause.
 *
 * A peer acknowledges a part by the request for what follows. Since the link is a queue,
 * that also acknowledges all parts sent before it, whichever peers they went to. So
 * neither a peer that is slow to ask nor one that asks for nothing more counts as a full
 * link while any other peer asks in time.
 */
public final class UploadWindow {

	// Two parts take some milliseconds of a link of the declared capacity, and at most
	// half a second of one with a tenth of it.
	private static final int INITIAL_SIZE = 2;

	// On a link of the declared capacity one or two parts are unacknowledged. What is in
	// flight when the link becomes narrow can't be taken back.
	private static final int MAX_SIZE = 8;

	// A part not acknowledged by then has been given up by its peer, or nobody asks for
	// what follows.
	private static final long EXPIRY_NANOS = Duration.ofSeconds(1).toNanos();

	private final DelayWindow window = new DelayWindow(INITIAL_SIZE, MAX_SIZE);

	// In send order.
	private final Deque<Sent> inFlight = new ArrayDeque<>();

	private boolean limited;

	private long pausedUntilNanos = Long.MIN_VALUE / 2;

	private UploadWindow() {
	}

	/**
	 * Returns a window without parts in flight.
	 */
	public static UploadWindow create() {
		return new UploadWindow();
	}

	/**
	 * Returns whether one more part may be sent.
	 * @param sending the number of parts that are about to be sent
	 */
	public boolean isOpen(int sending, long nowNanos) {
		while (!this.inFlight.isEmpty() && nowNanos - this.inFlight.peekFirst().sentNanos >= EXPIRY_NANOS) {
			this.inFlight.pollFirst();
			this.window.recordLoss();
		}
		boolean open = sending + this.inFlight.size() < this.window.size() && nowNanos >= this.pausedUntilNanos;
		this.limited |= !open;
		return open;
	}

	/**
	 * Returns when a closed window may open without a request or another event: when a
	 * pause ends or a part in flight counts as lost.
	 */
	public OptionalLong opensNanos(long nowNanos) {
		if (nowNanos < this.pausedUntilNanos) {
			return OptionalLong.of(this.pausedUntilNanos);
		}
		return this.inFlight.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(this.inFlight.peekFirst().sentNanos + EXPIRY_NANOS);
	}

	/**
	 * Records that the last byte of a part was sent.
	 */
	public void sent(Part part, long nowNanos) {
		this.inFlight.addLast(new Sent(part, nowNanos));
	}

	/**
	 * Records that a peer requests the part that begins at an offset of a chunk. It has
	 * received the one that ends there. After the last part of a chunk any request of the
	 * peer acknowledges it.
	 */
	public void requested(Object peer, String file, int chunk, int offset, long nowNanos) {
		latest((part) -> part.endsAt(peer, file, chunk, offset))
			.or(() -> latest((part) -> part.last && part.peer.equals(peer)))
			.ifPresent((acknowledged) -> acknowledge(acknowledged, nowNanos));
	}

	private Optional<Sent> latest(Predicate<Part> matches) {
		return this.inFlight.reversed().stream().filter((sent) -> matches.test(sent.part)).findFirst();
	}

	private void acknowledge(Sent latest, long nowNanos) {
		Iterator<Sent> parts = this.inFlight.iterator();
		Sent part;
		do {
			part = parts.next();
			parts.remove();
		}
		while (part != latest);
		long delay = nowNanos - latest.sentNanos;
		// A window that limits nothing does not grow: it would let a burst out when the
		// link becomes narrow.
		if (this.limited || !DelayWindow.isSmall(delay)) {
			this.window.recordDelay(delay, nowNanos);
		}
		this.limited = false;
		// Where a single part in flight causes too much delay, the link must be idle in
		// between for what has queued up behind that part.
		if (this.window.isMinimal() && !DelayWindow.isAcceptable(delay)) {
			this.pausedUntilNanos = nowNanos + delay;
		}
	}

	/**
	 * Removes the parts sent to a peer that has disconnected.
	 */
	public void removePeer(Object peer) {
		this.inFlight.removeIf((sent) -> sent.part.peer.equals(peer));
	}

	/**
	 * A part of a chunk.
	 *
	 * @param peer the peer that it is sent to
	 * @param file the digest of the file
	 * @param chunk the index of the chunk
	 * @param end the offset of the first byte after the part
	 * @param last whether it is the last part of the chunk
	 */
	public record Part(Object peer, String file, int chunk, int end, boolean last) {

		private boolean endsAt(Object requester, String requestedFile, int requestedChunk, int offset) {
			return this.peer.equals(requester) && this.chunk == requestedChunk && this.end == offset
					&& this.file.equals(requestedFile);
		}

	}

	private record Sent(Part part, long sentNanos) {
	}

}
