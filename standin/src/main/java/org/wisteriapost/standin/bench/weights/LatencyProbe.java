package org.wisteriapost.standin.bench.weights;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.Call;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Measures call latency during a rollout: sends small calls to every VM, which responds
 * on the thread that reads its links.
 */
final class LatencyProbe implements LinkHandler, AutoCloseable {

	private static final long INTERVAL_MILLIS = 20;

	private static final double MICROS_PER_MILLI = 1000;

	private final Links links = Links.plain(2);

	private final List<Link> open = new CopyOnWriteArrayList<>();

	private final Map<Long, Long> sentAt = new ConcurrentHashMap<>();

	private final AtomicLong nextId = new AtomicLong();

	private final ScheduledFuture<?> schedule;

	private volatile Histogram micros = new ConcurrentHistogram(3);

	LatencyProbe(List<VmList.Vm> vms, ScheduledExecutorService timer) {
		vms.forEach((vm) -> this.links.connect(new InetSocketAddress(vm.host(), vm.linkPort()), this).join());
		this.schedule = timer.scheduleAtFixedRate(() -> this.open.forEach(this::ping), INTERVAL_MILLIS, INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the latencies recorded since the last call and resets them.
	 */
	Histogram takeLatencies() {
		Histogram taken = this.micros;
		this.micros = new ConcurrentHistogram(3);
		return taken;
	}

	static double millis(Histogram micros, double percentile) {
		return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	private void ping(Link link) {
		long id = this.nextId.incrementAndGet();
		this.sentAt.put(id, System.nanoTime());
		link.send(Frame.newBuilder().setCall(Call.newBuilder().setId(id)).build());
	}

	@Override
	public void onOpen(Link link) {
		this.open.add(link);
	}

	@Override
	public void onFrame(Link link, Frame frame) {
		Long sent = this.sentAt.remove(frame.getCallEnd().getId());
		if (sent != null) {
			this.micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sent));
		}
	}

	@Override
	public void onClosed(Link link) {
		this.open.remove(link);
	}

	@Override
	public void close() {
		this.schedule.cancel(false);
		this.links.close();
	}

}
