package org.wisteriapost.agent;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.wire.Approval;
import org.wisteriapost.protocol.wire.BundleReply;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Head;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;

/**
 * The entry's end of a link to the agent.
 */
final class FakeEntry implements LinkHandler {

	private static final long TIMEOUT_SECONDS = 30;

	private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

	private volatile Link link;

	static FakeEntry connect(Links links, int port) {
		FakeEntry entry = new FakeEntry();
		links.connect(new InetSocketAddress("127.0.0.1", port), entry).join();
		return entry;
	}

	void sendHead(long generation, String digest, boolean confirmed) {
		this.link.send(Frame.newBuilder()
			.setGeneration(generation)
			.setHead(Head.newBuilder().setGeneration(generation).setDigest(digest).setConfirmed(confirmed))
			.build());
	}

	void sendBundle(String digest, byte[] content, byte[] signature) {
		Approval approval = Approval.newBuilder()
			.setOperator("aminata")
			.setSignature(ByteString.copyFrom(signature))
			.build();
		this.link.send(Frame.newBuilder()
			.setBundleReply(BundleReply.newBuilder()
				.setDigest(digest)
				.setBundle(ByteString.copyFrom(content))
				.addApprovals(approval))
			.build());
	}

	void call(long id, String path, String body, String weightsDigest) {
		this.link.send(Frame.newBuilder()
			.setCall(Call.newBuilder()
				.setId(id)
				.setService("lm")
				.setMethod("POST")
				.setPath(path)
				.setBody(ByteString.copyFromUtf8(body))
				.setRemainingMillis(60_000)
				.setWeightsDigest(weightsDigest))
			.build());
	}

	void close() {
		this.link.close();
	}

	/**
	 * Waits for the end of a call, appending the response body to {@code answer}.
	 */
	CallEnd awaitEnd(long id, StringBuilder answer) {
		while (true) {
			Frame frame = awaitFrame((one) -> one.getCallEnd().getId() == id || one.getCallData().getId() == id);
			if (frame.hasCallEnd()) {
				return frame.getCallEnd();
			}
			answer.append(frame.getCallData().getData().toStringUtf8());
		}
	}

	/**
	 * Waits for the next frame that matches, dropping others.
	 */
	Frame awaitFrame(Predicate<Frame> matches) {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		try {
			while (true) {
				Frame frame = this.frames.poll(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
				if (frame == null) {
					throw new AssertionError("timed out waiting for a matching frame");
				}
				if (matches.test(frame)) {
					return frame;
				}
			}
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	@Override
	public void onOpen(Link opened) {
		this.link = opened;
		opened.send(Frame.newBuilder().setHello(Hello.newBuilder().setVm("entry-1").setRole(Role.ENTRY)).build());
	}

	@Override
	public void onFrame(Link from, Frame frame) {
		this.frames.add(frame);
	}

	@Override
	public void onClosed(Link closed) {
		// Received frames stay available.
	}

}
