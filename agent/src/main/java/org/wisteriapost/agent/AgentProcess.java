package org.wisteriapost.agent;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.agent.transfer.Progress;
import org.wisteriapost.agent.transfer.Transfer;
import org.wisteriapost.agent.transfer.TransferContext;
import org.wisteriapost.agent.transfer.TransferProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.kernel.Plugins;
import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.AgentIdentity;
import org.wisteriapost.policy.agent.AgentStateMachine;
import org.wisteriapost.policy.agent.AgentStatus;
import org.wisteriapost.protocol.admin.AdminServer;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.tls.TlsSettings;

/**
 * One running agent: the decisions, and the I/O that feeds them and carries them out.
 */
final class AgentProcess implements AutoCloseable {

	private static final Logger LOG = System.getLogger(AgentProcess.class.getName());

	private static final Code POLICY_UNKNOWN = Code.error("transfer-policy-unknown",
			"No transfer is registered under the name in the settings.");

	private static final int LINK_THREADS = 2;

	private static final long SECOND_MILLIS = 1000;

	private final Settings settings;

	private final Outside outside;

	private final AgentIdentity self;

	private final Invariants invariants = Invariants.create();

	private final AgentMetrics metrics = new AgentMetrics();

	private final ScheduledExecutorService timer = timer();

	private final Links links;

	private final CompletableFuture<String> stopped = new CompletableFuture<>();

	private final AgentLoop loop;

	private final AgentLinks peers;

	private final PlatformCalls platform;

	private final EngineCalls engine;

	private final RunnerCalls calls;

	private final BundleSource bundles;

	private final Transfer transfer;

	private final Surveys surveys;

	private CompletableFuture<Void> fetch = CompletableFuture.completedFuture(null);

	private Progress progress = Progress.NONE;

	private LinkServer server;

	private AdminServer admin;

	private AgentProcess(Settings settings, Outside outside) {
		this.settings = settings;
		this.outside = outside;
		this.links = TlsSettings.links(settings, LINK_THREADS);
		this.self = AgentSettings.identity(settings, UUID.randomUUID().toString());
		AgentStateMachine machine = AgentStateMachine.create(this.self, AgentSettings.limits(settings),
				AgentSettings.operators(settings), this.invariants, RandomSource.XO_RO_SHI_RO_128_PP.create());
		this.loop = new AgentLoop(machine, this::carryOut);
		this.peers = new AgentLinks(this.self, this.loop);
		this.platform = new PlatformCalls(outside.platform(), this.loop);
		this.engine = new EngineCalls(outside.engine(), this.loop);
		this.calls = new RunnerCalls(this.self.service(), AgentSettings.RUNNER.get(settings),
				AgentSettings.MAX_CALL.get(settings), outside.caller(), this.loop, this.metrics);
		this.bundles = new BundleSource(this.loop, this.peers, outside.platform(), this.timer);
		this.transfer = transfer();
		this.surveys = new Surveys(this.self, this.loop, outside, this.transfer, this.timer);
	}

	/**
	 * Returns an agent that takes links.
	 * @param settings checked whole
	 */
	static AgentProcess start(Settings settings, Outside outside) {
		AgentProcess process = new AgentProcess(settings, outside);
		process.open();
		return process;
	}

	String readyLine() {
		return "{\"ready\":\"agent\",\"vm\":\"%s\",\"linkPort\":%d,\"adminPort\":%d}".formatted(this.self.vm(),
				this.server.port(), this.admin.port());
	}

	int linkPort() {
		return this.server.port();
	}

	AgentStatus view() {
		return this.loop.view();
	}

	Invariants invariants() {
		return this.invariants;
	}

	/**
	 * Asks to drain and stop.
	 */
	void leave() {
		this.loop.post(new AgentEvent.LeaveRequested());
	}

	/**
	 * Waits until the agent has stopped by itself and returns the code why, empty when it
	 * has drained.
	 */
	String awaitStop() {
		return this.stopped.join();
	}

	@Override
	public void close() {
		this.surveys.stop();
		this.server.close();
		this.transfer.close();
		this.links.close();
		this.loop.close();
		this.timer.shutdownNow();
		this.admin.close();
		this.outside.close();
	}

	private void open() {
		this.calls.connect(this.peers);
		this.peers.connect(this.calls, this.transfer, this.bundles, this.engine);
		this.metrics.watch(this.loop, this.invariants);
		this.loop.start();
		this.server = this.links.listen(new InetSocketAddress(AgentSettings.LINK_HOST.get(this.settings),
				AgentSettings.LINK_PORT.get(this.settings).intValue()), this.peers);
		this.admin = AdminServer.start(
				new InetSocketAddress(CommonSettings.ADMIN_HOST.get(this.settings),
						CommonSettings.ADMIN_PORT.get(this.settings).intValue()),
				this.metrics.registry(), () -> view().admitting());
		this.surveys.start(AgentSettings.VM_LIST_PERIOD.get(this.settings));
		this.timer.scheduleAtFixedRate(this::second, SECOND_MILLIS, SECOND_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void second() {
		Progress now = this.transfer.progress();
		if (!now.equals(this.progress)) {
			this.progress = now;
			this.loop.post(new AgentEvent.FetchProgress(now.verified(), now.total()));
		}
		this.loop.post(new AgentEvent.Tick());
		this.peers.report();
	}

	private void carryOut(AgentEffect effect) {
		switch (effect) {
			case AgentEffect.ScheduleTick wake -> this.timer.schedule(() -> this.loop.post(new AgentEvent.Tick()),
					wake.delayNanos(), TimeUnit.NANOSECONDS);
			case AgentEffect.ReadObject read -> this.platform.read(read.key());
			case AgentEffect.WriteObject write -> this.platform.write(write);
			case AgentEffect.FetchBundle bundle -> this.bundles.fetch(bundle.digest());
			case AgentEffect.FetchWeights weights -> fetch(weights);
			case AgentEffect.DeleteWeights drop -> drop.files().forEach(this::drop);
			case AgentEffect.ReadEngine read -> this.engine.read();
			case AgentEffect.SendOrder order -> this.engine.order(order);
			case AgentEffect.StartCall call -> this.calls.start(call.call());
			case AgentEffect.RefuseCall refuse ->
				this.calls.refuse(refuse.call(), refuse.code(), refuse.retryAfterMillis());
			case AgentEffect.CancelCall cancel -> this.calls.cancel(cancel.call());
			case AgentEffect.SendReport report -> this.peers.report();
			case AgentEffect.AnnounceLeaving leaving -> this.peers.leaving();
			case AgentEffect.ThrottleTransfer slow -> this.transfer.busy(slow.lateShare());
			case AgentEffect.Stop stop -> {
				LOG.log(Level.INFO, "agent-stopped: " + (stop.code().isEmpty() ? "drained" : stop.code()));
				this.stopped.complete(stop.code());
			}
		}
	}

	private void drop(String file) {
		this.outside.store().drop(file).exceptionally((failure) -> {
			LOG.log(Level.WARNING, "weights-not-dropped: " + file + ": " + failure.getMessage());
			return null;
		});
	}

	private void fetch(AgentEffect.FetchWeights weights) {
		this.fetch.cancel(false);
		LOG.log(Level.INFO, "fetch-started: weights " + weights.weightsDigest());
		CompletableFuture<Void> next = this.transfer.fetch(weights.files());
		this.fetch = next;
		next.whenComplete((none, failure) -> {
			Progress now = this.transfer.progress();
			this.loop.post(new AgentEvent.FetchProgress(now.verified(), now.total()));
			if (failure == null) {
				this.loop.post(new AgentEvent.WeightsFetched(weights.weightsDigest()));
			}
			else if (!next.isCancelled()) {
				LOG.log(Level.ERROR, "fetch-failed: " + failure.getMessage());
				this.loop.post(new AgentEvent.WeightsFetchFailed(weights.weightsDigest(), codeOf(failure)));
			}
		});
	}

	private static String codeOf(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		return (failure instanceof CodedException coded) ? coded.code().name()
				: (cause instanceof CodedException inner) ? inner.code().name() : "fetch-failed";
	}

	private Transfer transfer() {
		String name = AgentSettings.transferPolicy(this.settings);
		TransferProvider provider = Plugins.find(TransferProvider.class, (one) -> one.name().equals(name))
			.orElseThrow(() -> CodedException.of(POLICY_UNKNOWN, name));
		return provider.create(new TransferContext(this.settings, this.self.vm(), this.self.failureDomain(), this.links,
				this.peers::hello, this.peers::frame, this.peers::onOther, this.outside.origin(), this.outside.store(),
				this.timer, this.metrics.registry()));
	}

	private static ScheduledExecutorService timer() {
		ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = Executors.defaultThreadFactory().newThread(task);
			thread.setDaemon(true);
			thread.setName("timer");
			return thread;
		});
		executor.setRemoveOnCancelPolicy(true);
		executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
		return executor;
	}

}
