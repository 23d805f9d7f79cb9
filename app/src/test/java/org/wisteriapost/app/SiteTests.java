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
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.entry.direct.DirectProcess;
import org.wisteriapost.platform.emulator.EmulatedRunner;
import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.platform.emulator.EmulatedStore;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
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
 * End-to-end tests of entries and agents on an {@link EmulatedSite}.
 */
class SiteTests {

	private static final long TIMEOUT_SECONDS = 30;

	private InProcessSite localSite;

	private EmulatedSite site;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		this.localSite = InProcessSite.start(this.folder);
		this.site = this.localSite.emulatedSite();
	}

	@AfterEach
	void stop() throws Exception {
		this.localSite.close();
	}

	private DirectProcess startEntry(int number) throws Exception {
		return this.localSite.startEntry(this.localSite.writeEntrySettings(number));
	}

	// Nothing listens at the store address in these settings.
	private Path writeSettingsWithUnreachableStore(int number) throws Exception {
		Path settings = this.localSite.writeEntrySettings(number);
		String text = Files.readString(settings).replaceAll("\"address\":\"[^\"]*\"", "\"address\":\"127.7.9.9:1\"");
		return Files.writeString(settings, text);
	}

	private void startAgent(int number) throws Exception {
		this.localSite.startAgent(number);
	}

	private static void await(String description, BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat("timed out waiting until " + description, System.nanoTime() < deadlineNanos);
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private HttpResponse call(String method, String path, String key, byte[] body) {
		return call(1, method, path, key, body);
	}

	private HttpResponse call(int entry, String method, String path, String key, byte[] body) {
		HttpCall call = this.localSite.request(entry, method, path, key)
			.header("X-Wisteriapost-Token-Counts", "100,60")
			.header("X-Wisteriapost-Tenant-Id", "forged")
			.body(body);
		return this.localSite.caller().call(call).join();
	}

	private HttpResponse callStream() {
		return call("POST", "/draft/x?a=1", EmulatedSite.KEY, "prompt".getBytes(StandardCharsets.UTF_8));
	}

	private void awaitServing() throws InterruptedException {
		await("requests are served", () -> call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 200
				&& callStream().status() == 200);
	}

	private static List<String> eventIds(HttpResponse reply) {
		return new String(reply.body(), StandardCharsets.UTF_8).lines()
			.filter((line) -> line.startsWith("id: "))
			.toList();
	}

	private static List<String> allEventIds() {
		List<String> ids = new ArrayList<>();
		for (int event = 1; event <= EmulatedRunner.DEFAULT_EVENTS_PER_STREAM; event++) {
			ids.add("id: " + event);
		}
		return ids;
	}

	@Test
	void aRequestIsForwardedUnchangedAndItsResponseReturned() throws Exception {
		EmulatedRunner engine = this.site.addEngine(1);
		this.site.addPlainRunner();
		startEntry(1);
		awaitServing();
		HttpResponse reply = callStream();
		assertThat(reply.status(), Matchers.equalTo(200));
		assertThat(eventIds(reply), Matchers.equalTo(allEventIds()));
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
	void onlyDeclaredRoutesAndKeysAreServed(String path, String key, int status) throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		startEntry(1);
		awaitServing();
		assertThat(call("GET", path, key, new byte[0]).status(), Matchers.equalTo(status));
	}

	// The first engine resets the stream within its eighth event. The caller must receive
	// every event once and in order: the stream resumes at the other engine after its
	// last complete event.
	@Test
	void aBrokenStreamResumesAtAnotherEngineAfterItsLastCompleteEvent() throws Exception {
		EmulatedRunner first = this.site.addEngine(1);
		EmulatedRunner second = this.site.addEngine(1);
		this.site.addPlainRunner();
		startEntry(1);
		awaitServing();
		first.resetStreamsAfter(7);
		second.resetStreamsAfter(7);
		HttpResponse reply = callStream();
		assertThat(reply.status(), Matchers.equalTo(200));
		assertThat(eventIds(reply), Matchers.equalTo(allEventIds()));
		List<EmulatedRunner.ExecutedRequest> seen = new ArrayList<>(first.executedRequests());
		seen.addAll(second.executedRequests());
		assertThat(seen.stream().filter((request) -> "7".equals(request.lastEventId())).count(), Matchers.equalTo(1L));
	}

	// After a new target version is set, every chunk that an engine loads must be of that
	// version.
	@Test
	void everyEngineLoadsTheTargetWeights() throws Exception {
		EmulatedRunner first = this.site.addEngine(1);
		EmulatedRunner second = this.site.addEngine(1);
		this.site.addPlainRunner();
		startAgent(1);
		startAgent(2);
		startEntry(1);
		awaitServing();
		this.site.setTargetVersion(2);
		await("all engines serve version 2", () -> first.version() == 2 && second.version() == 2);
		for (EmulatedRunner engine : List.of(first, second)) {
			for (int chunk = 0; chunk < EmulatedSite.chunkCount(); chunk++) {
				assertThat(engine.loadedChunks().get(chunk), Matchers.equalTo(EmulatedSite.chunk(2, chunk)));
			}
		}
		await("requests are served with version 2",
				() -> callStream().header("X-Wisteriapost-Weight-Versions").map("2"::equals).orElse(false));
	}

	// An engine that is added without weights must load them and receive requests.
	@Test
	void anAddedEngineLoadsWeightsFromItsPeer() throws Exception {
		EmulatedRunner first = this.site.addEngine(1);
		this.site.addPlainRunner();
		startAgent(1);
		startEntry(1);
		awaitServing();
		EmulatedRunner added = this.site.addEngine(0);
		startAgent(2);
		await("the added engine has loaded the weights", () -> added.version() == 1);
		first.resetStreamsAfter(0);
		await("the added engine receives requests",
				() -> callStream().status() == 200 && !added.executedRequests().isEmpty());
	}

	// The store is unavailable and discards its change history. Requests must be served
	// meanwhile, and a route that was removed during the outage must be rejected once the
	// store is back.
	@Test
	void aStoreOutageFailsNoRequestAndChangesApplyAfterIt() throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		startEntry(1);
		awaitServing();
		this.site.store().setUnavailable(true);
		assertThat(callStream().status(), Matchers.equalTo(200));
		this.site.configure(false);
		this.site.store().discardHistory();
		assertThat(call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status(), Matchers.equalTo(200));
		this.site.store().setUnavailable(false);
		await("the removed route is rejected",
				() -> call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 404);
	}

	// The second entry cannot reach the store from its start on and follows the first,
	// which reads the store. It must serve callers and apply the removal of a runner and
	// of a route.
	@Test
	void anEntryThatCannotReachTheStoreFollowsAnotherEntry() throws Exception {
		this.site.addEngine(1);
		EmulatedRunner leaving = this.site.addPlainRunner();
		EmulatedRunner staying = this.site.addPlainRunner();
		startEntry(1);
		awaitServing();
		this.site.registerEntry(2);
		this.localSite.startEntry(writeSettingsWithUnreachableStore(2));
		await("the second entry serves requests",
				() -> call(2, "GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 200);
		this.site.store().remove("servers", leaving.id());
		TimeUnit.MILLISECONDS.sleep(3000);
		int before = leaving.executedRequests().size();
		for (int i = 0; i < 10; i++) {
			assertThat(call(2, "GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status(), Matchers.equalTo(200));
		}
		assertThat(leaving.executedRequests().size(), Matchers.equalTo(before));
		assertThat(staying.executedRequests(), Matchers.not(Matchers.empty()));
		this.site.configure(false);
		await("the removed route is rejected",
				() -> call(2, "GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 404);
	}

	// Guards against changes that a real entry does not read from a real store that was
	// restored from a copy, whether or not its revisions have passed the ones read
	// before.
	@ParameterizedTest
	@ValueSource(ints = { 0, 40 })
	void changesOfARestoredStoreApply(int skippedRevisions) throws Exception {
		this.site.store().stateEra();
		this.site.addEngine(1);
		this.site.addPlainRunner();
		startEntry(1);
		awaitServing();
		EmulatedStore.Copy copy = this.site.store().copy();
		for (int i = 0; i < 10; i++) {
			this.site.configure(true);
		}
		awaitServing();
		this.site.store().restore(copy);
		this.site.configure(false);
		this.site.store().skipRevisions(skippedRevisions);
		await("the route is gone", () -> call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 404);
		this.site.configure(true);
		awaitServing();
	}

	@Test
	void aDrainedRunnerReceivesNoNewRequests() throws Exception {
		this.site.addEngine(1);
		EmulatedRunner leaving = this.site.addPlainRunner();
		EmulatedRunner staying = this.site.addPlainRunner();
		startEntry(1);
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

	// Guards against an evacuation that has no effect on an entry, or outlasts its
	// object.
	@Test
	void anEvacuatedDomainReceivesNoRequestsUntilItsEnd() throws Exception {
		this.site.addEngine(1);
		EmulatedRunner plain = this.site.addPlainRunner();
		this.site.enableEvacuations();
		startEntry(1);
		awaitServing();
		this.site.evacuate(EmulatedSite.FAILURE_DOMAIN);
		await("requests are refused", () -> call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]).status() == 503);
		int before = plain.executedRequests().size();
		HttpResponse refused = call("GET", "/lookup/x", EmulatedSite.KEY, new byte[0]);
		assertThat(refused.status(), Matchers.equalTo(503));
		assertThat(plain.executedRequests().size(), Matchers.equalTo(before));
		this.site.endEvacuation(EmulatedSite.FAILURE_DOMAIN);
		awaitServing();
	}

	// A leaving entry must no longer be advertised by its peer, must still serve callers
	// that have its address, and must end before the timeout.
	@Test
	void aLeavingEntryIsNoLongerAdvertisedAndStillServes() throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		DirectProcess first = startEntry(1);
		startEntry(2);
		awaitServing();
		await("both entries are advertised",
				() -> resolveEntries(2).contains("127.7.1.1") && resolveEntries(2).contains("127.7.1.2"));
		first.leave();
		await("the leaving entry is no longer advertised", () -> !resolveEntries(2).contains("127.7.1.1"));
		assertThat(callStream().status(), Matchers.equalTo(200));
		first.leave().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	// Guards against a race: the hello of a new peer is read after the leaving frame was
	// sent to all known peers. A new peer that receives no leaving frame advertises the
	// leaving entry until the link breaks.
	@Test
	void aPeerThatConnectsToALeavingEntryIsNotified() throws Exception {
		this.site.addEngine(1);
		this.site.addPlainRunner();
		DirectProcess leaving = startEntry(1);
		awaitServing();
		SiteSettings settings = this.localSite.provider().settings(this.localSite.writeEntrySettings(1));
		CompletableFuture<Link> opened = new CompletableFuture<>();
		CompletableFuture<Frame> received = new CompletableFuture<>();
		try (Links links = Links.plain(1)) {
			links
				.connect(new InetSocketAddress(settings.host(), settings.linkPort()),
						new FrameRecorder(opened, Frame.BodyCase.LEAVING, received))
				.join();
			leaving.leave();
			await("the entry advertises no entries", () -> resolveEntries(1).isEmpty());
			Hello hello = Hello.newBuilder().setVm("late-entry").setRole(Role.ENTRY).build();
			opened.join().send(Frame.newBuilder().setHello(hello).build());
			assertThat(received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getBodyCase(),
					Matchers.equalTo(Frame.BodyCase.LEAVING));
		}
	}

	// Entries measure the delay of the link to an engine's VM by echoes, and send no
	// requests to an engine whose echo is overdue.
	@Test
	void anAgentAnswersAnEchoRequest() throws Exception {
		this.site.addEngine(1);
		startAgent(1);
		SiteSettings settings = this.localSite.provider().settings(this.localSite.writeAgentSettings(1));
		CompletableFuture<Link> opened = new CompletableFuture<>();
		CompletableFuture<Frame> received = new CompletableFuture<>();
		try (Links links = Links.plain(1)) {
			links
				.connect(new InetSocketAddress(settings.host(), settings.linkPort()),
						new FrameRecorder(opened, Frame.BodyCase.ECHO, received))
				.join();
			opened.join().send(Frame.newBuilder().setEchoRequest(EchoRequest.newBuilder().setStamp(42)).build());
			assertThat(received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getEcho().getStamp(), Matchers.equalTo(42L));
		}
	}

	private String resolveEntries(int entry) {
		URI target = URI.create("http://127.7.1." + entry + ":" + (this.site.port() + 2)
				+ "/v1/resolution?name=desk.example&region=here&zone=hall-a");
		return new String(this.localSite.caller().call(HttpCall.of("GET", target, Duration.ofSeconds(2))).join().body(),
				StandardCharsets.UTF_8);
	}

	/**
	 * Sends nothing and records the first frame of one type.
	 *
	 * @param opened completes with the link when it is open
	 * @param expectedFrame the type of the frame to record
	 * @param received completes with the frame, or fails when the link closes without it
	 */
	private record FrameRecorder(CompletableFuture<Link> opened, Frame.BodyCase expectedFrame,
			CompletableFuture<Frame> received) implements LinkHandler {

		@Override
		public void onOpen(Link link) {
			this.opened.complete(link);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (frame.getBodyCase() == this.expectedFrame) {
				this.received.complete(frame);
			}
		}

		@Override
		public void onClosed(Link link) {
			this.received
				.completeExceptionally(new IllegalStateException("link closed before the expected frame was received"));
		}

	}

}
