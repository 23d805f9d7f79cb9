import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry is stopped with SIGTERM while callers read their answers slowly. */
final class SlowReader {

	private static final String CASE = "review/3";

	private static final int CALLERS = 5;

	private static final int ANSWER_BYTES = 5_000_000;

	private static final int BYTES_PER_SECOND = 1_000_000;

	private static final AtomicInteger whole = new AtomicInteger();

	private static final AtomicInteger cut = new AtomicInteger();

	private static final AtomicInteger notCounted = new AtomicInteger();

	// The callers' time budget and the route's timeout.
	private static final double TIMEOUT_S = 6;

	public static void main(String[] args) throws Exception {
		Path folder = Stand.prepare(CASE);
		Stand.Store store = Stand.Store.start("127.0.0.1");
		store.put("config", "main", """
				{"version":3,"routes":[{"name":"look","host":"desk.example","pathPrefix":"/look/","routeType":"idempotent",
				"timeoutMs":6000,"targetLatencyMs":388,"priority":2,"service":"chartdesk","maxAttempts":2,"anonymous":false}],
				"services":[{"name":"chartdesk","healthPath":"/healthz","maxConnections":48}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"firm","apiKeys":["key-one"],"priority":1}]}
				""");
		byte[] answer = new byte[ANSWER_BYTES];
		for (int number = 1; number <= 3; number++) {
			String id = "i-desk" + number;
			InetSocketAddress at = Stand.serve("127.0.0.1", (request, socket, in, out) -> {
				Stand.body(in, request, false);
				String attempt = request.header("X-Wisteriapost-Attempt-Id");
				Stand.record("%s runs %s", id, attempt);
				Stand.sleep(60);
				out.write(Stand.response(200, "X-Wisteriapost-Attempt-Id: " + attempt
						+ "\r\nX-Wisteriapost-Response-Signature: " + id + "\r\n", answer));
				Stand.record("%s has answered %s", id, attempt);
			});
			Stand.register(store, id, "chartdesk", at, 6, () -> "");
		}
		Stand.Entry entry = Stand.startEntry("edge-1", "127.0.0.1", store, folder);
		if (!Stand.await(30_000, entry::isReady)) {
			Stand.finish(CASE, 2, "the entry did not become ready");
		}
		// Longer than contactMs.
		Stand.sleep(4000);
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			callers.add(Thread.ofPlatform().start(() -> read(entry)));
		}
		Stand.sleep(400);
		if (Stand.trouble()) {
			entry.process().destroy();
			Stand.record("SIGTERM sent to edge-1");
			entry.process().onExit().thenRun(() -> Stand.record("edge-1 has ended"));
		}
		for (Thread caller : callers) {
			caller.join();
		}
		if (cut.get() > 0) {
			Stand.record("LOST broken: %d answers were cut", cut.get());
		}
		if (whole.get() + cut.get() == 0) {
			Stand.finish(CASE, 2, "no answer was judged");
		}
		Stand.finish(CASE, (cut.get() > 0) ? 1 : 0, "whole answers " + whole + ", cut answers " + cut);
	}

	private static void read(Stand.Entry entry) {
		String attempt = Stand.attemptId();
		int count = 0;
		int length = ANSWER_BYTES;
		boolean begun = false;
		double sent = Stand.now();
		try (PhoneSocket socket = PhoneSocket.connect(entry.front())) {
			Stand.record("sent %s", attempt);
			socket.write(Stand.requestBytes("GET", "/look/x",
					"Host: desk.example\r\nX-Wisteriapost-Attempt-Id: " + attempt
							+ "\r\nX-Wisteriapost-Deadline-Ms: 6000\r\nAuthorization: Bearer key-one\r\n",
					new byte[0]));
			InputStream in = socket.input();
			Stand.Message head = Stand.head(in);
			if (head == null || head.status() != 200) {
				Stand.finish(CASE, 2, "no answer began");
			}
			begun = true;
			length = Integer.parseInt(head.header("Content-Length"));
			byte[] some = new byte[2048];
			long start = System.nanoTime();
			while (count < length) {
				int one = in.read(some, 0, some.length);
				if (one < 0) {
					throw new EOFException("closed");
				}
				count += one;
				long due = (long) (count * 1000.0 / BYTES_PER_SECOND) - (System.nanoTime() - start) / 1_000_000;
				if (due > 0) {
					Stand.sleep(due);
				}
			}
			whole.incrementAndGet();
			Stand.record("%s: whole answer of %d bytes", attempt, count);
		}
		catch (IOException ex) {
			// Not counted: the time budget or the route's timeout was reached, or nothing was answered.
			boolean excused = !begun || Stand.now() - sent >= TIMEOUT_S;
			(excused ? notCounted : cut).incrementAndGet();
			Stand.record("%s: the answer ends after %d of %d bytes, %.3f s after it was asked for%s: %s", attempt, count,
					length, Stand.now() - sent, excused ? " (not counted)" : "", ex);
		}
	}

}
