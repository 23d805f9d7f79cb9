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

class ReplyPacerTests {

	private static final int CHUNK = 32_768;

	private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

	private final List<Frame> sent = new ArrayList<>();

	private final List<ReplyPacer.OutgoingChunk> sentChunks = new ArrayList<>();

	private final CompletableFuture<Void> bothSent = new CompletableFuture<>();

	private final ReplyPacer pacer = new ReplyPacer(Frame::newBuilder, this.timer, this.timer::execute, (chunk) -> {
		this.sentChunks.add(chunk);
		if (this.sentChunks.size() == 2) {
			this.bothSent.complete(null);
		}
	});

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	private ReplyPacer.OutgoingChunk chunk(long id, Link link) {
		return new ReplyPacer.OutgoingChunk(link, ChunkRequest.newBuilder().setId(id).build(), new byte[CHUNK]);
	}

	// Two peers request chunks over a link that needs 100 ms for each. Guards against
	// whole chunks in one frame, which would delay live responses by that long.
	@Test
	void chunksAreSentInInterleavedParts() throws Exception {
		this.timer.submit(() -> {
			this.pacer.setRate(CHUNK * 10.0);
			this.pacer.add(chunk(1, new RecordingLink()));
			this.pacer.add(chunk(2, new RecordingLink()));
		}).get(10, TimeUnit.SECONDS);
		this.bothSent.get(20, TimeUnit.SECONDS);
		List<ChunkReply> parts = this.sent.stream().map(Frame::getChunkReply).toList();
		assertThat(parts.size(), Matchers.greaterThanOrEqualTo(2 * CHUNK / 4096));
		assertThat(parts.get(2).getId(), Matchers.not(parts.get(3).getId()));
		long bytes = parts.stream()
			.filter((part) -> part.getId() == 1)
			.mapToLong((part) -> part.getData().size())
			.sum();
		assertThat(bytes, Matchers.equalTo((long) CHUNK));
	}

	// A link closes while chunks are queued for it. Unless they are released, the
	// limit on active uploads is reached and no other peer is served.
	@Test
	void chunksForClosedLinkAreDropped() throws Exception {
		RecordingLink closed = new RecordingLink();
		this.timer.submit(() -> {
			this.pacer.setRate(1);
			this.pacer.add(chunk(1, new RecordingLink()));
			this.pacer.add(chunk(2, closed));
			this.pacer.add(chunk(3, closed));
			this.pacer.removeLink(closed);
		}).get(10, TimeUnit.SECONDS);
		assertThat(this.sentChunks, Matchers.hasSize(2));
	}

	private final class RecordingLink implements Link {

		@Override
		public boolean send(Frame frame) {
			return ReplyPacerTests.this.sent.add(frame);
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
			// Nothing to close.
		}

	}

}
