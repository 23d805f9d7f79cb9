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
 * A rollout with real transfers over loopback. Each VM limits its bandwidth in both
 * directions; the origin has twice the bandwidth of a VM, as in the target deployment.
 */
final class LoopbackRollout {

	private static final int FAILURE_DOMAINS = 3;

	private static final int MAX_QUEUED_UPLOADS = 16;

	private static final int TIMER_THREADS = 4;

	private static final double FAULT_TIME_RATIO = 0.3;

	private static final long POLL_MILLIS = 5;

	private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final double NANOS_PER_SECOND = 1e9;

	private final Plan plan;

	private final PrintStream progress;

	private final byte[] content;

	private final WeightFile file;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);

	private final LoopbackOrigin origin;

	private final List<LoopbackVm> vms = new ArrayList<>();

	private LoopbackRollout(Plan plan, PrintStream progress) {
		this.plan = plan;
		this.progress = progress;
		this.content = new byte[plan.chunks() * plan.chunkBytes()];
		new Random(plan.seed()).nextBytes(this.content);
		this.file = file();
		this.origin = new LoopbackOrigin(this.content, 2 * plan.linkBytesPerSecond(), this.timer);
	}

	/**
	 * Runs a rollout and returns its results as one JSON line.
	 */
	static String run(Plan plan, PrintStream progress) throws InterruptedException {
		LoopbackRollout rollout = new LoopbackRollout(plan, progress);
		try {
			return rollout.measure();
		}
		finally {
			rollout.vms.stream()
				.filter((vm) -> !vm.unavailable() || plan.fault() == FaultScenario.STALL)
				.forEach(LoopbackVm::close);
			rollout.timer.shutdownNow();
		}
	}

	private String measure() throws InterruptedException {
		LinkShare share = new LinkShare(this.plan.linkBytesPerSecond(), 1, 1);
		TransferOptions options = new TransferOptions(this.plan.limits(), share, MAX_QUEUED_UPLOADS,
				Duration.ofSeconds(10));
		for (int i = 0; i < this.plan.vms(); i++) {
			LoopbackStore store = new LoopbackStore(this.content, this.plan.chunkBytes());
			this.vms.add(new LoopbackVm("vm-" + i, "place-" + i % FAILURE_DOMAINS, this.origin, store,
					this.plan.chunkBytes(), options, this.timer));
		}
		List<VmList.Vm> all = this.vms.stream().map(LoopbackVm::listed).toList();
		try (LatencyProbe probe = new LatencyProbe(all, this.timer)) {
			Thread.sleep(this.plan.baseline().toMillis());
			probe.takeLatencies();
			Thread.sleep(this.plan.baseline().toMillis());
			Histogram baseline = probe.takeLatencies();
			return runRollout(all, probe, baseline);
		}
	}

	private String runRollout(List<VmList.Vm> all, LatencyProbe probe, Histogram baseline) throws InterruptedException {
		if (this.plan.fault() == FaultScenario.CORRUPT) {
			this.vms.getLast().corrupt();
		}
		long processorNanos = processorNanos();
		long start = System.nanoTime();
		long faultAt = start + (long) (FAULT_TIME_RATIO * boundSeconds() * NANOS_PER_SECOND);
		long end = start + this.plan.timeout().toNanos();
		boolean faultInjected = false;
		long lastProgressAt = start;
		this.vms.forEach((vm) -> vm.fetch(all, this.file));
		while (unfinishedCount() > 0 && System.nanoTime() < end) {
			Thread.sleep(POLL_MILLIS);
			if (!faultInjected && System.nanoTime() >= faultAt) {
				faultInjected = true;
				injectFault();
			}
			if (System.nanoTime() - lastProgressAt > PROGRESS_NANOS) {
				lastProgressAt = System.nanoTime();
				printProgress(start);
			}
		}
		return resultLine(start, processorNanos() - processorNanos, baseline, probe.takeLatencies());
	}

	private long unfinishedCount() {
		return this.vms.stream().filter((vm) -> !vm.unavailable() && !vm.failed() && vm.finishedAt() == 0).count();
	}

	private void injectFault() {
		List<LoopbackVm> affected = this.vms.subList(0, Math.max(1, this.vms.size() / 10));
		switch (this.plan.fault()) {
			case NONE, CORRUPT -> {
			}
			case KILL -> affected.forEach(LoopbackVm::kill);
			case STALL -> affected.forEach(LoopbackVm::stall);
			case CHANGE -> this.origin.replaceContent();
		}
	}

	private void printProgress(long start) {
		long verified = this.vms.stream().mapToLong(LoopbackVm::verified).sum();
		this.progress.printf(Locale.ROOT, "%s N=%d %s: %.1f s, %.1f %% of chunks, %d VMs unfinished%n",
				this.plan.policy(), this.plan.vms(), this.plan.fault(), (System.nanoTime() - start) / NANOS_PER_SECOND,
				100.0 * verified / (this.plan.chunks() * (double) this.plan.vms()), unfinishedCount());
	}

	private String resultLine(long start, long processorNanos, Histogram baseline, Histogram during) {
		List<LoopbackVm> healthy = this.vms.stream().filter((vm) -> !vm.unavailable()).toList();
		long finished = healthy.stream().filter((vm) -> vm.finishedAt() > 0).count();
		long failed = healthy.stream().filter(LoopbackVm::failed).count();
		long last = healthy.stream().mapToLong(LoopbackVm::finishedAt).max().orElse(start);
		double seconds = (finished == healthy.size()) ? (last - start) / NANOS_PER_SECOND : -1;
		double wall = Math.max(1e-3, (System.nanoTime() - start) / NANOS_PER_SECOND);
		double control = healthy.stream().mapToDouble(LoopbackVm::controlBytes).average().orElse(0);
		int wrong = this.vms.stream().mapToInt(LoopbackVm::wrongChunks).sum();
		return String.format(Locale.ROOT,
				"{\"experiment\":\"weights\",\"policy\":\"%s\",\"vms\":%d,\"faults\":\"%s\",\"seed\":%d,"
						+ "\"healthy\":%d,\"finished\":%d,\"failed\":%d,\"seconds\":%.2f,\"boundSeconds\":%.2f,"
						+ "\"ratio\":%.3f,\"originCopies\":%.3f,\"wrongChunksStored\":%d,"
						+ "\"controlBytesPerAgent\":%.0f,\"controlBytesPerAgentSecond\":%.0f,"
						+ "\"processorSecondsPerAgent\":%.3f,\"pingMillisCalm\":%s,\"pingMillisRoll\":%s}",
				this.plan.policy(), this.plan.vms(), this.plan.fault().name().toLowerCase(Locale.ROOT),
				this.plan.seed(), healthy.size(), finished, failed, seconds, boundSeconds(),
				(seconds < 0) ? -1 : seconds / boundSeconds(), (double) this.origin.bytesRead() / this.content.length,
				wrong, control, control / wall, processorNanos / NANOS_PER_SECOND / this.plan.vms(),
				percentiles(baseline), percentiles(during));
	}

	private static String percentiles(Histogram micros) {
		return String.format(Locale.ROOT, "{\"p50\":%.2f,\"p95\":%.2f,\"p99\":%.2f}", LatencyProbe.millis(micros, 50),
				LatencyProbe.millis(micros, 95), LatencyProbe.millis(micros, 99));
	}

	private double boundSeconds() {
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
	 * Parameters of a rollout.
	 *
	 * @param policy name of the variant
	 * @param limits limits of the variant
	 * @param vms number of VMs
	 * @param chunks number of chunks of the weights
	 * @param chunkBytes size of a chunk
	 * @param linkBytesPerSecond bandwidth of a VM in each direction
	 * @param fault the fault to inject
	 * @param seed seed of the content
	 * @param baseline how long to measure call latencies without a rollout
	 * @param timeout time limit of the rollout
	 */
	record Plan(String policy, TransferLimits limits, int vms, int chunks, int chunkBytes, double linkBytesPerSecond,
			FaultScenario fault, long seed, Duration baseline, Duration timeout) {
	}

}
