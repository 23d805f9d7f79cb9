package org.wisteriapost.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;

import com.google.protobuf.ByteString;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.CallData;
import org.wisteriapost.protocol.wire.CallEnd;
import org.wisteriapost.protocol.wire.CallStarted;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Header;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Outcome;
import org.wisteriapost.protocol.wire.Report;
import org.wisteriapost.protocol.wire.Role;

/**
 * An agent that answers each call as the test specifies.
 */
final class FakeAgent implements LinkHandler, AutoCloseable {

	private final String vm;

	private final String service;

	private final LinkServer server;

	private final List<Link> links = new CopyOnWriteArrayList<>();

	private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

	private final BlockingQueue<Frame> otherFrames = new LinkedBlockingQueue<>();

	private volatile Report report;

	private volatile BiConsumer<Link, Call> answer = FakeAgent::echo;

	private FakeAgent(Links links, String vm, String service, String digest) {
		this.vm = vm;
		this.service = service;
		this.report = Report.newBuilder()
			.setVm(vm)
			.setPlace("p1")
			.setService(service)
			.setPlain(digest.isEmpty())
			.setAdmitting(true)
			.setWeightsDigest(digest)
			.setBundleGeneration(1)
			.setCapacity(8)
			.build();
		this.server = links.listen(new InetSocketAddress("127.0.0.1", 0), this);
	}

	static FakeAgent start(Links links, String vm, String service, String digest) {
		return new FakeAgent(links, vm, service, digest);
	}

	/** Answers with the call's body. */
	static void echo(Link link, Call call) {
		send(link, started(call, call.getWeightsDigest()));
		send(link, data(call, call.getBody().toStringUtf8()));
		send(link, end(call, Outcome.RAN, ""));
	}

	static Frame started(Call call, String digest) {
		return Frame.newBuilder()
			.setCallStarted(CallStarted.newBuilder()
				.setId(call.getId())
				.setStatus(200)
				.addHeaders(Header.newBuilder().setName("Content-Type").setValue("text/plain"))
				.setWeightsDigest(digest))
			.build();
	}

	static Frame data(Call call, String text) {
		return Frame.newBuilder()
			.setCallData(CallData.newBuilder()
				.setId(call.getId())
				.setData(ByteString.copyFrom(text, StandardCharsets.UTF_8)))
			.build();
	}

	static Frame end(Call call, Outcome outcome, String code) {
		return Frame.newBuilder()
			.setCallEnd(CallEnd.newBuilder().setId(call.getId()).setOutcome(outcome).setCode(code))
			.build();
	}

	static void send(Link link, Frame frame) {
		link.send(frame);
	}

	void answerWith(BiConsumer<Link, Call> next) {
		this.answer = next;
	}

	void sendReports(Report next) {
		this.report = next;
		this.links.forEach(this::sendReport);
	}

	Report report() {
		return this.report;
	}

	BlockingQueue<Call> calls() {
		return this.calls;
	}

	BlockingQueue<Frame> otherFrames() {
		return this.otherFrames;
	}

	void sendToAll(Frame frame) {
		this.links.forEach((link) -> link.send(frame));
	}

	void closeLinks() {
		this.links.forEach(Link::close);
	}

	VmList.Vm vmListEntry(boolean leaving) {
		return new VmList.Vm(this.vm, "p1", "r1", "agent", this.service, "127.0.0.1", this.server.port(), 0, leaving);
	}

	@Override
	public void onOpen(Link link) {
		this.links.add(link);
		link.send(Frame.newBuilder()
			.setHello(Hello.newBuilder().setVm(this.vm).setPlace("p1").setRole(Role.AGENT).setService(this.service))
			.build());
		sendReport(link);
	}

	@Override
	public void onFrame(Link link, Frame frame) {
		if (frame.hasCall()) {
			this.calls.add(frame.getCall());
			this.answer.accept(link, frame.getCall());
			return;
		}
		this.otherFrames.add(frame);
	}

	@Override
	public void onClosed(Link link) {
		this.links.remove(link);
	}

	@Override
	public void close() {
		this.server.close();
		closeLinks();
	}

	private void sendReport(Link link) {
		link.send(Frame.newBuilder().setReport(this.report).build());
	}

}
