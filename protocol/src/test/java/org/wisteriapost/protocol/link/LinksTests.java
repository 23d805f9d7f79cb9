package org.wisteriapost.protocol.link;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class LinksTests {

	private final Links links = Links.plain(1);

	@AfterEach
	void stop() {
		this.links.close();
	}

	@Test
	void framesArriveWholeAndInOrder() throws InterruptedException {
		Recorder server = new Recorder();
		Recorder client = new Recorder();
		try (LinkServer at = this.links.listen(new InetSocketAddress("127.0.0.1", 0), server)) {
			this.links.connect(new InetSocketAddress("127.0.0.1", at.port()), client).join();
			Link link = client.opened.remove();
			for (int i = 0; i < 100; i++) {
				link.send(data(i, i * 1000));
			}
			for (int i = 0; i < 100; i++) {
				assertThat(server.frames.poll(20, TimeUnit.SECONDS), is(data(i, i * 1000)));
			}
		}
	}

	@Test
	void closedLinkIsHeardAndTakesNothing() throws InterruptedException {
		Recorder server = new Recorder();
		Recorder client = new Recorder();
		try (LinkServer at = this.links.listen(new InetSocketAddress("127.0.0.1", 0), server)) {
			this.links.connect(new InetSocketAddress("127.0.0.1", at.port()), client).join();
			server.opened.poll(20, TimeUnit.SECONDS).close();
			Link closed = client.closed.poll(20, TimeUnit.SECONDS);
			assertThat(closed.send(data(1, 1)), is(false));
		}
	}

	@Test
	void refusedConnectionFailsWithACode() {
		assertThrows(CompletionException.class,
				() -> this.links.connect(new InetSocketAddress("127.0.0.1", 1), new Recorder()).join());
	}

	private static Frame data(long id, int size) {
		return Frame.newBuilder()
			.setCallData(CallData.newBuilder().setId(id).setData(ByteString.copyFrom(new byte[size])))
			.build();
	}

	private static final class Recorder implements LinkHandler {

		private final BlockingQueue<Link> opened = new LinkedBlockingQueue<>();

		private final BlockingQueue<Link> closed = new LinkedBlockingQueue<>();

		private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

		@Override
		public void onOpen(Link link) {
			this.opened.add(link);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			this.frames.add(frame);
		}

		@Override
		public void onClosed(Link link) {
			this.closed.add(link);
		}

	}

}
