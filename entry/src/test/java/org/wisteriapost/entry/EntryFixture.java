package org.wisteriapost.entry;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.wisteriapost.entry.process.EntryProcess;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.policy.bundle.ServiceSpec;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.VmList;

/**
 * An entry with fakes of its platform and VM list, and a fake agent for each service.
 */
final class EntryFixture implements AutoCloseable {

	static final String TOKEN = "token-of-baobab";

	static final Duration TIMEOUT = Duration.ofSeconds(20);

	static final Bundle FIRST = bundle("1", "aa");

	static final String DIGEST = FIRST.weightsDigest(FIRST.services().getFirst());

	private static final String CHAT = "{\"model\":\"lm\",\"stream\":%s,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";

	private final Links links = Links.plain(2);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final LongPollingPlatform platform = new LongPollingPlatform();

	private final List<VmList.Vm> vms = new CopyOnWriteArrayList<>();

	private final FakeAgent model = FakeAgent.start(this.links, "e1", "lm", DIGEST);

	private final FakeAgent plain = FakeAgent.start(this.links, "s1", "registry", "");

	private EntryProcess entry;

	private EntryFixture() {
	}

	static EntryFixture start(String... settings) {
		EntryFixture fixture = new EntryFixture();
		fixture.roll(1, FIRST);
		fixture.vms.add(fixture.model.vmListEntry(false));
		fixture.vms.add(fixture.plain.vmListEntry(false));
		fixture.entry = fixture.startEntry("n1", settings);
		fixture.vms.add(fixture.vmListEntry("n1", fixture.entry, false));
		await(() -> fixture.entry.view().ready() && fixture.chat("probe", false).join().status() == 200
				&& fixture.call("GET", "/services/registry/probe", "").join().status() == 200);
		fixture.model.calls().clear();
		fixture.plain.calls().clear();
		return fixture;
	}

	static Bundle bundle(String version, String chunk) {
		WeightFile file = new WeightFile("lm-weights", version, "/lm", "etag-" + version, 10, 10, List.of(chunk));
		ServiceSpec lm = new ServiceSpec("lm", ServiceSpec.Kind.MODEL, "lm-weights", List.of(), List.of("p1"),
				List.of(), 1);
		ServiceSpec registry = new ServiceSpec("registry", ServiceSpec.Kind.PLAIN, "", List.of(), List.of("p1"),
				List.of(), 1);
		return new Bundle("b", version, List.of(lm, registry), List.of(file));
	}

	static void await(BooleanSupplier condition) {
		long until = System.nanoTime() + TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - until > 0) {
				throw new AssertionError("condition not met within " + TIMEOUT);
			}
			LockSupport.parkNanos(2_000_000);
		}
	}

	/** Starts another entry with the same platform and VM list. */
	EntryProcess startEntry(String vm, String... settings) {
		return startEntry(vm, this.platform, settings);
	}

	EntryProcess startEntry(String vm, Platform store, String... settings) {
		String text = """
				[process]
				vm = %s
				place = p1
				[entry]
				http-host = 127.0.0.1
				link-host = 127.0.0.1
				%s
				[organisation baobab]
				token = %s
				""".formatted(vm, String.join("\n", settings), TOKEN);
		return EntryProcess.start(Settings.parse("test.ini", text), store, new MutableVmList(), this.links);
	}

	VmList.Vm vmListEntry(String vm, EntryProcess process, boolean leaving) {
		return new VmList.Vm(vm, "p1", "r1", "entry", "", "127.0.0.1", process.linkPort(), process.httpPort(), leaving);
	}

	void roll(long generation, Bundle bundle) {
		byte[] bytes = BundleCodec.encode(bundle);
		String digest = Digests.sha256(bytes);
		this.platform.put("bundles/" + digest, bytes, new Platform.Precondition.Anything()).join();
		Head head = new Head(generation, digest, "amy", 0, "n" + generation);
		this.platform.put("head", BundleCodec.encode(head), new Platform.Precondition.Anything()).join();
	}

	CompletableFuture<HttpResponse> chat(String prompt, boolean stream, String... headers) {
		return call("POST", "/v1/chat/completions", CHAT.formatted(stream, prompt), headers);
	}

	CompletableFuture<HttpResponse> call(String method, String path, String body, String... headers) {
		return call(this.entry, method, path, body, headers);
	}

	CompletableFuture<HttpResponse> call(EntryProcess to, String method, String path, String body, String... headers) {
		HttpCall call = HttpCall.of(method, uri(to, path), TIMEOUT)
			.header("Authorization", "Bearer " + TOKEN)
			.header(CallerHeaders.DEADLINE, "15000");
		for (int i = 0; i < headers.length; i += 2) {
			call = call.header(headers[i], headers[i + 1]);
		}
		return this.caller.call(body.isEmpty() ? call : call.body(body.getBytes(StandardCharsets.UTF_8)));
	}

	URI uri(EntryProcess to, String path) {
		return URI.create("http://127.0.0.1:" + to.httpPort() + path);
	}

	static String text(HttpResponse reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

	static String outcome(HttpResponse reply) {
		return reply.header(CallerHeaders.OUTCOME).orElse("absent");
	}

	EntryProcess entry() {
		return this.entry;
	}

	FakeAgent model() {
		return this.model;
	}

	FakeAgent plain() {
		return this.plain;
	}

	LongPollingPlatform platform() {
		return this.platform;
	}

	List<VmList.Vm> vms() {
		return this.vms;
	}

	PooledHttpClient caller() {
		return this.caller;
	}

	@Override
	public void close() {
		this.entry.close();
		this.model.close();
		this.plain.close();
		this.platform.close();
		this.caller.close();
		this.links.close();
	}

	private final class MutableVmList implements VmList {

		@Override
		public CompletableFuture<List<Vm>> read() {
			return CompletableFuture.completedFuture(List.copyOf(EntryFixture.this.vms));
		}

		@Override
		public void close() {
		}

	}

}
