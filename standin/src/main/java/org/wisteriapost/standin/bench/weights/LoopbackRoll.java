package org.wisteriapost.standin.bench.weights;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.sun.management.OperatingSystemMXBean;
import org.HdrHistogram.Histogram;
import org.wisteriapost.agent.transfer.TransferOptions;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.transfer.LinkShare;
import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.protocol.outside.VmList;

/**
 * One roll of real transfers over loopback. Each VM paces its link in both directions,
 * the origin gives twice a VM's link: the ratio of the users' surroundings.
 */
final class LoopbackRoll {

	private static final int PLACES = 3;

	private static final int UPLOADS_WAITING = 16;

	private static final int TIMER_THREADS = 4;

	private static final double FAULT_AT = 0.3;

	private static final long POLL_MILLIS = 5;

	private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final double NANOS = 1e9;

	private final Plan plan;

	private final PrintStream progress;

	private final byte[] content;

	private final WeightFile file;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);

	private final LoopbackOrigin origin;

	private final List<LoopbackVm> vms = new ArrayList<>();

	private LoopbackRoll(Plan plan, PrintStream progress) {
		this.plan = plan;
		this.progress = progress;
		this.content = new byte[plan.chunks() * plan.chunkBytes()];
		new Random(plan.seed()).nextBytes(this.content);
		this.file = file();
		this.origin = new LoopbackOrigin(this.content, 2 * plan.linkBytesPerSecond(), this.timer);
	}

	/**
	 * Returns one JSON line.
	 */
	static String run(Plan plan, PrintStream progress) throws InterruptedException {
		LoopbackRoll roll = new LoopbackRoll(plan, progress);
		try {
			return roll.measure();
		}
		finally {
			roll.vms.stream().filter((vm) -> !vm.gone() || plan.faults() == Faults.STALL).forEach(LoopbackVm::close);
			roll.timer.shutdownNow();
		}
	}

	private String measure() throws InterruptedException {
		LinkShare share = new LinkShare(this.plan.linkBytesPerSecond(), 1, 1);
		TransferOptions options = new TransferOptions(this.plan.limits(), share, UPLOADS_WAITING,
				Duration.ofSeconds(10));
		for (int i = 0; i < this.plan.vms(); i++) {
			LoopbackStore store = new LoopbackStore(this.content, this.plan.chunkBytes());
			this.vms.add(new LoopbackVm("vm-" + i, "place-" + i % PLACES, this.origin, store, this.plan.chunkBytes(),
					options, this.timer));
		}
		List<VmList.Vm> all = this.vms.stream().map(LoopbackVm::listed).toList();
		try (Pings pings = new Pings(all, this.timer)) {
			Thread.sleep(this.plan.calm().toMillis());
			pings.take();
			Thread.sleep(this.plan.calm().toMillis());
			Histogram calm = pings.take();
			return roll(all, pings, calm);
		}
	}

	private String roll(List<VmList.Vm> all, Pings pings, Histogram calm) throws InterruptedException {
		if (this.plan.faults() == Faults.CORRUPT) {
			this.vms.getLast().corrupt();
		}
		long processor = processorNanos();
		long start = System.nanoTime();
		long faultAt = start + (long) (FAULT_AT * bound() * NANOS);
		long end = start + this.plan.most().toNanos();
		boolean faulted = false;
		long shown = start;
		this.vms.forEach((vm) -> vm.fetch(all, this.file));
		while (open() > 0 && System.nanoTime() < end) {
			Thread.sleep(POLL_MILLIS);
			if (!faulted && System.nanoTime() >= faultAt) {
				faulted = true;
				fault();
			}
			if (System.nanoTime() - shown > PROGRESS_NANOS) {
				shown = System.nanoTime();
				show(start);
			}
		}
		return line(start, processorNanos() - processor, calm, pings.take());
	}

	private long open() {
		return this.vms.stream().filter((vm) -> !vm.gone() && !vm.failed() && vm.finishedAt() == 0).count();
	}

	private void fault() {
		List<LoopbackVm> hit = this.vms.subList(0, Math.max(1, this.vms.size() / 10));
		switch (this.plan.faults()) {
			case NONE, CORRUPT -> {
			}
			case KILL -> hit.forEach(LoopbackVm::kill);
			case STALL -> hit.forEach(LoopbackVm::stall);
			case CHANGE -> this.origin.change();
		}
	}

	private void show(long start) {
		long verified = this.vms.stream().mapToLong(LoopbackVm::verified).sum();
		this.progress.printf(Locale.ROOT, "%s N=%d %s: %.1f s, %.1f %% of chunks, %d VMs open%n", this.plan.policy(),
				this.plan.vms(), this.plan.faults(), (System.nanoTime() - start) / NANOS,
				100.0 * verified / (this.plan.chunks() * (double) this.plan.vms()), open());
	}

	private String line(long start, long processor, Histogram calm, Histogram busy) {
		List<LoopbackVm> healthy = this.vms.stream().filter((vm) -> !vm.gone()).toList();
		long finished = healthy.stream().filter((vm) -> vm.finishedAt() > 0).count();
		long failed = healthy.stream().filter(LoopbackVm::failed).count();
		long last = healthy.stream().mapToLong(LoopbackVm::finishedAt).max().orElse(start);
		double seconds = (finished == healthy.size()) ? (last - start) / NANOS : -1;
		double wall = Math.max(1e-3, (System.nanoTime() - start) / NANOS);
		double control = healthy.stream().mapToDouble(LoopbackVm::controlBytes).average().orElse(0);
		int wrong = this.vms.stream().mapToInt(LoopbackVm::wrong).sum();
		return String.format(Locale.ROOT,
				"{\"experiment\":\"weights\",\"policy\":\"%s\",\"vms\":%d,\"faults\":\"%s\",\"seed\":%d,"
						+ "\"healthy\":%d,\"finished\":%d,\"failed\":%d,\"seconds\":%.2f,\"boundSeconds\":%.2f,"
						+ "\"ratio\":%.3f,\"originCopies\":%.3f,\"wrongChunksStored\":%d,"
						+ "\"controlBytesPerAgent\":%.0f,\"controlBytesPerAgentSecond\":%.0f,"
						+ "\"processorSecondsPerAgent\":%.3f,\"pingMillisCalm\":%s,\"pingMillisRoll\":%s}",
				this.plan.policy(), this.plan.vms(), this.plan.faults().name().toLowerCase(Locale.ROOT),
				this.plan.seed(), healthy.size(), finished, failed, seconds, bound(),
				(seconds < 0) ? -1 : seconds / bound(), (double) this.origin.bytesRead() / this.content.length, wrong,
				control, control / wall, processor / NANOS / this.plan.vms(), percentiles(calm), percentiles(busy));
	}

	private static String percentiles(Histogram micros) {
		return String.format(Locale.ROOT, "{\"p50\":%.2f,\"p95\":%.2f,\"p99\":%.2f}", Pings.millis(micros, 50),
				Pings.millis(micros, 95), Pings.millis(micros, 99));
	}

	private double bound() {
		return this.content.length / this.plan.linkBytesPerSecond();
	}

	private WeightFile file() {
		int chunk = this.plan.chunkBytes();
		List<String> hashes = IntStream.range(0, this.plan.chunks())
			.mapToObj((index) -> java.util.Arrays.copyOfRange(this.content, index * chunk, (index + 1) * chunk))
			.map(Digests::sha256)
			.toList();
		return new WeightFile("model", "1", "model", "etag", this.content.length, chunk, hashes);
	}

	private static long processorNanos() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

	/**
	 * What to run.
	 *
	 * @param policy its name
	 * @param limits the design
	 * @param vms how many
	 * @param chunks of the weights
	 * @param chunkBytes size of each
	 * @param linkBytesPerSecond of a VM, each way
	 * @param faults what goes wrong
	 * @param seed of the content
	 * @param calm how long to measure calls without a roll
	 * @param most when to stop waiting
	 */
	record Plan(String policy, TransferLimits limits, int vms, int chunks, int chunkBytes, double linkBytesPerSecond,
			Faults faults, long seed, Duration calm, Duration most) {
	}

}
