import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Three runners of one service that are full now and then. Under TROUBLE some of them send
 * an answer a second time. A request that may run once is then refused and runs.
 */
final class ExtraAnswers {

	private static final String CASE = "review/1";

	private static final double EXTRA_SHARE = 0.03;

	// It lasts five seconds at a time.
	private static final double FAULT_S = 5;

	private static final double PAUSE_S = 1.5;

	// Of the three runners.
	private static final int FAULTY_RUNNERS = 1;

	private static final int ATTEMPTS = 380;

	// On a slow machine fewer attempts are made.
	private static final double MAX_S = 105;

	private static final long PERIOD_MS = 245;

	private static volatile boolean full;

	private static final Set<String> ran = ConcurrentHashMap.newKeySet();

	private static final Map<String, Integer> runsOfBooking = new ConcurrentHashMap<>();

	private static final Set<String> refused = ConcurrentHashMap.newKeySet();

	private static final Map<Socket, byte[]> lateAnswers = new ConcurrentHashMap<>();

	private static final Random random = new Random(57);

	// They find free slots.
	private static void usualRequests(Stand.Entry entry, int number) throws InterruptedException {
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < 16; i++) {
			callers.add(Thread.startVirtualThread(() -> send(entry, Stand.attemptId(), number, "usual booking")));
		}
		for (Thread caller : callers) {
			caller.join();
		}
	}

	private static int send(Stand.Entry entry, String attempt, int number, String booking) {
		Stand.record("sent %s", attempt);
		int status = 0;
		try {
			status = Stand.call(entry.front(), "POST", "/hold/" + number,
					"Host: desk.example\r\nX-Wisteriapost-Attempt-Id: " + attempt
							+ "\r\nX-Wisteriapost-Deadline-Ms: 4029\r\nAuthorization: Bearer key-one\r\n",
					Stand.bytes(booking), 5000)
				.status();
		}
		catch (IOException ex) {
			Stand.record("no answer to %s: %s", attempt, ex);
		}
		Stand.record("answer to %s: %d", attempt, status);
		if (status == 503 || status == 429) {
			refused.add(attempt);
		}
		return status;
	}

	public static void main(String[] args) throws Exception {
		Path folder = Stand.prepare(CASE);
		Stand.Store store = Stand.Store.start("127.0.0.1");
		store.put("config", "main", """
				{"version":3,"routes":[{"name":"hold","host":"desk.example","pathPrefix":"/hold/","routeType":"non_idempotent",
				"timeoutMs":2000,"targetLatencyMs":388,"priority":2,"service":"chartdesk","maxAttempts":1,"anonymous":false}],
				"services":[{"name":"chartdesk","healthPath":"/healthz","maxConnections":48}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"firm","apiKeys":["key-one"],"priority":1}]}
				""");
		for (int number = 1; number <= 3; number++) {
			String id = "i-desk" + number;
			boolean faulty = Stand.trouble() && number <= FAULTY_RUNNERS;
			InetSocketAddress at = Stand.serve("127.0.0.1", (request, socket, in, out) -> {
				Stand.body(in, request, false);
				String attempt = request.header("X-Wisteriapost-Attempt-Id");
				// Late: at the point where the next answer is expected.
				byte[] late = lateAnswers.remove(socket);
				if (late != null) {
					Stand.record("%s sends an earlier answer again, while %s waits", id, attempt);
					out.write(late);
				}
				String common = "X-Wisteriapost-Attempt-Id: " + attempt + "\r\n";
				byte[] answer;
				if (full) {
					Stand.record("%s is full, does not run %s", id, attempt);
					answer = Stand.response(503, common + "X-Wisteriapost-Not-Executed: 1\r\n", new byte[0]);
				}
				else {
					Stand.record("%s runs %s", id, attempt);
					ran.add(attempt);
					runsOfBooking.merge(request.text(), 1, Integer::sum);
					Stand.sleep(60);
					answer = Stand.response(200, common + "X-Wisteriapost-Response-Signature: " + id + "\r\n",
							Stand.bytes("held"));
				}
				boolean extra;
				synchronized (random) {
					extra = faulty && Stand.now() % (FAULT_S + PAUSE_S) < FAULT_S && random.nextDouble() < EXTRA_SHARE;
				}
				if (extra) {
					lateAnswers.put(socket, answer);
				}
				out.write(answer);
			});
			Stand.register(store, id, "chartdesk", at, 6, () -> "");
		}
		Stand.Entry entry = Stand.startEntry("edge-1", "127.0.0.1", store, folder);
		if (!Stand.await(30_000, entry::isReady)) {
			Stand.finish(CASE, 2, "the entry did not become ready");
		}
		Stand.sleep(1500);
		int served = 0;
		int other = 0;
		for (int i = 0; i < ATTEMPTS && Stand.now() < MAX_S; i++) {
			long start = System.nanoTime();
			// The slots of all three are taken for some milliseconds.
			full = true;
			Thread.startVirtualThread(() -> {
				Stand.sleep(36);
				full = false;
			});
			int status = send(entry, Stand.attemptId(), i, "booking " + i);
			if (status == 503) {
				// The status promises that it has not run, so the caller asks again.
				Stand.sleep(60);
				status = send(entry, Stand.attemptId(), i, "booking " + i);
			}
			served += (status == 200) ? 1 : 0;
			other += (status != 200 && status != 503) ? 1 : 0;
			Stand.sleep(Math.max(10, 90 - (System.nanoTime() - start) / 1_000_000));
			usualRequests(entry, i);
			Stand.sleep(Math.max(0, PERIOD_MS - (System.nanoTime() - start) / 1_000_000));
		}
		Stand.sleep(500);
		List<String> broken = refused.stream().filter(ran::contains).toList();
		broken.forEach((attempt) -> Stand.record("REFUSED broken: %s was answered 503 and has run", attempt));
		runsOfBooking.forEach((booking, runs) -> {
			if (runs > 1 && !booking.startsWith("usual")) {
				Stand.record("%s was made %d times", booking, runs);
			}
		});
		Stand.finish(CASE, broken.isEmpty() ? 0 : 1, "requests that found the runners full: " + served
				+ " served, " + other + " failed; refused in all " + refused.size() + ", refused and run " + broken.size());
	}

}
