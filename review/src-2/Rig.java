import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small site on loopback addresses: the platform's store, model runners with their staged weights, runners of a plain
 * service, the origin of weights, and clients. The entries and agents are the project's own processes, started with the
 * commands of deploy/system.toml. Written from PROTOCOL.md, SYSTEM.md, DEPLOY.md and PAGES-NEWS.md.
 */
public class Rig {

	static final String MODEL = "m0";

	static final String HOST = "desk.example";

	static final String KEY = "key-one";

	static final int CHUNKS = 64;

	static final int CHUNK_BYTES = 32_768;

	static final int LAYERS = 16;

	static final int DRAIN_MS = 2000;

	static final int CONTACT_MS = 3000;

	// A script may run for 120 s.
	static final int MAX_MS = 116_000;

	static final int HISTORY_MS = 20_000;

	// Three check-in intervals.
	static final int SILENCE_MS = 3600;

	final Path repo;

	final Path work;

	final PrintWriter record;

	final boolean trouble;

	final long startNanos = System.nanoTime();

	final int port;

	final String net;

	final Store store = new Store();

	final List<Process> processes = Collections.synchronizedList(new ArrayList<>());

	final List<Runner> runners = new ArrayList<>();

	int entries;

	long configVersion = 1;

	boolean furtherRoute;

	volatile boolean closed;

	Server origin;

	// When the link of the origin is free again.
	private long originFreeNanos = System.nanoTime();

	Rig(Path repo, Path work, PrintWriter record, boolean trouble) throws Exception {
		this.repo = repo;
		this.work = work;
		this.record = record;
		this.trouble = trouble;
		Random random = new Random();
		this.net = "127." + (20 + random.nextInt(200)) + ".";
		this.port = freePort(random);
		new Server(storeIp(), this.port, this.store::handle);
		this.origin = new Server(originIp(), this.port, this::origin);
	}

	String storeIp() {
		return this.net + "0.1";
	}

	String originIp() {
		return this.net + "0.2";
	}

	String entryIp(int number) {
		return this.net + "1." + number;
	}

	int freePort(Random random) {
		while (true) {
			int first = 20000 + random.nextInt(10000);
			boolean free = true;
			for (int i = 0; i < 8 && free; i++) {
				try (ServerSocket probe = new ServerSocket()) {
					probe.bind(new InetSocketAddress(storeIp(), first + i));
				}
				catch (IOException ex) {
					free = false;
				}
			}
			if (free) {
				return first;
			}
		}
	}

	long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
	}

	void log(String line) {
		synchronized (this.record) {
			this.record.println(String.format("%7.3f ", millis() / 1000.0) + line);
			this.record.flush();
		}
	}

	// The project's processes.

	List<String> command(String role) throws IOException {
		boolean within = false;
		for (String line : Files.readAllLines(this.repo.resolve("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				within = line.trim().equals("[roles." + role + "]");
			}
			else if (within && line.startsWith("run = ")) {
				String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
				return new ArrayList<>(List.of(text.split(" ")));
			}
		}
		throw new IOException("no role " + role);
	}

	Process start(String role, String name, String settings) throws IOException {
		Path file = Files.writeString(this.work.resolve(name + ".json"), settings);
		ProcessBuilder builder = new ProcessBuilder(command(role)).directory(this.repo.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.work.resolve(name + ".log").toFile()));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("WISTERIAPOST_SETTINGS", file.toString());
		Process process = builder.start();
		this.processes.add(process);
		log("start " + name + " pid " + process.pid());
		return process;
	}

	String common(String name, String role, String machine, String ip, String listen, double cpu, int memory,
			double link) {
		return "{\"nodeName\":\"" + name + "\",\"role\":\"" + role + "\",\"machineClass\":\"" + machine
				+ "\",\"ip\":\"" + ip + "\",\"zone\":\"hall-a\",\"region\":\"here\",\"zones\":{\"hall-a\":\"here\"},"
				+ "\"listen\":{" + listen + "},\"internalPortRange\":[" + (this.port + 4) + "," + (this.port + 19)
				+ "],\"seeds\":[],\"bootstrap\":true,\"faultCounted\":false,\"limits\":{\"cpuShare\":" + cpu
				+ ",\"cpuCores\":1,\"memoryMb\":" + memory + ",\"maxFds\":4200,\"linkMbps\":" + link
				+ ",\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"registry\",\"heartbeatMs\":1200,"
				+ "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"],"
				+ "\"faultTolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
				+ "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,"
				+ "\"lossSlackMs\":200,\"configApplyMs\":2000,\"downgradeSlackMs\":250,\"partitionBoundMs\":5000,\"revokeStrict\":false,"
				+ "\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"retryWindowS\":10,\"retryExtra\":100,\"recoveryS\":12,\"eventDelayMs\":120,"
				+ "\"retryAfterS\":0,\"version_ms\":8000,\"version_all_ms\":0,\"ttl_max_s\":5},"
				+ "\"platform\":{\"address\":\"" + storeIp() + ":" + this.port
				+ "\",\"form\":\"objects\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}";
	}

	Process startEntry(int number) throws IOException {
		this.entries = Math.max(this.entries, number);
		String ip = entryIp(number);
		String listen = "\"frontend\":\"" + ip + ":" + this.port + "\",\"readiness\":\"" + ip + ":" + (this.port + 1)
				+ "\",\"directory\":\"" + ip + ":" + (this.port + 2) + "\"";
		return start("entry", "edge-" + number, common("edge-" + number, "entry", "edge", ip, listen, 0.75, 430, 1000)
				+ ",\"serves\":[\"edge\",\"registry\"]}");
	}

	Process startAgent(Runner runner) throws IOException {
		String name = "side-" + runner.id;
		return start("agent", name, common(name, "agent", "side", runner.ip, "", 0.9, 298, 7.6)
				+ ",\"serves\":[\"side\"],\"app\":\"" + runner.ip + ":" + this.port + "\",\"service\":\"" + runner.service
				+ "\"}");
	}

	void awaitReady() throws Exception {
		long end = millis() + 30000;
		for (int number = 1; number <= this.entries; number++) {
			while (true) {
				if (millis() > end) {
					throw new IllegalStateException("edge-" + number + " isn't ready");
				}
				try (Socket socket = new Socket()) {
					socket.connect(new InetSocketAddress(entryIp(number), this.port + 1), 500);
					socket.setSoTimeout(1000);
					socket.getOutputStream()
						.write(("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
					Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), true, null);
					if (answer.status() == 200) {
						break;
					}
				}
				catch (IOException ex) {
					// Not yet.
				}
				Thread.sleep(100);
			}
		}
		log("all entries are ready");
	}

	void close() {
		this.closed = true;
		this.processes.forEach(Process::destroyForcibly);
		this.processes.forEach((process) -> {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	// The operator.

	void configure() {
		this.configVersion += 3;
		String routes = route("draft", "streaming", "lm", 2, 6000, 500, 1,
				",\"streamResume\":true,\"targetGapMs\":400,\"sessionAffinity\":true") + ","
				+ route("lookup", "idempotent", "registry", 2, 2000, 300, 2, "") + ","
				+ route("hold", "non_idempotent", "registry", 1, 2000, 300, 2, "")
				+ (this.furtherRoute ? "," + route("further", "streaming", "lm", 2, 6000, 500, 1,
						",\"streamResume\":true,\"targetGapMs\":400,\"sessionAffinity\":true") : "");
		String engine = "{\"slots\":16,\"kvCapacityTokens\":317000,\"stride\":5,\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,"
				+ "\"read_per_s\":20700,\"pairs_per_m\":1.18,\"chunk\":2048,\"report_lag_ms\":200,\"usual\":{\"prompt\":900,\"answer\":100},"
				+ "\"models\":[{\"name\":\"" + MODEL + "\",\"warmupS\":0.3,\"layers\":" + LAYERS + "}]}";
		this.store.put("config", "main", "{\"version\":" + this.configVersion + ",\"routes\":[" + routes
				+ "],\"services\":[{\"name\":\"lm\",\"maxConnections\":334,\"engine\":" + engine
				+ "},{\"name\":\"registry\",\"maxConnections\":200},{\"name\":\"weights\",\"origin\":\"" + originIp() + ":"
				+ this.port + "\",\"linkMbps\":9.9,\"maxConnections\":48}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"org-one\",\"apiKeys\":[\""
				+ KEY + "\"]}]}");
	}

	static String route(String name, String type, String service, int attempts, int timeout, int target, int priority,
			String more) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + name + "/\",\"routeType\":\""
				+ type + "\",\"timeoutMs\":" + timeout + ",\"targetLatencyMs\":" + target + ",\"priority\":" + priority
				+ ",\"service\":\"" + service + "\",\"maxAttempts\":" + attempts + ",\"anonymous\":false" + more + "}";
	}

	void nameWeights(int version) {
		this.store.put("versions", MODEL, "{\"model\":\"" + MODEL + "\",\"version\":" + version + "}");
	}

	// The origin of weights.

	static byte[] chunk(int version, int index) {
		byte[] bytes = new byte[CHUNK_BYTES];
		new Random(version * 1000L + index).nextBytes(bytes);
		return bytes;
	}

	static String sha256(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (java.security.NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// 9.9 Mbit/s for all callers together.
	void spendOriginLink(int bytes) throws InterruptedException {
		long until;
		synchronized (this) {
			long free = Math.max(this.originFreeNanos, System.nanoTime());
			this.originFreeNanos = free + (long) (bytes * 8 / 9.9e6 * 1e9);
			until = this.originFreeNanos;
		}
		Thread.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
	}

	Message origin(Message request, Socket socket) throws Exception {
		int version = Integer.parseInt(request.query("version", "1"));
		if (request.path().startsWith("/v1/piece/")) {
			spendOriginLink(CHUNK_BYTES);
			return Message.answer(200, chunk(version, Integer.parseInt(request.query("sampleCount", "0"))));
		}
		StringBuilder digests = new StringBuilder();
		for (int i = 0; i < CHUNKS; i++) {
			digests.append((i > 0) ? "," : "").append('"').append(sha256(chunk(version, i))).append('"');
		}
		return Message.json(200, "{\"model\":\"" + MODEL + "\",\"version\":" + version + ",\"chunkBytes\":" + CHUNK_BYTES
				+ ",\"layers\":" + LAYERS + ",\"digests\":[" + digests + "]}");
	}

	// Clients.

	record Answer(int status, int events, String body, String failure, Map<String, String> headers) {
	}

	static String attempt() {
		return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
	}

	Answer call(int entry, String method, String path, String attempt, String parts, byte[] body, int deadlineMs) {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + HOST
				+ "\r\nX-Wisteriapost-Attempt-Id: " + attempt + "\r\nX-Wisteriapost-Deadline-Ms: " + deadlineMs
				+ "\r\nAuthorization: Bearer " + KEY + "\r\n");
		if (parts != null) {
			int tokens = Arrays.stream(parts.split(",")).mapToInt((one) -> Integer.parseInt(one.split(":")[1])).sum();
			head.append("X-Wisteriapost-Model-Id: " + MODEL + "\r\nX-Wisteriapost-Token-Counts: " + tokens
					+ ",60\r\nX-Wisteriapost-Prefix-Hash: " + parts + "\r\n");
		}
		if (body.length > 0 || !method.equals("GET")) {
			head.append("Content-Length: " + body.length + "\r\n");
		}
		head.append("\r\n");
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(entryIp(entry), this.port), 1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(deadlineMs + 1000);
			OutputStream out = socket.getOutputStream();
			out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
			out.write(body);
			out.flush();
			Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), true, null);
			String text = new String(answer.body, StandardCharsets.UTF_8);
			int events = (int) text.lines().filter((line) -> line.startsWith("id:")).count();
			return new Answer(answer.status(), events, text, "", answer.headers);
		}
		catch (IOException ex) {
			return new Answer(0, 0, "", String.valueOf(ex), Map.of());
		}
	}

	// HTTP.

	static final class Message {

		String first = "";

		final Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		boolean close;

		static Message answer(int status, byte[] body) {
			Message message = new Message();
			message.first = "HTTP/1.1 " + status + " X";
			message.body = body;
			return message;
		}

		static Message json(int status, String text) {
			Message message = answer(status, text.getBytes(StandardCharsets.UTF_8));
			message.headers.put("content-type", "application/json");
			return message;
		}

		Message with(String name, String value) {
			this.headers.put(name, value);
			return this;
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		String path() {
			return target().split("\\?")[0];
		}

		String query(String name, String fallback) {
			String[] halves = target().split("\\?", 2);
			if (halves.length > 1) {
				for (String one : halves[1].split("&")) {
					if (one.startsWith(name + "=")) {
						return one.substring(name.length() + 1);
					}
				}
			}
			return fallback;
		}

		static String line(InputStream in) throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			int next = in.read();
			if (next < 0) {
				throw new EOFException("end");
			}
			while (next != '\n') {
				if (next < 0) {
					throw new EOFException("end within a line");
				}
				if (next != '\r') {
					bytes.write(next);
				}
				next = in.read();
			}
			return bytes.toString(StandardCharsets.ISO_8859_1);
		}

		static byte[] exactly(InputStream in, int count) throws IOException {
			byte[] bytes = in.readNBytes(count);
			if (bytes.length < count) {
				throw new EOFException("end within a body");
			}
			return bytes;
		}

		static Message read(InputStream in, boolean answer, Runnable headRead) throws IOException {
			Message message = new Message();
			message.first = line(in);
			for (String line = line(in); !line.isEmpty(); line = line(in)) {
				int colon = line.indexOf(':');
				message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
			}
			if (headRead != null) {
				headRead.run();
			}
			if (message.headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
				ByteArrayOutputStream body = new ByteArrayOutputStream();
				while (true) {
					int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
					if (size == 0) {
						line(in);
						break;
					}
					body.write(exactly(in, size));
					line(in);
				}
				message.body = body.toByteArray();
			}
			else if (message.headers.containsKey("content-length")) {
				message.body = exactly(in, Integer.parseInt(message.headers.get("content-length")));
			}
			else if (answer) {
				message.body = in.readAllBytes();
			}
			return message;
		}

		void write(OutputStream out) throws IOException {
			StringBuilder head = new StringBuilder(this.first + "\r\n");
			this.headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
			head.append("content-length: " + this.body.length + "\r\n\r\n");
			out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			out.write(this.body);
			out.flush();
		}

	}

	interface Handler {

		/** Returns the answer, or null if it was written or the channel is to be closed. */
		Message handle(Message request, Socket socket) throws Exception;

	}

	final class Server {

		final ServerSocket listener = new ServerSocket();

		final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

		Server(String ip, int port, Handler handler) throws IOException {
			this.listener.setReuseAddress(true);
			this.listener.bind(new InetSocketAddress(ip, port), 512);
			Thread.ofVirtual().start(() -> {
				while (!this.listener.isClosed()) {
					try {
						Socket socket = this.listener.accept();
						this.sockets.add(socket);
						Thread.ofVirtual().start(() -> serve(socket, handler));
					}
					catch (IOException ex) {
						return;
					}
				}
			});
		}

		private void serve(Socket socket, Handler handler) {
			try (socket) {
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = new BufferedOutputStream(socket.getOutputStream());
				while (true) {
					Message request = Message.read(in, false, null);
					Message answer = handler.handle(request, socket);
					if (answer != null) {
						answer.write(out);
					}
					if (socket.isClosed() || (answer != null && answer.close)) {
						return;
					}
				}
			}
			catch (Exception ex) {
				// The channel ends.
			}
			finally {
				this.sockets.remove(socket);
			}
		}

		// As the end of the process does.
		void kill() throws IOException {
			this.listener.close();
			for (Socket socket : this.sockets) {
				try {
					socket.setSoLinger(true, 0);
					socket.close();
				}
				catch (IOException ex) {
					// Closed already.
				}
			}
		}

	}

	// The platform's store.

	record Event(long revision, String kind, String name, String json, boolean deleted, long atMs) {
	}

	final class Store {

		private final Map<String, TreeMap<String, Event>> kinds = new TreeMap<>();

		private final List<Event> history = new ArrayList<>();

		private long revision = 100;

		private long forgotten;

		synchronized void put(String kind, String name, String spec) {
			this.revision++;
			String json = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + this.revision + ",\"created\":"
					+ this.revision + ",\"finalizers\":[],\"deletionPending\":false},\"spec\":" + spec + ",\"status\":{}}";
			Event event = new Event(this.revision, kind, name, json, false, millis());
			this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).put(name, event);
			this.history.add(event);
			notifyAll();
		}

		synchronized boolean remove(String kind, String name) {
			Event old = this.kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
			if (old == null) {
				return false;
			}
			this.revision++;
			this.history.add(new Event(this.revision, kind, name, old.json, true, millis()));
			notifyAll();
			return true;
		}

		Message handle(Message request, Socket socket) throws Exception {
			String[] path = request.path().split("/");
			String kind = path[3];
			String body = new String(request.body, StandardCharsets.UTF_8);
			switch (request.method()) {
				case "GET" -> {
					String watch = request.query("watch", null);
					return (watch != null)
							? watch(kind, Long.parseLong(watch), Long.parseLong(request.query("waitMs", "0")))
							: list(kind, request.query("after", null));
				}
				case "PUT" -> {
					synchronized (this) {
						if (!this.kinds.getOrDefault(kind, new TreeMap<>()).containsKey(path[4])) {
							return Message.json(404, "{}");
						}
						put(kind, path[4], member(body, "spec"));
						return Message.json(200, "{}");
					}
				}
				case "POST" -> {
					String name = member(member(body, "metadata"), "name").replace("\"", "");
					put(kind, name, member(body, "spec"));
					return Message.json(201, "{}");
				}
				case "DELETE" -> {
					return Message.json(remove(kind, path[4]) ? 200 : 404, "{}");
				}
				default -> {
					return Message.json(405, "{}");
				}
			}
		}

		private synchronized Message list(String kind, String after) {
			TreeMap<String, Event> all = this.kinds.getOrDefault(kind, new TreeMap<>());
			Map<String, Event> rest = (after != null) ? all.tailMap(after, false) : all;
			StringBuilder items = new StringBuilder();
			rest.values().forEach((event) -> items.append(items.isEmpty() ? "" : ",").append(event.json));
			return Message.json(200, "{\"items\":[" + items + "],\"hasMore\":false,\"at\":" + this.revision + "}");
		}

		private synchronized Message watch(String kind, long since, long waitMs) throws InterruptedException {
			while (!this.history.isEmpty() && millis() - this.history.getFirst().atMs > HISTORY_MS) {
				this.forgotten = this.history.removeFirst().revision;
			}
			if (since < this.forgotten) {
				return Message.json(410, "{}");
			}
			long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
			while (System.nanoTime() < end
					&& this.history.stream().noneMatch((one) -> one.kind.equals(kind) && one.revision > since)) {
				wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
			}
			StringBuilder events = new StringBuilder();
			this.history.stream().filter((one) -> one.kind.equals(kind) && one.revision > since).forEach((one) -> events
				.append(events.isEmpty() ? "" : ",")
				.append("{\"object\":" + one.json + ",\"deleted\":" + one.deleted + "}"));
			return Message.json(200, "{\"events\":[" + events + "],\"at\":" + this.revision + "}");
		}

		// The text of a member of a JSON object.
		private static String member(String json, String name) {
			int at = json.indexOf("\"" + name + "\"");
			int from = json.indexOf(':', at) + 1;
			int depth = 0;
			boolean text = false;
			for (int i = from; i < json.length(); i++) {
				char next = json.charAt(i);
				if (text) {
					if (next == '\\') {
						i++;
					}
					else if (next == '"') {
						text = false;
					}
				}
				else if (next == '"') {
					text = true;
				}
				else if (next == '{' || next == '[') {
					depth++;
				}
				else if (next == '}' || next == ']' || next == ',') {
					if (depth == 0) {
						return json.substring(from, i).trim();
					}
					depth -= (next == ',') ? 0 : 1;
				}
			}
			return "{}";
		}

	}

	// Runners.

	record Arrival(long atMs, String attempt, String parts, boolean ran, int version) {
	}

	final class Runner {

		final String id;

		final String service;

		final String ip;

		final boolean engine;

		final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();

		final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());

		final Set<String> crashingParts = ConcurrentHashMap.newKeySet();

		// Requests that wrote their first token.
		final List<Arrival> begun = Collections.synchronizedList(new ArrayList<>());

		final List<Long> crashes = Collections.synchronizedList(new ArrayList<>());

		final AtomicInteger active = new AtomicInteger();

		volatile Server server;

		volatile long born;

		volatile int version;

		volatile int sequence;

		volatile int loading;

		volatile String state = "ready";

		volatile String poison;

		// The version of the weights from which on the request crashes the runner.
		volatile int poisonFrom = 1;

		// After its start the runner checks in this much later.
		volatile int firstCheckInMs;

		volatile int backMs = 4000;

		volatile int events = 12;

		volatile int workMs = 20;

		Runner(String id, String service, String ip, int version) throws IOException, InterruptedException {
			this.id = id;
			this.service = service;
			this.ip = ip;
			this.engine = service.equals("lm");
			this.version = version;
			for (int i = 0; version > 0 && i < CHUNKS; i++) {
				this.staged.put(i, chunk(version, i));
			}
			begin();
		}

		void begin() throws IOException, InterruptedException {
			this.born = System.currentTimeMillis();
			this.server = new Server(this.ip, Rig.this.port, this::handle);
			Thread.sleep(this.firstCheckInMs);
			register();
		}

		void register() {
			Rig.this.store.put("servers", this.id, "{\"service\":\"" + this.service + "\",\"address\":\"" + this.ip + ":"
					+ Rig.this.port + "\",\"zone\":\"hall-a\",\"version\":\"1\",\"slots\":16,\"state\":\"" + this.state
					+ "\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + this.born + ",\"phase\":\"prefill_decode\",\"models\":"
					+ models() + "}");
		}

		String models() {
			return (this.version > 0) ? "[{\"name\":\"" + MODEL + "\",\"version\":" + this.version
					+ ",\"adapters\":[],\"layers\":[{\"from\":0,\"to\":" + LAYERS + ",\"version\":" + this.version + "}]}]"
					: "[]";
		}

		// After what is running, without accepting anything new.
		void load(int wanted, long incarnation) {
			try {
				while (this.active.get() > 0) {
					Thread.sleep(10);
				}
				Thread.sleep(300);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				if (this.server != null && this.born == incarnation && this.loading == wanted) {
					this.version = wanted;
					this.loading = 0;
					log(this.id + " serves version " + wanted);
					register();
				}
			}
		}

		// The process ends at once and is back some seconds later, under the same id and without weights.
		void crash(String why) {
			synchronized (this) {
				if (this.server == null) {
					return;
				}
				this.crashes.add(millis());
				log("crash " + this.id + " " + why);
				try {
					this.server.kill();
				}
				catch (IOException ex) {
					// Ends all the same.
				}
				this.server = null;
			}
			expire(this.id, () -> this.server == null);
			Thread.ofVirtual().start(() -> {
				try {
					Thread.sleep(this.backMs);
					this.version = 0;
					this.sequence = 0;
					this.loading = 0;
					if (!Rig.this.closed) {
						begin();
						log("back " + this.id);
					}
				}
				catch (InterruptedException | IOException ex) {
					log("not back " + this.id + " " + ex);
				}
			});
		}

		Message handle(Message request, Socket socket) throws Exception {
			String path = request.path();
			if (path.equals("/v1/report")) {
				return echo(request, Message.json(200,
						"{\"phase\":\"prefill_decode\",\"models\":" + models() + ",\"busy\":" + (this.loading > 0)
								+ ",\"sequence\":" + this.sequence + ",\"queued\":0,\"active\":" + this.active.get()
								+ ",\"kvUsed\":0,\"kvTotal\":317000,\"kvHandles\":0,\"pace\":1.0,\"born\":" + this.born + "}"));
			}
			if (path.equals("/v1/order")) {
				return echo(request, order(new String(request.body, StandardCharsets.UTF_8)));
			}
			if (path.startsWith("/v1/stage-put/")) {
				this.staged.put(Integer.parseInt(request.query("sampleCount", "0")), request.body);
				return echo(request, Message.json(200, "{}"));
			}
			if (path.startsWith("/v1/stage-get/")) {
				String number = request.query("sampleCount", null);
				if (number == null) {
					return echo(request, Message.json(200, "{\"held\":" + new ArrayList<>(this.staged.keySet()) + "}"));
				}
				byte[] bytes = this.staged.get(Integer.parseInt(number));
				return echo(request, (bytes != null) ? Message.answer(200, bytes) : Message.json(404, "{}"));
			}
			return serve(request, socket);
		}

		private synchronized Message order(String body) {
			String precondition = Store.member(body, "precondition");
			if (this.loading > 0 || (!precondition.equals("{}") && Integer.parseInt(precondition) != this.sequence)) {
				return Message.json(409, "{}");
			}
			int wanted = Integer.parseInt(Store.member(body, "version"));
			for (int i = 0; i < CHUNKS; i++) {
				if (!Arrays.equals(this.staged.get(i), chunk(wanted, i))) {
					log("WHOLE " + this.id + " takes a layer whose piece " + i + " isn't of version " + wanted);
				}
			}
			this.sequence++;
			this.loading = wanted;
			log(this.id + " accepts the order to take version " + wanted);
			long incarnation = this.born;
			Thread.ofVirtual().start(() -> load(wanted, incarnation));
			return Message.json(202, "{}");
		}

		private Message echo(Message request, Message answer) {
			String attempt = request.headers.get("x-wisteriapost-attempt-id");
			return (attempt != null) ? answer.with("X-Wisteriapost-Attempt-Id", attempt) : answer;
		}

		private Message notRun(Message request, int status) {
			this.arrivals.add(new Arrival(millis(), request.headers.get("x-wisteriapost-attempt-id"),
					request.headers.getOrDefault("x-wisteriapost-prefix-hash", ""), false, this.version));
			return echo(request, Message.json(status, "{}")).with("X-Wisteriapost-Not-Executed", "1");
		}

		private Message serve(Message request, Socket socket) throws Exception {
			String attempt = request.headers.get("x-wisteriapost-attempt-id");
			if (attempt == null) {
				return Message.json(400, "{}").with("X-Wisteriapost-Not-Executed", "1");
			}
			String expected = request.headers.get("x-wisteriapost-expected-instance");
			if (expected != null && !expected.equals(this.id)) {
				return notRun(request, 421);
			}
			if (this.engine) {
				String wanted = request.headers.get("x-wisteriapost-expected-version");
				if (this.version == 0 || this.loading > 0
						|| (wanted != null && Integer.parseInt(wanted) != this.version)) {
					return notRun(request, 421);
				}
			}
			String parts = request.headers.getOrDefault("x-wisteriapost-prefix-hash", "");
			this.arrivals.add(new Arrival(millis(), attempt, parts, true, this.version));
			this.active.incrementAndGet();
			try {
				return this.engine ? stream(request, attempt, parts, socket) : plain(request, attempt);
			}
			finally {
				this.active.decrementAndGet();
			}
		}

		private Message plain(Message request, String attempt) throws Exception {
			Thread.sleep(this.workMs);
			return echo(request, Message.answer(200, ("answer to " + attempt + " ").repeat(20).getBytes()))
				.with("X-Wisteriapost-Response-Signature", "proof-" + this.id);
		}

		private Message stream(Message request, String attempt, String parts, Socket socket) throws Exception {
			Thread.sleep(60);
			for (String part : parts.split(",")) {
				if (this.crashingParts.contains(part.split(":")[0])) {
					crash("by " + attempt);
					return null;
				}
			}
			if (this.poison != null && this.version >= this.poisonFrom && new String(request.body, StandardCharsets.UTF_8).equals(this.poison)) {
				crash("by " + attempt);
				return null;
			}
			this.begun.add(new Arrival(millis(), attempt, parts, true, this.version));
			int first = Integer.parseInt(request.headers.getOrDefault("last-event-id", "0")) + 1;
			OutputStream out = socket.getOutputStream();
			out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Wisteriapost-Attempt-Id: "
					+ attempt + "\r\nX-Wisteriapost-Weight-Versions: " + this.version
					+ "\r\nX-Wisteriapost-Response-Signature: proof-" + this.id + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			for (int event = first; event <= this.events; event++) {
				String text = "id: " + event + "\ndata: tokens of " + event + "\n\n";
				out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
				out.flush();
				Thread.sleep(50);
			}
			out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			out.flush();
			return null;
		}

	}

	// The platform removes an entry after three check-in intervals of silence.
	void expire(String id, java.util.function.BooleanSupplier silent) {
		Thread.ofVirtual().start(() -> {
			try {
				Thread.sleep(SILENCE_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
			if (silent.getAsBoolean() && this.store.remove("servers", id)) {
				log("the store has removed " + id + " for silence");
			}
		});
	}

	Runner addRunner(String id, String service, int number, int version) throws IOException, InterruptedException {
		Runner runner = new Runner(id, service, this.net + (service.equals("lm") ? "2." : "3.") + number, version);
		this.runners.add(runner);
		return runner;
	}

	// Cases.

	public static void main(String[] args) throws Exception {
		Path repo = Path.of(args[1]).toAbsolutePath();
		Path work = Path.of(args[2]).toAbsolutePath();
		int result = 2;
		Files.createDirectories(work);
		try (PrintWriter record = new PrintWriter(args[3], StandardCharsets.UTF_8)) {
			boolean trouble = !"0".equals(System.getenv("TROUBLE"));
			Rig rig;
			try {
				rig = new Rig(repo, work, record, trouble);
			}
			catch (Exception ex) {
				record.println("the case couldn't run: " + ex);
				record.flush();
				System.exit(2);
				return;
			}
			Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
			Thread.ofPlatform().daemon().start(() -> {
				try {
					Thread.sleep(MAX_MS);
				}
				catch (InterruptedException ex) {
					return;
				}
				rig.log("the case couldn't run: it takes too long");
				System.exit(2);
			});
			rig.log("case " + args[0] + ", trouble " + trouble);
			try {
				boolean broken = switch (args[0]) {
					case "entry" -> rig.unreadableEntry();
					case "again" -> rig.startedAgain();
					case "kept" -> rig.keptChannels();
					case "many" -> rig.manyParts();
					case "sudden" -> rig.crashesOnNewWeights();
					default -> throw new IllegalArgumentException(args[0]);
				};
				rig.log(broken ? "RESULT the rule is broken" : "RESULT the rule held");
				result = broken ? 1 : 0;
			}
			catch (Exception | Error ex) {
				rig.log("the case couldn't run: " + ex);
			}
			rig.close();
		}
		System.exit(result);
	}

	final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

	void count(String what) {
		this.counts.computeIfAbsent(what, (key) -> new AtomicInteger()).incrementAndGet();
	}

	void traffic(long untilMs, int everyMs, Runnable one) {
		Thread.ofVirtual().start(() -> {
			while (millis() < untilMs && !this.closed) {
				Thread.ofVirtual().start(one);
				try {
					Thread.sleep(everyMs);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		});
	}

	void lookup() {
		String attempt = attempt();
		int entry = 1 + ThreadLocalRandom.current().nextInt(this.entries);
		long sent = millis();
		Answer answer = call(entry, "GET", "/lookup/x", attempt, null, new byte[0], 4000);
		log("client lookup " + attempt + " edge-" + entry + " sent " + sent + " took " + (millis() - sent) + " status " + answer.status + answer.failure);
		count("lookup " + answer.status);
	}

	// DRAIN beside an entry of another writer.
	boolean unreadableEntry() throws Exception {
		configure();
		Runner leaving = addRunner("plain-1", "registry", 1, 0);
		addRunner("plain-2", "registry", 2, 0);
		addRunner("plain-3", "registry", 3, 0);
		for (int i = 1; i <= 3; i++) {
			startEntry(i);
		}
		awaitReady();
		long zero = millis();
		traffic(zero + 24000, 50, this::lookup);
		Thread.sleep(5000);
		if (this.trouble) {
			this.store.put("servers", "other-1", "{\"service\":\"registry\",\"address\":\"" + this.net + "3.9:" + this.port
					+ "\",\"zone\":\"hall-a\",\"version\":\"1\",\"slots\":" + "9".repeat(1001)
					+ ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}");
			log("another writer's entry other-1 is in the store");
			expire("other-1", () -> true);
		}
		Thread.sleep(4000);
		leaving.state = "draining";
		leaving.register();
		long acknowledged = millis();
		log("the store has accepted that plain-1 is draining");
		Thread.sleep(12000);
		long late = leaving.arrivals.stream().filter((one) -> one.ran && one.atMs > acknowledged + DRAIN_MS).count();
		leaving.arrivals.forEach((one) -> log("plain-1 at " + one.atMs + " " + one.attempt));
		log("clients: " + this.counts);
		log("requests that ran on plain-1 later than " + DRAIN_MS + " ms after the acknowledgement: " + late);
		return late > 0;
	}

	// CONFIG after the runners of a service have drained and started again under their ids.
	boolean startedAgain() throws Exception {
		configure();
		nameWeights(1);
		for (int i = 1; i <= 3; i++) {
			addRunner("lm-" + i, "lm", i, 1);
		}
		addRunner("plain-1", "registry", 1, 0);
		addRunner("plain-2", "registry", 2, 0);
		for (int i = 1; i <= 2; i++) {
			startEntry(i);
		}
		List<Runner> engines = this.runners.stream().filter((runner) -> runner.engine).toList();
		for (Runner runner : engines) {
			startAgent(runner);
		}
		awaitReady();
		Thread.sleep(5000);
		long end = millis() + 60000;
		traffic(end, 50, this::lookup);
		traffic(end, 200, () -> draft("draft"));
		Thread.sleep(4000);
		for (Runner runner : this.trouble ? engines : List.<Runner>of()) {
			runner.state = "draining";
			runner.register();
			log("the store has accepted that " + runner.id + " is draining");
			Thread.sleep(4000);
			runner.state = "ready";
			runner.backMs = 1000;
			runner.firstCheckInMs = 1000;
			runner.crash("planned end");
			Thread.sleep(6000);
		}
		Thread.sleep(5000);
		this.furtherRoute = true;
		configure();
		log("the store has accepted a configuration with the route further");
		Thread.sleep(5000);
		this.counts.clear();
		log("steady from here");
		traffic(millis() + 10000, 100, () -> draft("further"));
		Thread.sleep(16000);
		double further = share("further ");
		double first = share("lookup ", "draft ");
		log("clients: " + new TreeMap<>(this.counts));
		log("served: of the requests on the route that was added later " + further + ", of those on the first routes " + first);
		return total("further ") >= 20 && further < first / 4;
	}

	int total(String... routes) {
		return this.counts.entrySet()
			.stream()
			.filter((one) -> Arrays.stream(routes).anyMatch((route) -> one.getKey().startsWith(route)))
			.mapToInt((one) -> one.getValue().get())
			.sum();
	}

	double share(String... routes) {
		int served = this.counts.entrySet()
			.stream()
			.filter((one) -> Arrays.stream(routes).anyMatch((route) -> one.getKey().startsWith(route))
					&& one.getKey().endsWith(" 200"))
			.mapToInt((one) -> one.getValue().get())
			.sum();
		return (double) served / Math.max(1, total(routes));
	}

	void draft(String route) {
		String attempt = attempt();
		int entry = 1 + ThreadLocalRandom.current().nextInt(this.entries);
		long sent = millis();
		Answer answer = call(entry, "POST", "/" + route + "/x", attempt, "5c1e07a2:40," + attempt() + ":650",
				("prompt " + attempt).getBytes(), 6000);
		log("client " + route + " " + attempt + " edge-" + entry + " sent " + sent + " status " + answer.status + " events "
				+ answer.events + " version " + answer.headers.get("x-wisteriapost-weight-versions") + answer.failure);
		count(route + " " + answer.status);
	}

	record Ended(long sentMs, long tookMs, boolean answered) {
	}

	// CONFIG at an entry whose clients keep their channels.
	boolean keptChannels() throws Exception {
		configure();
		for (int i = 1; i <= 3; i++) {
			addRunner("plain-" + i, "registry", i, 0).workMs = 10;
		}
		Process entry = startEntry(1);
		awaitReady();
		Thread.sleep(1000);
		int clients = 98;
		int usual = 150;
		long zero = millis();
		long calmFrom = zero + 80000;
		long end = zero + 100000;
		Queue<Ended> all = new ConcurrentLinkedQueue<>();
		for (int client = 0; client < clients; client++) {
			long phase = 1000L * client / usual;
			Thread.ofVirtual().start(() -> keptChannel(zero + phase, end, (double) usual / clients, calmFrom, all));
		}
		long next = zero + 5000;
		while (millis() < end + 4000) {
			Thread.sleep(100);
			if (millis() > next) {
				log("answered " + all.stream().filter(Ended::answered).count() + ", not " + all.stream().filter((one) -> !one.answered).count()
						+ ", entry alive " + entry.isAlive());
				next += 5000;
			}
		}
		// 5 s after the last burst, and contactMs more.
		List<Ended> judged = all.stream()
			.filter((one) -> one.sentMs > calmFrom + 5000 + CONTACT_MS && one.sentMs < end - 3000)
			.toList();
		judged.forEach((one) -> log("client sent " + one.sentMs + ", took " + one.tookMs + ", answered " + one.answered));
		log("sent in all " + all.size() + ", answered " + all.stream().filter(Ended::answered).count() + ", run by the runners "
				+ this.runners.stream().mapToInt((runner) -> runner.arrivals.size()).sum());
		long late = judged.stream().filter((one) -> one.tookMs > 2000).count();
		long none = judged.stream().filter((one) -> one.tookMs > 2500).count();
		log("sent from " + (calmFrom + 5000 + CONTACT_MS) + " to " + (end - 3000) + ": " + judged.size() + ", unanswered at the route's timeoutMs: " + late
				+ ", of these without an answer half a second later: " + none);
		return none >= 20 && none * 2 > late;
	}

	// Bursts of 1.7 times the usual rate for 3 s in every 4 s.
	double factor(long atMs, long zeroMs, long calmFrom) {
		return (this.trouble && atMs < calmFrom && (atMs - zeroMs) % 4000 < 3000) ? 1.7 : 1;
	}

	void keptChannel(long first, long end, double perSecond, long calmFrom, Queue<Ended> all) {
		byte[] body = "b".repeat(3600).getBytes(StandardCharsets.US_ASCII);
		double next = first;
		while (millis() < end) {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(entryIp(1), this.port), 1000);
				socket.setTcpNoDelay(true);
				socket.setSoTimeout(4000);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				while (millis() < end) {
					Thread.sleep(Math.max(0, (long) next - millis()));
					next = Math.max(next, millis() - 1000) + 1000 / (perSecond * factor(millis(), first, calmFrom));
					long sent = millis();
					boolean answered = false;
					try {
						socket.getOutputStream()
							.write(("POST /hold/x HTTP/1.1\r\nHost: " + HOST + "\r\nX-Wisteriapost-Attempt-Id: " + attempt()
									+ "\r\nX-Wisteriapost-Deadline-Ms: 4000\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: "
									+ body.length + "\r\n\r\n" + new String(body, StandardCharsets.US_ASCII))
								.getBytes(StandardCharsets.US_ASCII));
						Message.read(in, true, null);
						answered = true;
					}
					finally {
						all.add(new Ended(sent, millis() - sent, answered));
					}
				}
			}
			catch (IOException | InterruptedException ex) {
				// Goes on with another channel.
			}
		}
	}

	record Sound(long sentMs, String attempt) {
	}

	// LOST and BUDGET with a part that crashes runners, in prompts of many parts.
	boolean manyParts() throws Exception {
		configure();
		nameWeights(1);
		for (int i = 1; i <= 4; i++) {
			addRunner("lm-" + i, "lm", i, 1);
		}
		for (int i = 1; i <= 3; i++) {
			startEntry(i);
		}
		for (Runner runner : this.runners) {
			startAgent(runner);
		}
		awaitReady();
		Thread.sleep(6000);
		List<Sound> sound = Collections.synchronizedList(new ArrayList<>());
		// The parts that all requests share.
		StringBuilder shared = new StringBuilder("5c1e07a2:40");
		for (int i = 0; i < 68; i++) {
			shared.append("," + attempt() + ":8");
		}
		long zero = millis();
		long end = zero + 70000;
		traffic(end, 100, () -> {
			String attempt = attempt();
			int entry = 1 + ThreadLocalRandom.current().nextInt(this.entries);
			sound.add(new Sound(millis(), attempt));
			Answer answer = call(entry, "POST", "/draft/x", attempt, shared + "," + attempt() + ":50",
					("prompt " + attempt).getBytes(), 6000);
			log("client sound " + attempt + " edge-" + entry + " status " + answer.status + " events " + answer.events
					+ answer.failure);
			count("sound " + answer.status);
		});
		Thread.sleep(10000);
		if (this.trouble) {
			this.runners.forEach((runner) -> runner.crashingParts.add("bad0bad0"));
		}
		long first = millis();
		for (int n = 0; millis() < end - 2000; n++) {
			int entry = 1 + n % this.entries;
			Thread.ofVirtual().start(() -> {
				String attempt = "bad" + attempt();
				Answer answer = call(entry, "POST", "/draft/x", attempt, shared + ",bad0bad0:100," + attempt() + ":50", ("prompt " + attempt).getBytes(), 6000);
				log("client bad-part " + attempt + " edge-" + entry + " status " + answer.status + " events " + answer.events + answer.failure);
			});
			Thread.sleep(1000);
		}
		Thread.sleep(3000);
		List<Long> crashes = new ArrayList<>();
		Set<String> begun = new java.util.HashSet<>();
		this.runners.forEach((runner) -> {
			crashes.addAll(runner.crashes);
			runner.begun.forEach((one) -> begun.add(one.attempt));
		});
		Collections.sort(crashes);
		log("clients: " + new TreeMap<>(this.counts));
		log("crashes at ms: " + crashes);
		// The fifth crash, or the last, if there are fewer.
		long from = (crashes.isEmpty() ? first : crashes.get(Math.min(4, crashes.size() - 1))) + 2 * CONTACT_MS;
		List<Sound> before = sound.stream().filter((one) -> one.sentMs < first).toList();
		List<Sound> after = sound.stream().filter((one) -> one.sentMs > from && one.sentMs < end - 2000).toList();
		double shareBefore = (double) before.stream().filter((one) -> begun.contains(one.attempt)).count() / before.size();
		double shareAfter = (double) after.stream().filter((one) -> begun.contains(one.attempt)).count() / after.size();
		long late = this.runners.stream().flatMap((runner) -> runner.arrivals.stream()).filter((one) -> one.ran && one.parts.contains("bad0bad0")
				&& crashes.size() >= 5 && one.atMs > crashes.get(4) + CONTACT_MS).count();
		log("requests with the part that reached runners later than " + CONTACT_MS + " ms after the fifth crash: " + late);
		log("sound requests that began: " + shareBefore + " of " + before.size() + " before, " + shareAfter + " of " + after.size()
				+ " from 2 x contactMs after the fifth crash on");
		return before.size() >= 20 && after.size() >= 20 && shareAfter < shareBefore / 2;
	}

	// BUDGET with a request that ran before the new weights.
	boolean crashesOnNewWeights() throws Exception {
		configure();
		nameWeights(1);
		for (int i = 1; i <= 6; i++) {
			addRunner("lm-" + i, "lm", i, 1);
		}
		for (int i = 1; i <= 3; i++) {
			startEntry(i);
		}
		for (Runner runner : this.runners) {
			startAgent(runner);
		}
		awaitReady();
		Thread.sleep(6000);
		traffic(millis() + 80000, 100, () -> draft("draft"));
		String poison = "prompt that crashes";
		if (this.trouble) {
			this.runners.forEach((runner) -> {
				runner.poisonFrom = 2;
				runner.poison = poison;
			});
		}
		long end = millis() + 60000;
		for (int n = 0; millis() < end; n++) {
			int entry = 1 + n % this.entries;
			Thread.ofVirtual().start(() -> poisonCall(entry, poison));
			Thread.sleep(1000);
			if (n == 5) {
				nameWeights(2);
				log("the store has accepted version 2");
			}
		}
		List<Long> crashes = new ArrayList<>();
		this.runners.forEach((runner) -> crashes.addAll(runner.crashes));
		Collections.sort(crashes);
		log("clients: " + new TreeMap<>(this.counts));
		log("crashes at ms: " + crashes);
		if (crashes.size() < 3) {
			return false;
		}
		long from = crashes.get(2) + CONTACT_MS;
		long late = this.runners.stream()
			.flatMap((runner) -> runner.arrivals.stream())
			.filter((one) -> one.ran && one.atMs > from && one.attempt.startsWith("bad"))
			.count();
		log("retries that reached runners later than " + CONTACT_MS + " ms after the third crash: " + late);
		return late > 3;
	}

	void poisonCall(int entry, String poison) {
		String attempt = "bad" + attempt();
		Answer answer = call(entry, "POST", "/draft/p", attempt, "5c1e07a2:40,77aa77aa:300", poison.getBytes(), 6000);
		log("client poison " + attempt + " edge-" + entry + " status " + answer.status + " " + answer.failure);
	}

}
