package org.wisteriapost.agent.transfer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

class PacedRepliesTests {

	private static final int CHUNK = 32_768;

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

	private final List<Frame> sent = new ArrayList<>();

	private final List<PacedReplies.Sending> whole = new ArrayList<>();

	private final CompletableFuture<Void> both = new CompletableFuture<>();

	private final PacedReplies replies = new PacedReplies(Frame::newBuilder, this.timer, this.timer::execute,
			(sending) -> {
				this.whole.add(sending);
				if (this.whole.size() == 2) {
					this.both.complete(null);
				}
			});

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	private PacedReplies.Sending chunk(long id, Link link) {
		return new PacedReplies.Sending(link, ChunkRequest.newBuilder().setId(id).build(), new byte[CHUNK]);
	}

	// Two peers ask at once on a link that carries a chunk in a tenth of a second.
	// Sent one after the other as they are, each would hold up live answers for that
	// long. They go out in parts by turns, so that whatever waits behind one part
	// waits for a few milliseconds.
	@Test
	void chunksGoOutInPartsByTurns() throws Exception {
		this.timer.submit(() -> {
			this.replies.rate(CHUNK * 10.0);
			this.replies.add(chunk(1, new Recorder()));
			this.replies.add(chunk(2, new Recorder()));
		}).get(10, TimeUnit.SECONDS);
		this.both.get(20, TimeUnit.SECONDS);
		List<ChunkReply> parts = this.sent.stream().map(Frame::getChunkReply).toList();
		assertThat(parts.size(), Matchers.greaterThanOrEqualTo(2 * CHUNK / 4096));
		assertThat(parts.get(2).getId(), Matchers.not(parts.get(3).getId()));
		long bytes = parts.stream()
			.filter((part) -> part.getId() == 1)
			.mapToLong((part) -> part.getData().size())
			.sum();
		assertThat(bytes, Matchers.equalTo((long) CHUNK));
	}

	// A peer goes away in the middle. What was kept for it is given free, or the
	// places of chunks in memory would run out and no other peer would be served.
	@Test
	void whatGoesToALostLinkIsDropped() throws Exception {
		Recorder gone = new Recorder();
		this.timer.submit(() -> {
			this.replies.rate(1);
			this.replies.add(chunk(1, new Recorder()));
			this.replies.add(chunk(2, gone));
			this.replies.add(chunk(3, gone));
			this.replies.drop(gone);
		}).get(10, TimeUnit.SECONDS);
		assertThat(this.whole, Matchers.hasSize(2));
	}

	private final class Recorder implements Link {

		@Override
		public boolean send(Frame frame) {
			return PacedRepliesTests.this.sent.add(frame);
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public String peer() {
			return "peer";
		}

		@Override
		public void close() {
			// Nothing is open.
		}

	}

}
