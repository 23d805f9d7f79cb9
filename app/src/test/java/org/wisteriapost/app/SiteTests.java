package org.wisteriapost.app;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.entry.direct.DirectProcess;
import org.wisteriapost.platform.emulator.EmulatedRunner;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpReply;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.EchoRequest;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Entries and agents as they run on a site, against an emulated one.
 */
class SiteTests {

	private static final long MOST_SECONDS = 30;

	private RunningSite running;

	private EmulatedSite site;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.running = RunningSite.start(this.folder);
		this.site = this.running.emulated();
	}

	@AfterEach
	void stop() throws Exception {
		this.running.close();
	}

	private DirectProcess entry(int number) throws Exception {
		return this.running.entry(this.running.entrySettings(number));
	}

	// As the settings of an entry whose way to the store is cut: nothing listens there.
	private Path withoutStore(int number) throws Exception {
		Path settings = this.running.entrySettings(number);
		String text = Files.readString(settings).replaceAll("\"address\":\"[^\"]*\"", "\"address\":\"127.7.9.9:1\"");
		return Files.writeString(settings, text);
	}

	private void agent(int number) throws Exception {
		this.running.agent(number);
	}

	private static void await(String what, BooleanSupplier condition) throws InterruptedException {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat("in time: " + what, System.nanoTime() < until);
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private HttpReply call(String method, String path, String key, byte[] body) {
		return call(1, method, path, key, body);
	}

	private HttpReply call(int entry, String method, String path, String key, byte[] body) {
		HttpCall call = this.running.request(entry, method, path, key)
			.header("X-Wisteriapost-Token-Counts", "100,60")
			.header("X-Wisteriapost-Tenant-Id", "forged")
			.body(body);
		return this.running.caller().call(call).join();
	}

	private HttpReply stream() {
		return call("POST", "/draft/x?a=1", EmulatedSite.KEY, "prompt".getBytes(StandardCharsets.UTF_8));
	}

	private void awaitServing() throws InterruptedException {
		await("serving", () -> call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 200
				&& stream().status() == 200);
	}

	private static List<String> ids(HttpReply reply) {
		return new String(reply.body(), StandardCharsets.UTF_8).lines()
			.filter((line) -> line.startsWith("id: "))
			.toList();
	}

	private static List<String> allIds() {
		List<String> ids = new ArrayList<>();
		for (int event = 1; event <= EmulatedRunner.DEFAULT_EVENTS_PER_STREAM; event++) {
			ids.add("id: " + event);
		}
		return ids;
	}

	@Test
	void aRequestReachesItsRunnerUnchangedAndItsAnswerTheCaller() throws Exception {
		EmulatedRunner engine = this.site.addEngine(1);
		this.site.addPlainRunner();
		entry(1);
		awaitServing();
		HttpReply reply = stream();
		assertThat(reply.status(), Matchers.equalTo(200));
		assertThat(ids(reply), Matchers.equalTo(allIds()));
		assertThat(reply.header("X-Wisteriapost-Response-Signature").orElseThrow(),
				Matchers.equalTo("proof-" + engine.id()));
		EmulatedRunner.ExecutedRequest seen = engine.executedRequests().getLast();
		assertThat(seen.path(), Matchers.equalTo("/draft/x"));
		assertThat(new String(seen.body(), StandardCharsets.UTF_8), Matchers.equalTo("prompt"));
		assertThat(seen.organisation(), Matchers.equalTo("org-one"));
		assertThat(seen.authorization(), Matchers.nullValue());
	}

	@ParameterizedTest
	@CsvSource({ "/draft/x,key-none,401", "/unknown/x,key-one,404", "/lookup/x,key-one,200" })
	void whatIsNotDeclaredIsRejected(String path, String key, int status) throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		entry(1);
		awaitServing();
		assertThat(call("GET", path, key, new byte[0]).status(), Matchers.equalTo(status));
	}

	// An engine resets its stream after seven events and the beginning of an eighth. The
	// caller reads all events once and in order, since the stream goes on at the other
	// engine after the last whole one.
	@Test
	void aStreamThatBreaksGoesOnElsewhereAfterItsLastWholeEvent() throws Exception {
		EmulatedRunner first = this.site.addEngine(1);
		EmulatedRunner second = this.site.addEngine(1);
		this.site.addPlainRunner();
		entry(1);
		awaitServing();
		first.resetStreamsAfter(7);
		second.resetStreamsAfter(7);
		HttpReply reply = stream();
		assertThat(reply.status(), Matchers.equalTo(200));
		assertThat(ids(reply), Matchers.equalTo(allIds()));
		List<EmulatedRunner.ExecutedRequest> seen = new ArrayList<>(first.executedRequests());
		seen.addAll(second.executedRequests());
		assertThat(seen.stream().filter((one) -> "7".equals(one.lastEventId())).count(), Matchers.equalTo(1L));
	}

	// New weights are named. The agent brings them to its engine: every piece that the
	// engine takes is the named version's.
	@Test
	void namedWeightsReachEveryEngineWhole() throws Exception {
		EmulatedRunner first = this.site.addEngine(1);
		EmulatedRunner second = this.site.addEngine(1);
		this.site.addPlainRunner();
		agent(1);
		agent(2);
		entry(1);
		awaitServing();
		this.site.setTargetVersion(2);
		await("version 2 everywhere", () -> first.version() == 2 && second.version() == 2);
		for (EmulatedRunner engine : List.of(first, second)) {
			for (int piece = 0; piece < EmulatedSite.chunkCount(); piece++) {
				assertThat(engine.loadedChunks().get(piece), Matchers.equalTo(EmulatedSite.chunk(2, piece)));
			}
		}
		await("requests on version 2",
				() -> stream().header("X-Wisteriapost-Weight-Versions").map("2"::equals).orElse(false));
	}

	// An engine is added without weights; it gets the first version from its peer.
	@Test
	void anAddedEngineIsBroughtUp() throws Exception {
		EmulatedRunner first = this.site.addEngine(1);
		this.site.addPlainRunner();
		agent(1);
		entry(1);
		awaitServing();
		EmulatedRunner added = this.site.addEngine(0);
		agent(2);
		await("the added engine holds weights", () -> added.version() == 1);
		first.resetStreamsAfter(0);
		await("it gets requests", () -> stream().status() == 200 && !added.executedRequests().isEmpty());
	}

	// The store goes away and forgets its history meanwhile. Requests go on as before;
	// once it is back, a route that was dropped is gone.
	@Test
	void anOutageOfTheStoreStopsNoRequestAndItsEndBringsTheChanges() throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		entry(1);
		awaitServing();
		this.site.store().setUnavailable(true);
		assertThat(stream().status(), Matchers.equalTo(200));
		this.site.configure(false);
		this.site.store().discardHistory();
		assertThat(call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status(), Matchers.equalTo(200));
		this.site.store().setUnavailable(false);
		await("the dropped route is gone",
				() -> call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 404);
	}

	// The store turns one entry away from its start on and answers the other. Callers of
	// both are served; a route that is dropped and a runner that leaves are so at both,
	// since the one passes on to the other what it reads.
	@Test
	void anEntryThatTheStoreTurnsAwayFollowsItThroughAnother() throws Exception {
		this.site.addEngine(1);
		EmulatedRunner leaving = this.site.addPlainRunner();
		EmulatedRunner staying = this.site.addPlainRunner();
		entry(1);
		awaitServing();
		this.site.registerEntry(2);
		this.running.entry(withoutStore(2));
		await("served there", () -> call(2, "GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 200);
		this.site.store().remove("servers", leaving.id());
		TimeUnit.MILLISECONDS.sleep(3000);
		int before = leaving.executedRequests().size();
		for (int i = 0; i < 10; i++) {
			assertThat(call(2, "GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status(), Matchers.equalTo(200));
		}
		assertThat(leaving.executedRequests().size(), Matchers.equalTo(before));
		assertThat(staying.executedRequests(), Matchers.not(Matchers.empty()));
		this.site.configure(false);
		await("the dropped route is gone",
				() -> call(2, "GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 404);
	}

	@Test
	void aDrainedRunnerGetsNothingNew() throws Exception {
		this.site.addEngine(1);
		EmulatedRunner leaving = this.site.addPlainRunner();
		EmulatedRunner staying = this.site.addPlainRunner();
		entry(1);
		awaitServing();
		this.site.store().remove("servers", leaving.id());
		TimeUnit.MILLISECONDS.sleep(300);
		int before = leaving.executedRequests().size();
		for (int i = 0; i < 10; i++) {
			assertThat(call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status(), Matchers.equalTo(200));
		}
		assertThat(leaving.executedRequests().size(), Matchers.equalTo(before));
		assertThat(staying.executedRequests().size(), Matchers.greaterThanOrEqualTo(10));
	}

	// Two entries name each other to callers. One is told to leave: it is named no more
	// at once, still answers who comes, and ends in time.
	@Test
	void aLeavingEntryIsNamedNoMoreAndStillAnswers() throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		DirectProcess first = entry(1);
		entry(2);
		awaitServing();
		await("both are named", () -> directory(2).contains("127.7.1.1") && directory(2).contains("127.7.1.2"));
		first.leave();
		await("the leaving one is named no more", () -> !directory(2).contains("127.7.1.1"));
		assertThat(stream().status(), Matchers.equalTo(200));
		first.leave().get(MOST_SECONDS, TimeUnit.SECONDS);
	}

	// An entry links to one that leaves at that very moment, and its greeting is read
	// after the notice was given to all that are known. It must have the notice too, or
	// it names the leaving one to callers until the link breaks.
	@Test
	void whoGreetsALeavingEntryIsToldThatItLeaves() throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		DirectProcess leaving = entry(1);
		awaitServing();
		SiteSettings settings = this.running.provider().settings(this.running.entrySettings(1));
		CompletableFuture<Link> open = new CompletableFuture<>();
		CompletableFuture<Frame> told = new CompletableFuture<>();
		try (Links links = Links.plain(1)) {
			links
				.connect(new InetSocketAddress(settings.host(), settings.linkPort()),
						new Greeter(open, Frame.BodyCase.LEAVING, told))
				.join();
			leaving.leave();
			await("it leaves", () -> directory(1).isEmpty());
			Hello hello = Hello.newBuilder().setVm("late-entry").setRole(Role.ENTRY).build();
			open.join().send(Frame.newBuilder().setHello(hello).build());
			assertThat(told.get(MOST_SECONDS, TimeUnit.SECONDS).getBodyCase(),
					Matchers.equalTo(Frame.BodyCase.LEAVING));
		}
	}

	// An entry sees by it for how long the link to an engine's VM holds things. One that
	// gets no stamp back in time sends nothing there.
	@Test
	void anAgentSendsAStampBack() throws Exception {
		this.site.addEngine(1);
		agent(1);
		SiteSettings settings = this.running.provider().settings(this.running.agentSettings(1));
		CompletableFuture<Link> open = new CompletableFuture<>();
		CompletableFuture<Frame> told = new CompletableFuture<>();
		try (Links links = Links.plain(1)) {
			links
				.connect(new InetSocketAddress(settings.host(), settings.linkPort()),
						new Greeter(open, Frame.BodyCase.ECHO, told))
				.join();
			open.join().send(Frame.newBuilder().setEchoRequest(EchoRequest.newBuilder().setStamp(42)).build());
			assertThat(told.get(MOST_SECONDS, TimeUnit.SECONDS).getEcho().getStamp(), Matchers.equalTo(42L));
		}
	}

	private String directory(int entry) {
		URI target = URI.create("http://127.7.1." + entry + ":" + (this.site.port() + 2)
				+ "/v1/resolution?name=desk.example&region=here&zone=hall-a");
		return new String(this.running.caller().call(HttpCall.of("GET", target, Duration.ofSeconds(2))).join().body(),
				StandardCharsets.UTF_8);
	}

	/**
	 * Says nothing by itself and waits for a notice.
	 *
	 * @param open when the link is up
	 * @param notice what it waits for
	 * @param told the notice
	 */
	private record Greeter(CompletableFuture<Link> open, Frame.BodyCase notice,
			CompletableFuture<Frame> told) implements LinkHandler {

		@Override
		public void onOpen(Link link) {
			this.open.complete(link);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (frame.getBodyCase() == this.notice) {
				this.told.complete(frame);
			}
		}

		@Override
		public void onClosed(Link link) {
			this.told.completeExceptionally(new IllegalStateException("closed without a notice"));
		}

	}

}
