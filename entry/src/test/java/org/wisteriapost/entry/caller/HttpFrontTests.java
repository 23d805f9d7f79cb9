package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.routing.RejectionPermit;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpReply;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A caller is told for good that its token is no one's, or that there is no such service,
 * by what may be old: a file of tokens that could not be read, a bundle that was replaced
 * while the answer was made.
 */
class HttpFrontTests {

	private static final Duration LONG = Duration.ofSeconds(20);

	@TempDir
	private Path folder;

	private final HttpCaller caller = HttpCaller.create(1);

	private final Port port = new Port();

	private Organisations organisations;

	private HttpFront front;

	@BeforeEach
	void start() {
		Settings settings = Settings.parse("test.ini", """
				[process]
				vm = n1
				place = p1
				[organisation baobab]
				token-file = %s
				[organisation kelpie]
				token = token-of-kelpie
				""".formatted(file()));
		this.organisations = Organisations.of(settings);
		this.front = HttpFront.start(new InetSocketAddress("127.0.0.1", 0), FrontLimits.of(settings),
				this.organisations, this.port, Optional.empty());
	}

	@AfterEach
	void stop() {
		this.front.close();
		this.caller.close();
	}

	private Path file() {
		return this.folder.resolve("baobab.token");
	}

	private HttpReply get(String authorization) {
		URI uri = URI.create("http://127.0.0.1:" + this.front.port() + "/services/newer/x");
		return this.caller.call(HttpCall.of("GET", uri, LONG).header("Authorization", authorization)).join();
	}

	private static void says(HttpReply reply, int status, String code) {
		assertThat(new String(reply.body(), StandardCharsets.UTF_8),
				Matchers.containsString("\"code\":\"" + code + "\""));
		assertThat(reply.status(), Matchers.equalTo(status));
		assertThat(reply.header("Retry-After").isPresent(), Matchers.equalTo(status == 503));
	}

	private static ServiceView view(long generation, boolean mayReject) {
		long now = System.nanoTime();
		RejectionPermit rejections = mayReject
				? new RejectionPermit(OptionalLong.of(now + LONG.toNanos()), now, System.currentTimeMillis())
				: RejectionPermit.NONE;
		return new ServiceView(generation, Map.of(), List.of(), false, true, rejections);
	}

	// The file is there a moment later, and the token in it.
	@Test
	void aTokenIsNotRejectedWhileAFileOfTokensCouldNotBeRead() throws IOException {
		says(get("Bearer token-of-baobab"), 503, "token-doubtful");
		says(get("Bearer token-of-kelpie"), 503, "bundle-absent");
		Files.writeString(file(), "token-of-baobab\n");
		this.organisations.reload();
		says(get("Bearer token-of-baobab"), 503, "bundle-absent");
		says(get("Bearer other"), 401, "token-unknown");
	}

	// It is wrong whatever the files hold.
	@ParameterizedTest
	@CsvSource({ "Basic x", "Bearer" })
	void whatIsNoTokenIsRejectedAtOnce(String authorization) {
		says(get(authorization), 401, "token-unknown");
	}

	// The bundle that lacks the service may be old, the next one was just confirmed.
	@Test
	void whatABundleLacksIsRejectedByTheAgeOfThatBundle() {
		this.port.views.add(view(1, false));
		this.port.views.add(view(1, false));
		this.port.views.add(view(2, true));
		says(get("Bearer token-of-kelpie"), 503, "bundle-doubtful");
		says(get("Bearer token-of-kelpie"), 404, "service-unknown");
	}

	/** Shows each view once, the last one over and over. */
	private static final class Port implements FrontPort {

		private final Queue<ServiceView> views = new ConcurrentLinkedQueue<>();

		@Override
		public boolean submit(CallerCall call) {
			return false;
		}

		@Override
		public void gone(long id) {
		}

		@Override
		public void turnedAway(String code) {
		}

		@Override
		public ServiceView view() {
			return Optional.ofNullable((this.views.size() > 1) ? this.views.poll() : this.views.peek())
				.orElse(ServiceView.EMPTY);
		}

	}

}
