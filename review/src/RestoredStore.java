import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store comes back from a copy that lacks the newest configuration, while a machine is
 * added. Under TROUBLE=0 the machine is added, and the store stays as it is.
 */
final class RestoredStore {

	private static final String CASE = "review/2";

	private static final int CONFIG_APPLY_MS = 2000;

	private static final int CONTACT_MS = 3000;

	private static final int REWRITE_MS = 5000;

	private static volatile double revokedAt = Double.MAX_VALUE;

	private static final Map<String, Double> inTouchFrom = new ConcurrentHashMap<>();

	private static final AtomicInteger late = new AtomicInteger();

	private static final AtomicInteger served = new AtomicInteger();

	private static volatile boolean done;

	public static void main(String[] args) throws Exception {
		Path folder = Stand.prepare(CASE);
		Stand.Store store = Stand.Store.start("127.0.0.1");
		store.put("config", "main", config(3, "\"key-one\",\"key-two\""));
		for (int number = 1; number <= 3; number++) {
			String id = "i-desk" + number;
			InetSocketAddress at = Stand.serve("127.0.0.1", (request, socket, in, out) -> {
				Stand.body(in, request, false);
				String attempt = request.header("X-Wisteriapost-Attempt-Id");
				out.write(Stand.response(200, "X-Wisteriapost-Attempt-Id: " + attempt
						+ "\r\nX-Wisteriapost-Response-Signature: " + id + "\r\n", Stand.bytes("held")));
			});
			Stand.register(store, id, "chartdesk", at, 6, () -> "");
		}
		int internal = Stand.internalPorts("127.0.0.1");
		List<Stand.Entry> entries = new ArrayList<>();
		for (int number = 1; number <= 2; number++) {
			entries.add(Stand.startEntry("edge-" + number, "127.0.0." + (10 + number), internal, store, folder));
		}
		for (Stand.Entry entry : entries) {
			if (!Stand.await(30_000, entry::isReady)) {
				Stand.finish(CASE, 2, "an entry did not become ready");
			}
			inTouchFrom.put(entry.name(), Stand.now() + CONTACT_MS / 1000.0);
		}
		Stand.sleep(4000);
		entries.forEach(RestoredStore::requests);
		Stand.sleep(500);
		Runnable copy = store.copy();
		Stand.sleep(500);
		store.put("config", "main", config(7, "\"key-one\""));
		revokedAt = Stand.now();
		Stand.record("the store has acknowledged version 7, without key-two");
		Stand.sleep(4500);
		if (Stand.trouble()) {
			store.setAway(true);
			Stand.record("the store is away");
			Stand.sleep(500);
			copy.run();
			store.setAway(false);
			Stand.record("the store is back from a copy that is five seconds old, without version 7");
		}
		else {
			Stand.sleep(500);
		}
		Stand.sleep(200);
		Stand.Entry added = Stand.startEntry("edge-3", "127.0.0.13", internal, store, folder);
		inTouchFrom.put("edge-3", Stand.now() + CONTACT_MS / 1000.0);
		requests(added);
		Stand.sleep(REWRITE_MS - 200);
		if (Stand.trouble()) {
			store.put("config", "main", config(7, "\"key-one\""));
			Stand.record("the operator has written version 7 again");
		}
		Stand.sleep(4000);
		done = true;
		Stand.sleep(500);
		if (served.get() == 0) {
			Stand.finish(CASE, 2, "edge-3 has served nothing");
		}
		Stand.finish(CASE, (late.get() > 0) ? 1 : 0, "served with a revoked key later than " + CONFIG_APPLY_MS
				+ " ms after its revocation was acknowledged, by a machine in touch: " + late);
	}

	private static String config(int version, String keys) {
		return """
				{"version":%d,"routes":[{"name":"hold","host":"desk.example","pathPrefix":"/hold/","routeType":"non_idempotent",
				"timeoutMs":2000,"targetLatencyMs":388,"priority":2,"service":"chartdesk","maxAttempts":1,"anonymous":false}],
				"services":[{"name":"chartdesk","healthPath":"/healthz","maxConnections":48}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"firm","apiKeys":[%s],"priority":1}]}
				""".formatted(version, keys);
	}

	// Ten a second with each key.
	private static void requests(Stand.Entry entry) {
		Thread.startVirtualThread(() -> {
			while (!done) {
				Thread.startVirtualThread(() -> send(entry, "key-two"));
				Thread.startVirtualThread(() -> send(entry, "key-one"));
				Stand.sleep(100);
			}
		});
	}

	private static void send(Stand.Entry entry, String key) {
		double sent = Stand.now();
		String result;
		boolean broken = false;
		try {
			int status = Stand.call(entry.front(), "POST", "/hold/x",
					"Host: desk.example\r\nX-Wisteriapost-Attempt-Id: " + Stand.attemptId()
							+ "\r\nX-Wisteriapost-Deadline-Ms: 4029\r\nAuthorization: Bearer " + key + "\r\n",
					Stand.bytes("hold"), 4029)
				.status();
			broken = status == 200 && key.equals("key-two") && sent > revokedAt + CONFIG_APPLY_MS / 1000.0
					&& sent > inTouchFrom.get(entry.name());
			if (status == 200 && key.equals("key-one") && entry.name().equals("edge-3")) {
				served.incrementAndGet();
			}
			result = Integer.toString(status);
		}
		catch (IOException ex) {
			result = ex.toString();
		}
		if (broken) {
			late.incrementAndGet();
		}
		Stand.record("%s with %s, sent at %.3f: %s%s", entry.name(), key, sent, result, broken ? " CONFIG broken" : "");
	}

}
