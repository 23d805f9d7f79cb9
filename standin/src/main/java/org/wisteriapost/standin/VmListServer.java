package org.wisteriapost.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.protocol.outside.VmList;

/**
 * The VM list. Changes become visible after a configured lag.
 */
public final class VmListServer implements AutoCloseable {

	private static final String VMS = "/vms";

	private static final String LEAVING = "/leaving";

	private final long lagNanos;

	private final Map<String, VmList.Vm> actual = new TreeMap<>();

	private final Map<String, VmList.Vm> published = new TreeMap<>();

	private final Deque<Change> pendingChanges = new ArrayDeque<>();

	private final StandinServer server;

	private VmListServer(String host, int port, long lagMillis) {
		this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
		this.server = StandinServer.start(host, port, this::handle);
	}

	/**
	 * Starts a list without lag.
	 */
	public static VmListServer start(String host, int port) {
		return start(host, port, 0);
	}

	/**
	 * Starts a list with the given lag.
	 */
	public static VmListServer start(String host, int port, long lagMillis) {
		return new VmListServer(host, port, lagMillis);
	}

	public int port() {
		return this.server.port();
	}

	/**
	 * Injects a fault, or clears all with {@link Fault.Kind#NONE}.
	 */
	public void fault(Fault fault) {
		this.server.fault(fault);
	}

	/**
	 * Adds or replaces a VM.
	 */
	public synchronized void put(VmList.Vm vm) {
		change(vm.vm(), Optional.of(vm));
	}

	/**
	 * Removes a VM.
	 */
	public synchronized void remove(String name) {
		change(name, Optional.empty());
	}

	/**
	 * Marks a VM as leaving.
	 */
	public synchronized void markLeaving(String name) {
		VmList.Vm vm = this.actual.get(name);
		if (vm == null) {
			throw new IllegalArgumentException("unknown VM " + name);
		}
		put(new VmList.Vm(vm.vm(), vm.place(), vm.region(), vm.role(), vm.service(), vm.host(), vm.linkPort(),
				vm.httpPort(), true));
	}

	@Override
	public void close() {
		this.server.close();
	}

	private synchronized void handle(Request request, Responder responder) {
		if (request.method().equals("GET") && request.path().equals(VMS)) {
			responder.json(200, currentVms());
		}
		else if (request.matches("PUT", VMS + "/")) {
			put(Json.read(request.body(), VmList.Vm.class));
			responder.status(200);
		}
		else if (request.matches("DELETE", VMS + "/")) {
			remove(request.pathAfter(VMS + "/"));
			responder.status(200);
		}
		else if (request.matches("POST", VMS + "/") && request.path().endsWith(LEAVING)) {
			String name = request.pathAfter(VMS + "/");
			markLeaving(name.substring(0, name.length() - LEAVING.length()));
			responder.status(200);
		}
		else {
			responder.status(404);
		}
	}

	private List<VmList.Vm> currentVms() {
		long now = System.nanoTime();
		while (!this.pendingChanges.isEmpty() && now - this.pendingChanges.peekFirst().atNanos - this.lagNanos >= 0) {
			Change change = this.pendingChanges.removeFirst();
			apply(this.published, change.name, change.vm);
		}
		return List.copyOf(this.published.values());
	}

	private void change(String name, Optional<VmList.Vm> vm) {
		apply(this.actual, name, vm);
		this.pendingChanges.addLast(new Change(System.nanoTime(), name, vm));
	}

	private static void apply(Map<String, VmList.Vm> vms, String name, Optional<VmList.Vm> vm) {
		vm.ifPresentOrElse((one) -> vms.put(name, one), () -> vms.remove(name));
	}

	private record Change(long atNanos, String name, Optional<VmList.Vm> vm) {
	}

}
