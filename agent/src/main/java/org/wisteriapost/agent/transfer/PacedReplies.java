package org.wisteriapost.agent.transfer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.wisteriapost.policy.transfer.PartSize;
import org.wisteriapost.policy.transfer.TokenBucket;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Sends chunks in parts, by turns and no faster than the share of the link allows. Used
 * by the transfer's thread alone.
 *
 * Load: live answers go out on the same narrow link while several peers fetch. Harm
 * prevented: a chunk of 32 KB sent at once holds up every event behind it for 50 ms on a
 * link of 5 Mbit/s, and three of them that reach one peer at once hold up its requests
 * for 150 ms. Parts by turns fill the same share of the link, each holding it for a few
 * milliseconds.
 */
final class PacedReplies {

	// Makes up for the pauses of a timer, and no more.
	private static final double BURST_SECONDS = 0.02;

	private final Supplier<Frame.Builder> frames;

	private final ScheduledExecutorService timer;

	private final Consumer<Runnable> thread;

	private final Consumer<Sending> sent;

	private final TokenBucket pacer = TokenBucket.create(BURST_SECONDS);

	private final Deque<Sending> turns = new ArrayDeque<>();

	private int part = PartSize.of(0);

	private boolean waiting;

	/**
	 * Returns a sender.
	 * @param thread runs a task on the transfer's thread
	 * @param sent hears when the last part of a chunk is out
	 */
	PacedReplies(Supplier<Frame.Builder> frames, ScheduledExecutorService timer, Consumer<Runnable> thread,
			Consumer<Sending> sent) {
		this.frames = frames;
		this.timer = timer;
		this.thread = thread;
		this.sent = sent;
	}

	void rate(double bytesPerSecond) {
		this.pacer.setRate(bytesPerSecond, System.nanoTime());
		this.part = PartSize.of(bytesPerSecond);
	}

	void add(Sending sending) {
		this.turns.add(sending);
		pump();
	}

	/**
	 * Drops what goes to a link that is gone.
	 */
	void drop(Link link) {
		this.turns.removeIf((sending) -> {
			boolean gone = sending.link == link;
			if (gone) {
				this.sent.accept(sending);
			}
			return gone;
		});
	}

	private void pump() {
		while (!this.turns.isEmpty() && !this.waiting) {
			long delay = this.pacer.delayNanos(System.nanoTime());
			if (delay > 0) {
				pause(delay);
				return;
			}
			Sending next = this.turns.poll();
			int length = Math.min(this.part, next.end - next.offset);
			this.pacer.consume(length);
			next.link.send(this.frames.get().setChunkReply(reply(next, length)).build());
			next.offset += length;
			if (next.offset < next.end) {
				this.turns.add(next);
			}
			else {
				this.sent.accept(next);
			}
		}
	}

	private void pause(long delay) {
		this.waiting = true;
		this.timer.schedule(() -> this.thread.accept(() -> {
			this.waiting = false;
			pump();
		}), delay, TimeUnit.NANOSECONDS);
	}

	private static ChunkReply reply(Sending sending, int length) {
		ByteString data = UnsafeByteOperations.unsafeWrap(sending.bytes, sending.offset, length);
		return ChunkReply.newBuilder()
			.setId(sending.request.getId())
			.setIndex(sending.request.getIndex())
			.setStatus(ChunkStatus.CHUNK_OK)
			.setOffset(sending.offset)
			.setLength(sending.bytes.length)
			.setData(data)
			.build();
	}

	/** A chunk, or the part of it that was asked for, on its way to a peer. */
	static final class Sending {

		private final Link link;

		private final ChunkRequest request;

		private final byte[] bytes;

		private final int end;

		private int offset;

		Sending(Link link, ChunkRequest request, byte[] bytes) {
			this.link = link;
			this.request = request;
			this.bytes = bytes;
			this.offset = request.getOffset();
			int length = request.getLength();
			this.end = (length > 0) ? Math.min(bytes.length, this.offset + length) : bytes.length;
		}

		int length() {
			return this.end - this.offset;
		}

	}

}
