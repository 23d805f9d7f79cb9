import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Small stand-ins for the platform's store, runners, callers and the origin of weights, and
 * the processes of the deploy file. Everything listens on loopback addresses.
 */
final class Stand {

	static final Path ROOT = Path.of("").toAbsolutePath();

	private static final long START = System.nanoTime();

	private static final StringBuilder RECORD = new StringBuilder();

	private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

	private static final long MAX_RUN_MS = 116_000;

	private static volatile Path temporary;

	private static final List<Process> PROCESSES = new ArrayList<>();

	private Stand() {
	}

	// Record and small helpers.

	static double now() {
		return (System.nanoTime() - START) / 1e9;
	}

	static void record(String format, Object... values) {
		String line = String.format(Locale.ROOT, "%8.3f  ", now()) + String.format(Locale.ROOT, format, values);
		synchronized (RECORD) {
			RECORD.append(line).append('\n');
		}
	}

	static void writeRecord(String caseFolder) throws IOException {
		synchronized (RECORD) {
			Files.writeString(ROOT.resolve(caseFolder).resolve("record.txt"), RECORD.toString());
		}
	}

	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	static String attemptId() {
		return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
	}

	static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(host, 0));
			return socket.getLocalPort();
		}
	}

	/** Ends the process with the case's verdict, after the record and all processes. */
	static void finish(String caseFolder, int code, String verdict) {
		record("verdict: %s (exit %d)", verdict, code);
		System.out.println(verdict);
		endProcesses();
		try {
			writeRecord(caseFolder);
		}
		catch (IOException ex) {
			System.err.println(ex);
		}
		Runtime.getRuntime().halt(code);
	}

	// HTTP.

	static final class Message {

		String first = "";

		final Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		boolean complete;

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		String path() {
			return target().split("\\?")[0];
		}

		String query(String name) {
			String[] parts = target().split("\\?", 2);
			if (parts.length == 2) {
				for (String pair : parts[1].split("&")) {
					if (pair.startsWith(name + "=")) {
						return pair.substring(name.length() + 1);
					}
				}
			}
			return null;
		}

		int status() {
			return this.first.isEmpty() ? 0 : Integer.parseInt(this.first.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int one;
		while ((one = in.read()) >= 0) {
			if (one == '\n') {
				return line.toString(StandardCharsets.UTF_8).stripTrailing();
			}
			line.write(one);
		}
		if (line.size() > 0) {
			throw new EOFException("within a line");
		}
		return null;
	}

	/** Reads the head of a message; null at the end of the connection. */
	static Message head(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Message message = new Message();
		message.first = first;
		String header;
		while ((header = line(in)) != null && !header.isEmpty()) {
			int colon = header.indexOf(':');
			message.headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
		}
		if (header == null) {
			throw new EOFException("within a head");
		}
		return message;
	}

	static void body(InputStream in, Message message, boolean untilClose) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
				int size;
				do {
					String head = line(in);
					if (head == null) {
						return;
					}
					size = Integer.parseInt(head.split(";")[0].strip(), 16);
					byte[] chunk = in.readNBytes(size);
					bytes.writeBytes(chunk);
					if (chunk.length < size || line(in) == null) {
						return;
					}
				}
				while (size > 0);
				message.complete = true;
			}
			else if (message.header("content-length") != null) {
				int length = Integer.parseInt(message.header("content-length"));
				bytes.writeBytes(in.readNBytes(length));
				message.complete = bytes.size() == length;
			}
			else if (untilClose) {
				bytes.writeBytes(in.readAllBytes());
				message.complete = true;
			}
			else {
				message.complete = true;
			}
		}
		finally {
			message.body = bytes.toByteArray();
		}
	}

	interface Handler {

		void handle(Message request, Socket socket, InputStream in, OutputStream out) throws Exception;

	}

	/** Serves connections; the handler reads the body of each request. */
	static InetSocketAddress serve(String host, Handler handler) throws IOException {
		ServerSocket server = new ServerSocket();
		server.bind(new InetSocketAddress(host, 0), 1024);
		Thread.startVirtualThread(() -> {
			while (true) {
				try {
					Socket socket = server.accept();
					socket.setTcpNoDelay(true);
					Thread.startVirtualThread(() -> connection(socket, handler));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
		return (InetSocketAddress) server.getLocalSocketAddress();
	}

	private static void connection(Socket socket, Handler handler) {
		try (socket) {
			InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			Message request;
			while ((request = head(in)) != null) {
				handler.handle(request, socket, in, out);
			}
		}
		catch (Exception ex) {
			// The connection ends.
		}
	}

	static byte[] response(int status, String headers, byte[] body) {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.UTF_8));
		all.writeBytes(body);
		return all.toByteArray();
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/** Sends one request on a connection of its own and reads the answer. */
	static Message call(InetSocketAddress to, String method, String target, String headers, byte[] body, int timeoutMs)
			throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(to, 1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(timeoutMs);
			socket.getOutputStream().write(requestBytes(method, target, headers, body));
			InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
			Message answer = head(in);
			if (answer == null) {
				throw new EOFException("closed without an answer");
			}
			body(in, answer, true);
			return answer;
		}
	}

	static byte[] requestBytes(String method, String target, String headers, byte[] body) {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(bytes(method + " " + target + " HTTP/1.1\r\n" + headers
				+ ((body.length > 0 || !method.equals("GET")) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n"));
		all.writeBytes(body);
		return all.toByteArray();
	}

	// The platform's store.

	static final class Store {

		private record Item(long revision, String spec) {
		}

		private record Event(long revision, String kind, String object, boolean deleted) {
		}

		private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();

		private final List<Event> history = new ArrayList<>();

		private long revision = 100;

		// Stated in all answers.
		private int era = 1;

		private volatile boolean away;

		InetSocketAddress address;

		static Store start(String host) throws IOException {
			Store store = new Store();
			store.address = serve(host, store::handle);
			return store;
		}

		private static String object(String name, Item item) {
			return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + item.revision + "},\"spec\":" + item.spec
					+ ",\"status\":null}";
		}

		synchronized long put(String kind, String name, String spec) {
			Item item = new Item(++this.revision, spec);
			this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).put(name, item);
			this.history.add(new Event(item.revision, kind, object(name, item), false));
			notifyAll();
			return item.revision;
		}

		synchronized void remove(String kind, String name) {
			Item item = this.kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
			if (item != null) {
				this.revision++;
				this.history.add(new Event(this.revision, kind, object(name, item), true));
				notifyAll();
			}
		}

		synchronized int count(String kind) {
			return this.kinds.getOrDefault(kind, new TreeMap<>()).size();
		}

		/** Returns a function that brings the store back as it is now, with the next era. */
		synchronized Runnable copy() {
			Map<String, TreeMap<String, Item>> objects = new HashMap<>();
			this.kinds.forEach((kind, items) -> objects.put(kind, new TreeMap<>(items)));
			List<Event> events = new ArrayList<>(this.history);
			long copied = this.revision;
			return () -> {
				synchronized (this) {
					this.kinds.clear();
					this.kinds.putAll(objects);
					this.history.clear();
					this.history.addAll(events);
					this.revision = copied;
					this.era++;
					notifyAll();
				}
			};
		}

		synchronized void setAway(boolean away) {
			this.away = away;
			notifyAll();
		}

		private void handle(Message request, Socket socket, InputStream in, OutputStream out) throws Exception {
			body(in, request, false);
			if (this.away) {
				socket.close();
				return;
			}
			String[] parts = request.path().split("/");
			String kind = (parts.length > 3) ? parts[3] : "";
			String name = (parts.length > 4) ? parts[4] : "";
			String json = "Content-Type: application/json\r\nStore-Era: " + this.era + "\r\n";
			switch (request.method()) {
				case "GET" -> {
					String watch = request.query("watch");
					int before = this.era;
					String answer = (watch != null)
							? watch(kind, Long.parseLong(watch), Long.parseLong(request.query("waitMs"))) : list(kind);
					if (this.away || this.era != before) {
						// Cut off while it waited.
						socket.close();
						return;
					}
					out.write((answer != null) ? response(200, json, bytes(answer)) : response(410, json, bytes("{}")));
				}
				case "PUT", "POST" -> {
					String text = request.text();
					if (request.method().equals("POST")) {
						name = text.replaceFirst("(?s).*\"name\"\\s*:\\s*\"([^\"]*)\".*", "$1");
					}
					boolean known;
					synchronized (this) {
						known = this.kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name);
					}
					if (known != request.method().equals("PUT")) {
						out.write(response(known ? 409 : 404, json, bytes("{}")));
						return;
					}
					put(kind, name, member(text, "spec"));
					out.write(response(200, json, bytes("{}")));
				}
				case "DELETE" -> {
					remove(kind, name);
					out.write(response(200, json, bytes("{}")));
				}
				default -> out.write(response(400, json, bytes("{}")));
			}
		}

		// The JSON object that is the value of a field.
		private static String member(String text, String field) {
			int from = text.indexOf('{', text.indexOf("\"" + field + "\""));
			int depth = 0;
			for (int i = from; i < text.length(); i++) {
				depth += (text.charAt(i) == '{') ? 1 : (text.charAt(i) == '}') ? -1 : 0;
				if (depth == 0) {
					return text.substring(from, i + 1);
				}
			}
			throw new IllegalArgumentException(text);
		}

		private synchronized String list(String kind) {
			List<String> items = new ArrayList<>();
			this.kinds.getOrDefault(kind, new TreeMap<>()).forEach((name, item) -> items.add(object(name, item)));
			return "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"at\":" + this.revision + "}";
		}

		private synchronized String watch(String kind, long from, long waitMs) throws InterruptedException {
			long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
			int before = this.era;
			if (from > this.revision) {
				return null;
			}
			while (true) {
				if (this.away || this.era != before) {
					return "";
				}
				List<String> events = new ArrayList<>();
				for (Event event : this.history) {
					if (event.revision > from && event.kind.equals(kind)) {
						events.add("{\"deleted\":" + event.deleted + ",\"object\":" + event.object + "}");
					}
				}
				long rest = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
				if (!events.isEmpty() || rest <= 0) {
					return "{\"events\":[" + String.join(",", events) + "],\"at\":" + this.revision + "}";
				}
				wait(rest);
			}
		}

	}

	/** Registers a runner and repeats it as often as a runner does. */
	static void register(Store store, String id, String service, InetSocketAddress at, int slots,
			java.util.function.Supplier<String> models) {
		AtomicLong sequence = new AtomicLong();
		long born = System.currentTimeMillis();
		Runnable write = () -> store.put("servers", id,
				"{\"service\":\"" + service + "\",\"address\":\"" + text(at)
						+ "\",\"zone\":\"clyde-a\",\"version\":\"v1\",\"slots\":" + slots
						+ ",\"state\":\"ready\",\"coldRemainingMs\":0,\"phase\":\"prefill_decode\",\"models\":[" + models.get()
						+ "],\"sequence\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}");
		write.run();
		Thread.startVirtualThread(() -> {
			while (true) {
				sleep(1200);
				write.run();
			}
		});
	}

	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	// Processes of the deploy file.

	record Entry(String name, InetSocketAddress front, InetSocketAddress ready, Process process) {

		boolean isReady() {
			try {
				return call(this.ready, "GET", "/v1/readyz", "Host: x\r\n", new byte[0], 1000).status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

	static Entry startEntry(String name, String host, Store store, Path folder) throws IOException {
		return startEntry(name, host, internalPorts(host), store, folder);
	}

	static Entry startEntry(String name, String host, int internal, Store store, Path folder) throws IOException {
		int front = freePort(host);
		int ready = freePort(host);
		int directory = freePort(host);
		String settings = """
				{"nodeName":"%s","role":"entry","machineClass":"edge","serves":["edge","registry"],"ip":"%s",
				 "zone":"clyde-a","region":"clyde","zones":{"clyde-a":"clyde","oban-a":"oban","skye-a":"skye"},
				 "listen":{"frontend":"%s:%d","readiness":"%s:%d","directory":"%s:%d"},
				 "internalPortRange":[%d,%d],"seeds":[],"bootstrap":true,"faultCounted":false,
				 "limits":{"cpuShare":0.75,"cpuCores":1,"memoryMb":430,"maxFds":4200,"linkMbps":1000.0,"diskMb":0},
				 "dataDir":null,"discovery":"platform","entry":"registry","heartbeatMs":1200,
				 "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"],
				 "faultTolerance":{"machines":2,"zones":0,"regions":0},
				 "bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
				  "lossSlackMs":200,"configApplyMs":2000,"downgradeSlackMs":250,"partitionBoundMs":5000,"revokeStrict":false,
				  "revokeMs":5000,"retryBudgetRatio":0.2,"retryWindowS":10,"retryExtra":100,"recoveryS":12,"eventDelayMs":120,
				  "retryAfterS":0,"version_ms":8000,"version_all_ms":0,"ttl_max_s":5},
				 "platform":{"address":"%s","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,
				  "valueBytes":1048576,"ttlMinMs":1000}}
				""".formatted(name, host, host, front, host, ready, host, directory, internal, internal + 15,
				text(store.address));
		Process process = start("entry", name, settings, folder);
		return new Entry(name, new InetSocketAddress(host, front), new InetSocketAddress(host, ready), process);
	}

	/** Starts the agent on the machine of a model runner. */
	static Process startAgent(String name, InetSocketAddress runner, String service, int internal, Store store, Path folder)
			throws IOException {
		String settings = """
				{"nodeName":"%s","role":"agent","machineClass":"side","serves":["side"],"ip":"%s",
				 "zone":"clyde-a","region":"clyde","zones":{"clyde-a":"clyde","oban-a":"oban","skye-a":"skye"},
				 "listen":{},"internalPortRange":[%d,%d],"seeds":[],"bootstrap":true,"faultCounted":false,
				 "limits":{"cpuShare":0.9,"cpuCores":1,"memoryMb":298,"maxFds":1494,"linkMbps":5.32,"diskMb":0},
				 "dataDir":null,"discovery":"platform","entry":"registry","heartbeatMs":1200,
				 "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"],
				 "faultTolerance":{"machines":2,"zones":0,"regions":0},
				 "bounds":{"contactMs":3000,"drainMs":2000,"graceS":8,"configApplyMs":2000,"retryBudgetRatio":0.2,
				  "retryWindowS":10,"retryExtra":100,"version_ms":8000,"version_all_ms":0,"ttl_max_s":5},
				 "app":"%s","service":"%s",
				 "platform":{"address":"%s","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,
				  "valueBytes":1048576,"ttlMinMs":1000}}
				""".formatted(name, runner.getAddress().getHostAddress(), internal, internal + 15, text(runner), service,
				text(store.address));
		return start("agent", name, settings, folder);
	}

	// Two ports next to each other: links and the admin server.
	static int internalPorts(String host) throws IOException {
		while (true) {
			int first = freePort(host);
			try (ServerSocket next = new ServerSocket()) {
				next.bind(new InetSocketAddress(host, first + 1));
				return first;
			}
			catch (IOException ex) {
				// Taken; another pair.
			}
		}
	}

	/** Starts a role with the command of the deploy file and its environment. */
	static Process start(String role, String name, String settings, Path folder) throws IOException {
		Path file = Files.writeString(folder.resolve(name + ".json"), settings);
		String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
		String run = deploy.substring(deploy.indexOf("[roles." + role + "]"));
		run = run.substring(run.indexOf("run = \"") + 7);
		run = run.substring(0, run.indexOf('"'));
		ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" "))).directory(ROOT.toFile());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("WISTERIAPOST_SETTINGS", file.toString());
		builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
		Process process = builder.start();
		synchronized (PROCESSES) {
			PROCESSES.add(process);
		}
		record("started %s", name);
		return process;
	}

	private static void endProcesses() {
		synchronized (PROCESSES) {
			PROCESSES.forEach(Process::destroyForcibly);
			PROCESSES.forEach((process) -> process.onExit().join());
		}
		deleteTemporary();
	}

	static boolean await(long millis, java.util.function.BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < end) {
			if (condition.getAsBoolean()) {
				return true;
			}
			sleep(25);
		}
		return condition.getAsBoolean();
	}

	/**
	 * Prepares a case: its processes end with it in any case, and a failure of the script
	 * itself is no verdict. Returns a folder for settings and logs.
	 */
	static Path prepare(String caseFolder) throws IOException {
		Runtime.getRuntime().addShutdownHook(new Thread(Stand::endProcesses));
		Thread.startVirtualThread(() -> {
			sleep(MAX_RUN_MS);
			finish(caseFolder, 2, "the case took too long");
		});
		Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
			failure.printStackTrace();
			finish(caseFolder, 2, "the case could not run: " + failure);
		});
		Path folder = Files.createTempDirectory("review");
		temporary = folder;
		return folder;
	}

	private static void deleteTemporary() {
		java.io.File[] files = (temporary != null) ? temporary.toFile().listFiles() : null;
		if (files != null) {
			for (java.io.File file : files) {
				file.delete();
			}
			temporary.toFile().delete();
		}
	}

}
