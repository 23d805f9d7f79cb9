package org.wisteriapost.standin;

import java.net.URI;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.outside.http.HttpVmList;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class VmListServerTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final VmList.Vm VM = new VmList.Vm("lm-1", "oban-a", "isles", "agent", "galley", "127.0.3.1", 7000,
			0, false);

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	@AfterEach
	void stop() {
		this.caller.close();
	}

	@Test
	void registeredVmIsListedUntilItIsRemoved() {
		try (VmListServer server = VmListServer.start("127.0.0.1", 0)) {
			VmList list = HttpVmList.at(this.caller, address(server));
			assertThat(send(server, "PUT", "/vms/lm-1", Json.write(VM)).status(), is(200));
			assertThat(list.read().join(), contains(VM));
			assertThat(send(server, "POST", "/vms/lm-1/leaving", new byte[0]).status(), is(200));
			assertThat(list.read().join().getFirst().leaving(), is(true));
			assertThat(send(server, "POST", "/vms/no-such/leaving", new byte[0]).status(), is(400));
			send(server, "DELETE", "/vms/lm-1", new byte[0]);
			assertThat(list.read().join(), is(empty()));
		}
	}

	@Test
	void changeIsNotListedBeforeTheLag() {
		try (VmListServer server = VmListServer.start("127.0.0.1", 0, Duration.ofHours(1).toMillis())) {
			server.put(VM);
			assertThat(HttpVmList.at(this.caller, address(server)).read().join(), is(List.of()));
		}
	}

	@Test
	void unreadableOrAbsentListIsUnavailable() {
		try (VmListServer server = VmListServer.start("127.0.0.1", 0)) {
			VmList list = HttpVmList.at(this.caller, address(server));
			server.put(VM);
			server.fault(new Fault(Fault.Kind.CUT, "", 0, 1));
			assertThat(HttpPlatformTests.code(list.read()), is("vm-list-unavailable"));
			server.fault(new Fault(Fault.Kind.DOWN, "", 0, 1));
			assertThat(HttpPlatformTests.code(list.read()), is("vm-list-unavailable"));
			assertThat(list.read().join(), contains(VM));
		}
	}

	@Test
	void everyAllocationIsRecorded() {
		try (PlainServer server = PlainServer.start("127.0.0.1", 0, Duration.ZERO)) {
			URI allocate = URI.create("http://127.0.0.1:" + server.port() + "/allocate");
			HttpCall call = HttpCall.of("POST", allocate, LIMIT)
				.header("Idempotency-Key", "k1")
				.header("Wisteriapost-Request-Id", "r1");
			byte[] first = this.caller.call(call).join().body();
			byte[] second = this.caller.call(call).join().body();
			assertThat(server.executions(), contains(Json.read(first, PlainServer.Execution.class),
					Json.read(second, PlainServer.Execution.class)));
			assertThat(server.executed().get("r1"), is(2L));
		}
	}

	private HttpResponse send(VmListServer server, String method, String path, byte[] body) {
		return this.caller.call(HttpCall.of(method, address(server).resolve(path), LIMIT).body(body)).join();
	}

	private static URI address(VmListServer server) {
		return URI.create("http://127.0.0.1:" + server.port());
	}

}
