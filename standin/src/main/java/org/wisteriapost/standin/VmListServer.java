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
 * The VM list; changes show only after its lag.
 */
public final class VmListServer implements AutoCloseable {

	private static final String VMS = "/vms";

	private static final String LEAVING = "/leaving";

	private final long lagNanos;

	private final Map<String, VmList.Vm> actual = new TreeMap<>();

	private final Map<String, VmList.Vm> shown = new TreeMap<>();

	private final Deque<Change> late = new ArrayDeque<>();

	private final StandinServer server;

	private VmListServer(String host, int port, long lagMillis) {
		this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
		this.server = StandinServer.start(host, port, this::handle);
	}

	/**
	 * Returns a list without lag.
	 */
	public static VmListServer start(String host, int port) {
		return start(host, port, 0);
	}

	/**
	 * Returns a list whose changes show after a lag.
	 */
	public static VmListServer start(String host, int port, long lagMillis) {
		return new VmListServer(host, port, lagMillis);
	}

	public int port() {
		return this.server.port();
	}

	/**
	 * Arms a fault, or clears all with {@link Fault.Kind#NONE}.
	 */
	public void fault(Fault fault) {
		this.server.fault(fault);
	}

	/**
	 * Adds a VM or changes it.
	 */
	public synchronized void put(VmList.Vm vm) {
		change(vm.vm(), Optional.of(vm));
	}

	/**
	 * Takes a VM off the list.
	 */
	public synchronized void remove(String name) {
		change(name, Optional.empty());
	}

	/**
	 * Marks a VM as leaving.
	 */
	public synchronized void leave(String name) {
		VmList.Vm vm = this.actual.get(name);
		if (vm == null) {
			throw new IllegalArgumentException("no VM " + name);
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
			responder.json(200, read());
		}
		else if (request.is("PUT", VMS + "/")) {
			put(Json.read(request.body(), VmList.Vm.class));
			responder.status(200);
		}
		else if (request.is("DELETE", VMS + "/")) {
			remove(request.after(VMS + "/"));
			responder.status(200);
		}
		else if (request.is("POST", VMS + "/") && request.path().endsWith(LEAVING)) {
			String name = request.after(VMS + "/");
			leave(name.substring(0, name.length() - LEAVING.length()));
			responder.status(200);
		}
		else {
			responder.status(404);
		}
	}

	private List<VmList.Vm> read() {
		long now = System.nanoTime();
		while (!this.late.isEmpty() && now - this.late.peekFirst().atNanos - this.lagNanos >= 0) {
			Change change = this.late.removeFirst();
			apply(this.shown, change.name, change.vm);
		}
		return List.copyOf(this.shown.values());
	}

	private void change(String name, Optional<VmList.Vm> vm) {
		apply(this.actual, name, vm);
		this.late.addLast(new Change(System.nanoTime(), name, vm));
	}

	private static void apply(Map<String, VmList.Vm> vms, String name, Optional<VmList.Vm> vm) {
		vm.ifPresentOrElse((one) -> vms.put(name, one), () -> vms.remove(name));
	}

	private record Change(long atNanos, String name, Optional<VmList.Vm> vm) {
	}

}
