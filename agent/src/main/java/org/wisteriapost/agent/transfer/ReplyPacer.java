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
import org.wisteriapost.policy.transfer.UploadWindow;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Sends chunks in parts, round-robin, at no more than the share of the link allowed for
 * weights. Confined to the transfer thread.
 *
 * Load: live responses go out on the same narrow link while several peers fetch. Harm
 * prevented: a chunk of 32 KB sent in one frame delays everything behind it by 50 ms on a
 * link of 5 Mbit/s, and three of them that reach one peer together delay its requests by
 * 150 ms. Interleaved parts use the same share of the link but occupy it for only a few
 * milliseconds each.
 */
final class ReplyPacer {

	// Covers the delay of a timer, so that late wake-ups do not lower the rate.
	private static final double BURST_SECONDS = 0.02;

	private final Supplier<Frame.Builder> frameFactory;

	private final ScheduledExecutorService timer;

	private final Consumer<Runnable> executor;

	private final Consumer<OutgoingChunk> onSent;

	private final TokenBucket tokenBucket = TokenBucket.create(BURST_SECONDS);

	private final Deque<OutgoingChunk> queue = new ArrayDeque<>();

	private int partBytes = PartSize.of(0);

	private boolean paused;

	/**
	 * Creates a pacer without chunks to send.
	 * @param executor runs a task on the transfer thread
	 * @param onSent called when the last part of a chunk has been sent, or the chunk has
	 * been removed
	 */
	ReplyPacer(Supplier<Frame.Builder> frameFactory, ScheduledExecutorService timer, Consumer<Runnable> executor,
			Consumer<OutgoingChunk> onSent) {
		this.frameFactory = frameFactory;
		this.timer = timer;
		this.executor = executor;
		this.onSent = onSent;
	}

	void setRate(double bytesPerSecond) {
		this.tokenBucket.setRate(bytesPerSecond, System.nanoTime());
		this.partBytes = PartSize.of(bytesPerSecond);
	}

	void add(OutgoingChunk chunk) {
		this.queue.add(chunk);
		sendParts();
	}

	/**
	 * Removes the chunks queued for a link that has closed.
	 */
	void removeLink(Link link) {
		this.queue.removeIf((chunk) -> {
			boolean matches = chunk.link == link;
			if (matches) {
				this.onSent.accept(chunk);
			}
			return matches;
		});
	}

	private void sendParts() {
		while (!this.queue.isEmpty() && !this.paused) {
			long delayNanos = this.tokenBucket.delayNanos(System.nanoTime());
			if (delayNanos > 0) {
				pause(delayNanos);
				return;
			}
			OutgoingChunk next = this.queue.poll();
			int length = Math.min(this.partBytes, next.end - next.offset);
			this.tokenBucket.consume(length);
			next.link.send(this.frameFactory.get().setChunkReply(reply(next, length)).build());
			next.offset += length;
			if (next.offset < next.end) {
				this.queue.add(next);
			}
			else {
				this.onSent.accept(next);
			}
		}
	}

	private void pause(long delayNanos) {
		this.paused = true;
		this.timer.schedule(() -> this.executor.accept(() -> {
			this.paused = false;
			sendParts();
		}), delayNanos, TimeUnit.NANOSECONDS);
	}

	private static ChunkReply reply(OutgoingChunk chunk, int length) {
		ByteString data = UnsafeByteOperations.unsafeWrap(chunk.bytes, chunk.offset, length);
		return ChunkReply.newBuilder()
			.setId(chunk.request.getId())
			.setIndex(chunk.request.getIndex())
			.setStatus(ChunkStatus.CHUNK_OK)
			.setOffset(chunk.offset)
			.setLength(chunk.bytes.length)
			.setData(data)
			.build();
	}

	/** A chunk, or the requested part of it, that is being sent to a peer. */
	static final class OutgoingChunk {

		private final Link link;

		private final ChunkRequest request;

		private final byte[] bytes;

		private final int end;

		private int offset;

		OutgoingChunk(Link link, ChunkRequest request, byte[] bytes) {
			this.link = link;
			this.request = request;
			this.bytes = bytes;
			this.offset = request.getOffset();
			int length = request.getLength();
			this.end = (length > 0) ? Math.min(bytes.length, this.offset + length) : bytes.length;
		}

		int remainingBytes() {
			return this.end - this.offset;
		}

		UploadWindow.Part part() {
			return new UploadWindow.Part(this.link, this.request.getFile(), this.request.getIndex(), this.end,
					this.end == this.bytes.length);
		}

	}

}
