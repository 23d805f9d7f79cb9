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
 * A running agent: connects the {@link AgentStateMachine} to the I/O that supplies its
 * events and executes its effects.
 */
final class AgentProcess implements AutoCloseable {

	private static final Logger LOG = System.getLogger(AgentProcess.class.getName());

	private static final Code POLICY_UNKNOWN = Code.error("transfer-policy-unknown",
			"No transfer is registered under the name in the settings.");

	private static final int LINK_THREADS = 2;

	private static final long TICK_MILLIS = 1000;

	private final Settings settings;

	private final ExternalSystems externalSystems;

	private final AgentIdentity identity;

	private final Invariants invariants = Invariants.create();

	private final AgentMetrics metrics = new AgentMetrics();

	private final ScheduledExecutorService timer = createTimer();

	private final Links links;

	private final CompletableFuture<String> stopped = new CompletableFuture<>();

	private final AgentLoop loop;

	private final AgentLinks agentLinks;

	private final PlatformClient platformClient;

	private final EngineClient engineClient;

	private final RunnerCalls runnerCalls;

	private final BundleFetcher bundleFetcher;

	private final Transfer transfer;

	private final MembershipWatcher membershipWatcher;

	private CompletableFuture<Void> currentFetch = CompletableFuture.completedFuture(null);

	private Progress lastProgress = Progress.NONE;

	private LinkServer linkServer;

	private AdminServer adminServer;

	private AgentProcess(Settings settings, ExternalSystems externalSystems) {
		this.settings = settings;
		this.externalSystems = externalSystems;
		this.links = TlsSettings.links(settings, LINK_THREADS);
		this.identity = AgentSettings.identity(settings, UUID.randomUUID().toString());
		AgentStateMachine stateMachine = AgentStateMachine.create(this.identity, AgentSettings.limits(settings),
				AgentSettings.approvalPolicy(settings), this.invariants, RandomSource.XO_RO_SHI_RO_128_PP.create());
		this.loop = new AgentLoop(stateMachine, this::execute);
		this.agentLinks = new AgentLinks(this.identity, this.loop);
		this.platformClient = new PlatformClient(externalSystems.platform(), this.loop);
		this.engineClient = new EngineClient(externalSystems.engine(), this.loop);
		this.runnerCalls = new RunnerCalls(this.identity.service(), AgentSettings.RUNNER.get(settings),
				AgentSettings.CALL_TIMEOUT.get(settings), externalSystems.caller(), this.loop, this.metrics);
		this.bundleFetcher = new BundleFetcher(this.loop, this.agentLinks, externalSystems.platform(), this.timer);
		this.transfer = createTransfer();
		this.membershipWatcher = new MembershipWatcher(this.identity, this.loop, externalSystems, this.transfer,
				this.timer);
	}

	/**
	 * Starts an agent that accepts links.
	 * @param settings validated settings
	 */
	static AgentProcess start(Settings settings, ExternalSystems externalSystems) {
		AgentProcess process = new AgentProcess(settings, externalSystems);
		process.open();
		return process;
	}

	String readyLine() {
		return "{\"ready\":\"agent\",\"vm\":\"%s\",\"linkPort\":%d,\"adminPort\":%d}".formatted(this.identity.vm(),
				this.linkServer.port(), this.adminServer.port());
	}

	int linkPort() {
		return this.linkServer.port();
	}

	AgentStatus status() {
		return this.loop.status();
	}

	Invariants invariants() {
		return this.invariants;
	}

	/**
	 * Starts to drain the agent, which then stops.
	 */
	void leave() {
		this.loop.post(new AgentEvent.LeaveRequested());
	}

	/**
	 * Waits until the agent has stopped and returns the error code, empty if it has
	 * drained.
	 */
	String awaitStop() {
		return this.stopped.join();
	}

	@Override
	public void close() {
		this.membershipWatcher.stop();
		this.linkServer.close();
		this.transfer.close();
		this.links.close();
		this.loop.close();
		this.timer.shutdownNow();
		this.adminServer.close();
		this.externalSystems.close();
	}

	private void open() {
		this.runnerCalls.setLinks(this.agentLinks);
		this.agentLinks.setHandlers(this.runnerCalls, this.transfer, this.bundleFetcher, this.engineClient);
		this.metrics.registerGauges(this.loop, this.invariants);
		this.loop.start();
		this.linkServer = this.links.listen(new InetSocketAddress(AgentSettings.LINK_HOST.get(this.settings),
				AgentSettings.LINK_PORT.get(this.settings).intValue()), this.agentLinks);
		this.adminServer = AdminServer.start(
				new InetSocketAddress(CommonSettings.ADMIN_HOST.get(this.settings),
						CommonSettings.ADMIN_PORT.get(this.settings).intValue()),
				this.metrics.registry(), () -> status().admitting());
		this.membershipWatcher.start(AgentSettings.VM_LIST_INTERVAL.get(this.settings));
		this.timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		Progress progress = this.transfer.progress();
		if (!progress.equals(this.lastProgress)) {
			this.lastProgress = progress;
			this.loop.post(new AgentEvent.FetchProgress(progress.verified(), progress.total()));
		}
		this.loop.post(new AgentEvent.Tick());
		this.agentLinks.sendReport();
	}

	private void execute(AgentEffect effect) {
		switch (effect) {
			case AgentEffect.ScheduleTick wake -> this.timer.schedule(() -> this.loop.post(new AgentEvent.Tick()),
					wake.delayNanos(), TimeUnit.NANOSECONDS);
			case AgentEffect.ReadObject read -> this.platformClient.read(read.key());
			case AgentEffect.WriteObject write -> this.platformClient.write(write);
			case AgentEffect.FetchBundle bundle -> this.bundleFetcher.fetch(bundle.digest());
			case AgentEffect.FetchWeights weights -> fetch(weights);
			case AgentEffect.DeleteWeights drop -> drop.files().forEach(this::deleteWeights);
			case AgentEffect.ReadEngine read -> this.engineClient.readStatus();
			case AgentEffect.SendOrder order -> this.engineClient.sendOrder(order);
			case AgentEffect.StartCall call -> this.runnerCalls.start(call.call());
			case AgentEffect.RefuseCall refuse ->
				this.runnerCalls.refuse(refuse.call(), refuse.code(), refuse.retryAfterMillis());
			case AgentEffect.CancelCall cancel -> this.runnerCalls.cancel(cancel.call());
			case AgentEffect.SendReport report -> this.agentLinks.sendReport();
			case AgentEffect.AnnounceLeaving leaving -> this.agentLinks.sendLeaving();
			case AgentEffect.ThrottleTransfer slow -> this.transfer.setLateShare(slow.lateShare());
			case AgentEffect.Stop stop -> {
				LOG.log(Level.INFO, "agent-stopped: " + (stop.code().isEmpty() ? "drained" : stop.code()));
				this.stopped.complete(stop.code());
			}
		}
	}

	private void deleteWeights(String file) {
		this.externalSystems.store().delete(file).exceptionally((failure) -> {
			LOG.log(Level.WARNING, "weights-not-dropped: " + file + ": " + failure.getMessage());
			return null;
		});
	}

	private void fetch(AgentEffect.FetchWeights weights) {
		this.currentFetch.cancel(false);
		LOG.log(Level.INFO, "fetch-started: weights " + weights.weightsDigest());
		CompletableFuture<Void> next = this.transfer.fetch(weights.files());
		this.currentFetch = next;
		next.whenComplete((none, failure) -> {
			Progress progress = this.transfer.progress();
			this.loop.post(new AgentEvent.FetchProgress(progress.verified(), progress.total()));
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

	private Transfer createTransfer() {
		String name = AgentSettings.transferPolicy(this.settings);
		TransferProvider provider = Plugins.find(TransferProvider.class, (candidate) -> candidate.name().equals(name))
			.orElseThrow(() -> CodedException.of(POLICY_UNKNOWN, name));
		return provider.create(new TransferContext(this.settings, this.identity.vm(), this.identity.failureDomain(),
				this.links, this.agentLinks::newHello, this.agentLinks::newFrame, this.agentLinks::onControlFrame,
				this.externalSystems.origin(), this.externalSystems.store(), this.timer, this.metrics.registry()));
	}

	private static ScheduledExecutorService createTimer() {
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
