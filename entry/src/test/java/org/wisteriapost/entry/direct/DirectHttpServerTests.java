package org.wisteriapost.entry.direct;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.region.DirectoryQuery;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.site.CallProtocol;
import org.wisteriapost.protocol.site.CallerRequestFields;
import org.wisteriapost.protocol.site.RunnerRequestFields;
import org.wisteriapost.protocol.site.RunnerResponseFields;
import org.wisteriapost.protocol.site.SiteSettings;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An oversized request is rejected only by a recently confirmed limit. By a limit that
 * may be stale it is refused as not run, since the limit may have been raised.
 */
class DirectHttpServerTests {

	private static final CallLimits SMALL = limits(100);

	private static final CallLimits LARGE = limits(10_000);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final FakeEntry entry = new FakeEntry();

	private final DirectHttpServer server = DirectHttpServer.start(settings(), new MinimalDialect(),
			this.caller.worker(), this.entry);

	@AfterEach
	void stop() {
		this.server.close();
		this.caller.close();
	}

	private static CallLimits limits(long bodyBytes) {
		return new CallLimits(1000, bodyBytes, Duration.ofSeconds(3), Duration.ofSeconds(15));
	}

	private static SiteSettings settings() {
		return new SiteSettings("a", "127.0.0.1", "p1", "r1", Optional.of(new InetSocketAddress("127.0.0.1", 0)),
				Optional.empty(), Optional.of(new InetSocketAddress("127.0.0.1", 0)), 1, 1,
				URI.create("http://store.example"), Optional.empty(), "", 1_000_000,
				new SiteSettings.Guarantees(Duration.ofSeconds(8), Duration.ofSeconds(3), Duration.ofSeconds(8), 0.2,
						100, Duration.ofSeconds(10), Duration.ofSeconds(3)));
	}

	// Uses a plain socket: an HTTP client that is still sending a large body may see a
	// connection reset instead of the answer.
	private Answer post(String headers, String body) throws IOException {
		return exchange(this.server.ports().getFirst(),
				"POST /x/ HTTP/1.1\r\nHost: desk.example\r\n" + headers + "\r\n\r\n" + body);
	}

	private static Answer exchange(int port, String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			BufferedReader reader = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			int status = Integer.parseInt(reader.readLine().split(" ")[1]);
			Map<String, String> fields = new HashMap<>();
			for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
				fields.put(line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT),
						line.substring(line.indexOf(':') + 1).trim());
			}
			char[] text = new char[Integer.parseInt(fields.get("content-length"))];
			int read = 0;
			while (read < text.length) {
				read += reader.read(text, read, text.length - read);
			}
			return new Answer(status, fields, new String(text));
		}
	}

	private Answer postChunked(int bytes) throws IOException {
		return post("Transfer-Encoding: chunked",
				Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n0\r\n\r\n");
	}

	private Answer postContentLength(int bytes) throws IOException {
		return post("Content-Length: " + bytes, "");
	}

	@ParameterizedTest
	@CsvSource({ "HEAD,true,431", "HEAD,false,503", "BODY,true,413", "BODY,false,503", "STREAMED,true,413",
			"STREAMED,false,503" })
	void oversizedRequestIsRejectedOnlyByARecentLimit(OversizedPart oversized, boolean recent, int status)
			throws IOException {
		this.entry.limits.add(SMALL);
		this.entry.mayReject = recent;
		Answer answer = switch (oversized) {
			case HEAD -> post("X-Large: " + "x".repeat(2000), "");
			case BODY -> postContentLength(1000);
			case STREAMED -> postChunked(1000);
		};
		assertThat(answer.status(), Matchers.equalTo(status));
		assertThat(answer.body(),
				Matchers.containsString(recent ? "too-large" : RequestAdmission.TABLE_DOUBTFUL.name()));
		assertThat(answer.headers().containsKey("retry-after"), Matchers.equalTo(!recent));
	}

	// The limit is raised while the body is received, which is read by the limit before.
	@Test
	void bodyIsNotRejectedByALimitRaisedDuringUpload() throws IOException {
		this.entry.limits.add(SMALL);
		this.entry.limits.add(LARGE);
		this.entry.mayReject = true;
		Answer answer = postChunked(1000);
		assertThat(answer.body(), Matchers.containsString(RequestAdmission.TABLE_DOUBTFUL.name()));
		assertThat(answer.status(), Matchers.equalTo(503));
	}

	// Guards against bodies within the declared limit that are rejected by a lower one of
	// the server's own.
	@ParameterizedTest
	@CsvSource({ "2000000", "3000000", "8000000", "8388607", "8388608" })
	void bodyOfTheDeclaredSizeIsAccepted(int bytes) throws IOException {
		this.entry.limits.add(limits(8 << 20));
		this.entry.mayReject = true;
		this.entry.accepts = true;
		assertThat(post("Content-Length: " + bytes, "x".repeat(bytes)).status(), Matchers.equalTo(200));
		assertThat(postChunked(bytes).status(), Matchers.equalTo(200));
		assertThat(this.entry.arrivedBytes, Matchers.contains(bytes, bytes));
	}

	// Until limits are known a default applies, by which nothing is rejected.
	@Test
	void nothingIsRejectedWhileLimitsAreUnknown() throws IOException {
		this.entry.mayReject = true;
		assertThat(postContentLength((4 << 20) + 1).status(), Matchers.equalTo(503));
	}

	@ParameterizedTest
	@CsvSource({ "'',,,", "?place=p1,,,p1", "?host=Desk.example:8080&area=lima,desk.example,lima,",
			"?host=desk.example%3A80&area=west%20coast&place=p1,desk.example,west coast,p1" })
	void directoryQueryNamesHostRegionAndFailureDomain(String query, String host, String region, String domain)
			throws IOException {
		exchange(this.server.ports().getLast(), "GET /directory" + query + " HTTP/1.1\r\nHost: desk.example\r\n\r\n");
		assertThat(this.entry.lastQuery, Matchers.equalTo(new DirectoryQuery(Optional.ofNullable(host),
				Optional.ofNullable(region), Optional.ofNullable(domain))));
	}

	private record Answer(int status, Map<String, String> headers, String body) {
	}

	enum OversizedPart {

		HEAD, BODY, STREAMED

	}

	/** Returns each of the given limits once, then keeps returning the last one. */
	private static final class FakeEntry implements EntryHandle {

		private final Queue<CallLimits> limits = new ConcurrentLinkedQueue<>();

		private final OpenAnswers openAnswers = new OpenAnswers();

		private final Queue<Integer> arrivedBytes = new ConcurrentLinkedQueue<>();

		private volatile boolean accepts;

		private volatile boolean mayReject;

		private volatile DirectoryQuery lastQuery;

		@Override
		public boolean offer(DirectEvent event) {
			if (this.accepts && event instanceof DirectEvent.RequestArrived arrived) {
				this.arrivedBytes.add(arrived.request().body().length);
				arrived.request().answer().complete(200, List.of(), "", new byte[] { 1 });
			}
			return this.accepts;
		}

		@Override
		public void put(DirectEvent event) {
		}

		@Override
		public boolean ready() {
			return true;
		}

		@Override
		public boolean leaving() {
			return false;
		}

		@Override
		public List<String> addresses(DirectoryQuery query) {
			this.lastQuery = query;
			return List.of();
		}

		@Override
		public Optional<CallLimits> limits() {
			return Optional.ofNullable((this.limits.size() > 1) ? this.limits.poll() : this.limits.peek());
		}

		@Override
		public OpenAnswers openAnswers() {
			return this.openAnswers;
		}

		@Override
		public boolean mayReject() {
			return this.mayReject;
		}

	}

	/** Supplies an attempt id and no other field. */
	private static final class MinimalDialect implements CallProtocol {

		@Override
		public CallerRequestFields parseRequest(Function<String, String> header) {
			return new CallerRequestFields(Optional.of("attempt"), OptionalLong.empty(), 0, 0, OptionalInt.empty(),
					Optional.empty(), Optional.empty());
		}

		@Override
		public boolean isReservedHeader(String name) {
			return false;
		}

		@Override
		public List<Map.Entry<String, String>> runnerHeaders(RunnerRequestFields call) {
			return List.of();
		}

		@Override
		public RunnerResponseFields parseResponse(int status, Map<String, String> headers) {
			return new RunnerResponseFields(Optional.empty(), false, false, false, Optional.empty(), Optional.empty(),
					OptionalInt.empty(), OptionalDouble.empty(), false);
		}

		@Override
		public String attemptHeader() {
			return "Attempt";
		}

		@Override
		public String directoryPath() {
			return "/directory";
		}

		@Override
		public String failureDomainParameter() {
			return "place";
		}

		@Override
		public String hostParameter() {
			return "host";
		}

		@Override
		public String regionParameter() {
			return "area";
		}

		@Override
		public String readinessPath() {
			return "/ready";
		}

		@Override
		public byte[] encodeDirectory(List<String> addresses, int keepSeconds) {
			return new byte[0];
		}

	}

}
