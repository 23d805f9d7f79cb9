package org.wisteriapost.protocol.link;

import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class LinksTests {

	private static final long LONGER_THAN_IDLE_TIMEOUT_SECONDS = 5;

	private static final int WRITES = 25;

	private final Links links = Links.plain(1);

	@AfterEach
	void stop() {
		this.links.close();
	}

	@Test
	void framesArriveCompleteAndInOrder() throws InterruptedException {
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
	void closedLinkNotifiesHandlerAndRejectsFrames() throws InterruptedException {
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

	@Test
	void idleLinkStaysOpen() throws InterruptedException {
		Recorder server = new Recorder();
		Recorder client = new Recorder();
		try (LinkServer at = this.links.listen(new InetSocketAddress("127.0.0.1", 0), server)) {
			this.links.connect(new InetSocketAddress("127.0.0.1", at.port()), client).join();
			assertThat(client.closed.poll(LONGER_THAN_IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS), is(nullValue()));
			client.opened.remove().send(data(1, 1));
			assertThat(server.frames.poll(20, TimeUnit.SECONDS), is(data(1, 1)));
		}
	}

	// The peer is suspended or its VM is disconnected: the connection stays open, but no
	// heartbeat arrives. The link must be closed even while this side keeps sending.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void linkToUnresponsivePeerIsClosed(boolean sending) throws Exception {
		Recorder client = new Recorder();
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			this.links.connect(new InetSocketAddress("127.0.0.1", silent.getLocalPort()), client).join();
			Link link = client.opened.remove();
			Link closed = null;
			for (int i = 0; closed == null && i < 200; i++) {
				if (sending) {
					link.send(data(i, 1));
				}
				closed = client.closed.poll(100, TimeUnit.MILLISECONDS);
			}
			assertThat(closed, is(link));
		}
	}

	// A frame takes longer than the idle timeout to arrive over a narrow link.
	// Closing the link would lose the frame, and every repetition of it on a new
	// link.
	@Test
	void slowlyArrivingFrameKeepsLinkOpen() throws Exception {
		Recorder client = new Recorder();
		byte[] frame = data(1, WRITES * 100).toByteArray();
		try (ServerSocket narrow = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			this.links.connect(new InetSocketAddress("127.0.0.1", narrow.getLocalPort()), client).join();
			try (Socket socket = narrow.accept()) {
				DataOutputStream out = new DataOutputStream(socket.getOutputStream());
				out.writeInt(frame.length);
				int size = frame.length / WRITES;
				for (int i = 0; i < WRITES; i++) {
					TimeUnit.MILLISECONDS.sleep(TimeUnit.SECONDS.toMillis(LONGER_THAN_IDLE_TIMEOUT_SECONDS) / WRITES);
					out.write(frame, i * size, (i < WRITES - 1) ? size : frame.length - i * size);
				}
				assertThat(client.frames.poll(20, TimeUnit.SECONDS), is(data(1, WRITES * 100)));
			}
		}
	}

	// One side sends continuously and omits its heartbeats; the heartbeats of the other
	// side keep the link open.
	@Test
	void linkUsedInOneDirectionStaysOpen() throws InterruptedException {
		Recorder server = new Recorder();
		Recorder client = new Recorder();
		try (LinkServer at = this.links.listen(new InetSocketAddress("127.0.0.1", 0), server)) {
			this.links.connect(new InetSocketAddress("127.0.0.1", at.port()), client).join();
			Link link = client.opened.remove();
			int sent = 10 * (int) LONGER_THAN_IDLE_TIMEOUT_SECONDS;
			for (int i = 0; i < sent; i++) {
				link.send(data(i, 1));
				TimeUnit.MILLISECONDS.sleep(100);
			}
			for (int i = 0; i < sent; i++) {
				assertThat(server.frames.poll(20, TimeUnit.SECONDS), is(data(i, 1)));
			}
			assertThat(client.closed.isEmpty(), is(true));
		}
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
