import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator raises maxBodyBytes to 4 MiB, and callers use it. Under TROUBLE=0 the limit
 * stays, and so do the bodies.
 */
final class RaisedLimit {

	private static final String CASE = "review/3";

	private static final int OLD_LIMIT = 1 << 20;

	private static final int NEW_LIMIT = 4 << 20;

	private static final int CONFIG_APPLY_MS = 2000;

	private static final AtomicInteger sent = new AtomicInteger();

	private static final AtomicInteger denied = new AtomicInteger();

	private static final AtomicInteger served = new AtomicInteger();

	private static final AtomicInteger other = new AtomicInteger();

	private static final Random random = new Random(57);

	private static volatile int largest = OLD_LIMIT;

	public static void main(String[] args) throws Exception {
		Path folder = Stand.temporaryFolder();
		Stand.Store store = Stand.Store.start("127.0.0.1");
		store.put("config", "main", config(3, OLD_LIMIT));
		for (int number = 1; number <= 3; number++) {
			String id = "i-desk" + number;
			InetSocketAddress at = Stand.serve("127.0.0.1", (request, socket, in, out) -> {
				Stand.body(in, request, false);
				String attempt = request.header("X-Wisteriapost-Attempt-Id");
				Stand.record("%s runs %s, %d bytes", id, attempt, request.body.length);
				Stand.sleep(60);
				out.write(Stand.response(200, "X-Wisteriapost-Attempt-Id: " + attempt
						+ "\r\nX-Wisteriapost-Response-Signature: " + id + "\r\n", Stand.bytes("held")));
			});
			Stand.register(store, id, "chartdesk", at, 6, () -> "");
		}
		List<Stand.Entry> entries = List.of(Stand.startEntry("edge-1", "127.0.0.1", store, folder),
				Stand.startEntry("edge-2", "127.0.0.1", store, folder));
		for (Stand.Entry entry : entries) {
			if (!Stand.await(30_000, entry::isReady)) {
				Stand.finish(CASE, 2, "an entry did not become ready");
			}
		}
		Stand.sleep(1500);
		List<Thread> callers = new ArrayList<>();
		requests(entries, 60, callers);
		if (Stand.trouble()) {
			store.put("config", "main", config(7, NEW_LIMIT));
			Stand.record("the store has acknowledged version 7, maxBodyBytes %d", NEW_LIMIT);
			// Callers use the new limit only when every machine in touch has to know it.
			requests(entries, (CONFIG_APPLY_MS + 1000) / 100, callers);
			largest = NEW_LIMIT;
		}
		requests(entries, 200, callers);
		for (Thread caller : callers) {
			caller.join();
		}
		boolean broken = denied.get() > 5 + sent.get() / 500;
		if (broken) {
			Stand.record("DENIED broken: %d of %d proper requests were ended with 413", denied.get(), sent.get());
		}
		Stand.finish(CASE, broken ? 1 : 0,
				"sent " + sent + ", served " + served + ", 413 " + denied + ", other " + other);
	}

	private static String config(int version, int maxBodyBytes) {
		return """
				{"version":%d,"routes":[{"name":"hold","host":"desk.example","pathPrefix":"/hold/","routeType":"non_idempotent",
				"timeoutMs":2000,"targetLatencyMs":388,"priority":2,"service":"chartdesk","maxAttempts":1,"anonymous":false}],
				"services":[{"name":"chartdesk","healthPath":"/healthz","maxConnections":48}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"firm","apiKeys":["key-one"],"priority":1}]}
				""".formatted(version, maxBodyBytes);
	}

	// Ten a second, with bodies of any size within the limit.
	private static void requests(List<Stand.Entry> entries, int count, List<Thread> callers) {
		for (int i = 0; i < count; i++) {
			byte[] body = new byte[1 + random.nextInt(largest)];
			Stand.Entry entry = entries.get(i % entries.size());
			callers.add(Thread.startVirtualThread(() -> send(entry, body)));
			Stand.sleep(100);
		}
	}

	private static void send(Stand.Entry entry, byte[] body) {
		String attempt = Stand.attemptId();
		Stand.record("sent %s to %s, %d bytes", attempt, entry.name(), body.length);
		sent.incrementAndGet();
		String result;
		try {
			int status = Stand.call(entry.front(), "POST", "/hold/x",
					"Host: desk.example\r\nX-Wisteriapost-Attempt-Id: " + attempt
							+ "\r\nX-Wisteriapost-Deadline-Ms: 4029\r\nAuthorization: Bearer key-one\r\n",
					body, 4029)
				.status();
			((status == 413) ? denied : (status == 200) ? served : other).incrementAndGet();
			result = Integer.toString(status);
		}
		catch (IOException ex) {
			other.incrementAndGet();
			result = ex.toString();
		}
		Stand.record("answer to %s: %s", attempt, result);
	}

}
