package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.entry.quarantine.SuspectExchange;
import org.wisteriapost.kernel.SuspensionDetector;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.EchoRequest;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.LoadReport;

/**
 * The entry's state machine. Events are applied on the state thread.
 */
final class DirectState {

	private static final int TICKS_PER_UPDATE = 5;

	private static final int TICKS_PER_ECHO = 8;

	// Connecting within a site takes some milliseconds.
	private static final long SLOW_CONNECTION_MILLIS = 20;

	private final EntryInfo self;

	private final Dispatcher dispatcher;

	private final CallOutput output;

	private final Duration activationDelay;

	private final Set<ObjectKind> kinds;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private final EntryClocks clocks;

	private final EntryRegistry roster;

	private final PeerNotifier announcer;

	private final DirectView view;

	private final GracefulShutdown shutdown;

	private final SiteView localView;

	private final StoreEvents storeEvents;

	private final RequestAdmission admission;

	private final EffectExecutor effects;

	private final QuarantineLog quarantineLog;

	private final RateLimitLog rateLimitLog;

	private final ContentionLog contentionLog;

	private final RunnerReports runnerReports;

	private final SuspensionDetector suspension;

	private final Map<Long, DirectCall> calls = new HashMap<>();

	private Optional<EntryRegistration> registration = Optional.empty();

	private Optional<PeerTransport> peers = Optional.empty();

	private Optional<LoadReporter> loadReports = Optional.empty();

	private Optional<FailureDomainRelay> failureDomainUpdates = Optional.empty();

	private Optional<SuspectExchange> suspects = Optional.empty();

	private long ticks;

	DirectState(SiteSettings settings, EntryInfo self, Dispatcher dispatcher, CallOutput output, DecisionLog log,
			DirectMetrics metrics, UniformRandomProvider random, EntryClocks clocks, DirectView view) {
		this.self = self;
		this.dispatcher = dispatcher;
		this.output = output;
		this.log = log;
		this.metrics = metrics;
		this.clocks = clocks;
		this.activationDelay = settings.guarantees().declarationActivationDelay();
		this.roster = new EntryRegistry(self);
		this.announcer = new PeerNotifier(settings, self, this.roster, dispatcher);
		this.kinds = ObjectKind.inUse(settings.guarantees());
		EvacuationUpdates evacuations = new EvacuationUpdates(dispatcher.evacuated(), log, metrics);
		this.localView = new SiteView(dispatcher, this.roster, this.announcer, log, this.activationDelay, evacuations,
				this.kinds);
		this.storeEvents = new StoreEvents(dispatcher, this.localView, log);
		this.view = view;
		this.shutdown = new GracefulShutdown(settings.guarantees().shutdownGrace());
		this.admission = new RequestAdmission(this.localView, this.shutdown, output, log, metrics, random,
				this.storeEvents::isFollower);
		this.effects = new EffectExecutor(output, log, metrics, this.localView, evacuations);
		this.quarantineLog = new QuarantineLog(log, metrics);
		this.rateLimitLog = new RateLimitLog(dispatcher.rateLimits(), log, metrics);
		this.contentionLog = new ContentionLog(log);
		this.runnerReports = new RunnerReports(dispatcher, log, metrics);
		this.suspension = SuspensionDetector.start(now(), clocks.wallMillis().getAsLong());
	}

	/**
	 * Sets the peers that frames are sent to and the store.
	 */
	void connect(PeerTransport peers, ObjectStore objectStore, StoreWatches following) {
		this.announcer.setTransport(peers);
		this.registration = Optional.of(new EntryRegistration(this.self, objectStore, this.roster, this.log));
		this.peers = Optional.of(peers);
		StoreRole duty = StoreRole.of(this.self.name(), this.activationDelay);
		UpstreamSelector upstream = UpstreamSelector.of(this.self.name());
		StoreReplication exchange = new StoreReplication(objectStore, duty, upstream, this.kinds, peers::send,
				this.clocks.monotonicNanos(), this.log);
		this.storeEvents.connect(exchange, new StoreRoleController(duty, exchange, following, peers::send, this.log),
				new StoreRestores(following, this.dispatcher, this.localView, this.log, this.metrics));
		this.loadReports = Optional.of(new LoadReporter(this.self.failureDomain(), peers::send));
		this.suspects = Optional.of(SuspectExchange.of(this.self.name(), this.dispatcher.quarantine(),
				peers::linkedEntries, (peer, report) -> peers.send(peer,
						Frame.newBuilder().setSuspectReport(report).build()) == PeerTransport.SendResult.SENT));
		this.failureDomainUpdates = Optional
			.of(new FailureDomainRelay(this.self.failureDomain(), this.roster, this.dispatcher, peers::send));
	}

	void apply(DirectEvent event) {
		long now = now();
		if (this.suspension.detectSuspension(now, this.clocks.wallMillis().getAsLong())) {
			resumed(now);
		}
		switch (event) {
			case DirectEvent.RequestArrived arrived -> requestArrived(arrived.request(), now);
			case DirectEvent.CallerDisconnected disconnected -> callerDisconnected(disconnected.id(), now);
			case DirectEvent.RunnerConnected connected -> runnerConnected(connected, now);
			case DirectEvent.FirstEventForwarded first -> firstEventForwarded(first, now);
			case DirectEvent.DispatchSuperseded superseded -> dispatchSuperseded(superseded, now);
			case DirectEvent.DispatchEnded ended -> dispatchEnded(ended, now);
			case DirectEvent.StoreEpochRead read -> this.storeEvents.epochRead(read, now);
			case DirectEvent.ObjectsListed listed -> this.storeEvents.objectsListed(listed, now);
			case DirectEvent.ObjectChanged changed ->
				this.storeEvents.objectChanged(changed.kind(), changed.change(), now);
			case DirectEvent.StoreReachability reachable -> this.storeEvents.reachabilityChanged(reachable, now);
			case DirectEvent.StoreConfirmed confirmed -> this.storeEvents.confirmed(confirmed);
			case DirectEvent.StoreWatchLost lost -> this.storeEvents.watchLost();
			case DirectEvent.PeerLinkChanged link -> peerLink(link.peer(), link.up(), now);
			case DirectEvent.PeerLeaving leaving -> this.roster.markLeaving(leaving.peer());
			case DirectEvent.PeerIdentified identified -> peerIdentified(identified.peer());
			case DirectEvent.PeerTableStated stated -> this.localView.peerTableStated(stated.peer(), stated.version());
			case DirectEvent.PeerLoadReported loads -> peerLoads(loads.peer(), loads.report(), now);
			case DirectEvent.RunnerLeaving leaving -> this.runnerReports.leavingStated(leaving.runner());
			case DirectEvent.RunnerResting resting -> this.runnerReports.restStated(resting, now);
			case DirectEvent.RunnerCold cold -> this.runnerReports.coldStated(cold, now);
			case DirectEvent.RunnerRateStated stated ->
				this.dispatcher.rateLimits().stated(stated.call().job(), stated.dispatch(), stated.perSecond(), now);
			case DirectEvent.RunnerChecked checked -> this.runnerReports.checked(checked, now);
			case DirectEvent.SuspectsReported reported ->
				this.suspects.ifPresent((exchange) -> exchange.reportReceived(reported.peer(), reported.report(), now));
			case DirectEvent.FailureDomainReported report -> this.failureDomainUpdates
				.ifPresent((domains) -> domains.stateReceived(report.peer(), report.report(), now)
					.forEach((one) -> this.runnerReports.engineStatus(one, now)));
			case DirectEvent.PeerStateUpdated update -> this.storeEvents.peerUpdated(update, now);
			case DirectEvent.PeerSubscriptionChanged subscription ->
				this.storeEvents.subscriptionChanged(subscription.peer(), subscription.request(), now);
			case DirectEvent.EngineStatusReported reported -> this.runnerReports.engineStatus(reported.status(), now);
			case DirectEvent.EchoReceived echo ->
				this.dispatcher.runnerPaths().echoReceived(echo.address(), echo.stampNanos(), now);
			case DirectEvent.Tick tick -> tick(now);
			case DirectEvent.Leave leave -> leave(now);
		}
		applyEffects();
		this.quarantineLog.report(this.dispatcher.quarantine());
		if (this.rateLimitLog.report()) {
			this.loadReports.ifPresent(LoadReporter::rateLimitsChanged);
		}
		publish();
	}

	private long now() {
		return this.clocks.monotonicNanos().getAsLong();
	}

	private void resumed(long now) {
		this.log.decision("woke");
		this.localView.suspended(now);
		this.storeEvents.suspended(now);
	}

	private void requestArrived(IncomingRequest request, long now) {
		this.admission.admit(request, now).ifPresent((job) -> {
			this.calls.put(request.id(), new DirectCall(request, job));
			this.metrics.requestArrived(job, this.self.region());
			this.dispatcher.requestArrived(job, now);
		});
	}

	private void callerDisconnected(long id, long now) {
		DirectCall call = this.calls.get(id);
		if (call != null) {
			this.log.decision("caller-gone", "attempt", call.job().attemptId());
			this.dispatcher.callerDisconnected(call.job(), now);
			applyEffects();
			this.calls.remove(id);
		}
	}

	private void runnerConnected(DirectEvent.RunnerConnected connected, long now) {
		Job job = connected.call().job();
		if (job.isOpen(connected.dispatch())) {
			long millis = TimeUnit.NANOSECONDS.toMillis(now - job.sentNanos());
			if (millis >= SLOW_CONNECTION_MILLIS) {
				this.log.decision("slow-connection", "attempt", job.attemptId(), "dispatch", connected.dispatch(), "ms",
						millis);
			}
			this.dispatcher.connectionEstablished(job, connected.dispatch(), now);
		}
	}

	private void firstEventForwarded(DirectEvent.FirstEventForwarded first, long now) {
		Job job = first.call().job();
		if (job.isOpen(first.dispatch())) {
			this.metrics.firstEvent(job, first.dispatch(), now);
			this.dispatcher.firstEventSent(job, first.dispatch(), now);
		}
	}

	private void dispatchSuperseded(DirectEvent.DispatchSuperseded superseded, long now) {
		Job job = superseded.call().job();
		if (job.isOpen(superseded.dispatch())) {
			this.log.decision("dispatch-superseded", "attempt", job.attemptId(), "dispatch", superseded.dispatch(),
					"by", superseded.by());
			this.metrics.superseded(superseded.dispatch(), superseded.by());
			this.dispatcher.dispatchSuperseded(job, superseded.dispatch(), superseded.by(), now);
		}
	}

	private void dispatchEnded(DirectEvent.DispatchEnded ended, long now) {
		Job job = ended.call().job();
		if (!job.isOpen(ended.dispatch())) {
			return;
		}
		this.log.decision("dispatch-ended", "attempt", job.attemptId(), "dispatch", ended.dispatch(), "outcome",
				ended.outcome(), "detail", ended.detail(), "events", job.events(), "sinceFirstEventMs",
				job.sinceFirstEventMillis(ended.dispatch(), now), "ageMs",
				TimeUnit.NANOSECONDS.toMillis(now - job.arrivedNanos()), "connection",
				DispatchHistory.describe(ended.connection()));
		ended.call().history().add(ended);
		this.metrics.dispatchEnded(job, ended.outcome(), now);
		this.dispatcher.dispatchEnded(job, ended.dispatch(), ended.outcome(), now);
		if (ended.outcome() == DispatchOutcome.DONE) {
			applyEffects();
			this.calls.remove(job.id());
		}
	}

	// Events from peers and agents, and reports to them.

	private void peerLink(String peer, boolean up, long now) {
		this.roster.linkChanged(peer, up, now);
		this.announcer.peersChanged();
		if (up) {
			this.dispatcher.runnerPaths().agentConnected(peer);
			this.announcer.linkEstablished(peer, this.localView.routeTable());
			this.loadReports.ifPresent(LoadReporter::repeatAll);
		}
		else {
			this.dispatcher.peerLoads().remove(peer);
			this.dispatcher.runnerPaths().agentDisconnected(peer);
		}
	}

	private void peerIdentified(String peer) {
		this.announcer.greetingReceived(peer);
		if (this.storeEvents.storeStatesEpochs()) {
			this.announcer.sendTable(peer, this.localView.routeTable());
		}
		this.suspects.ifPresent((exchange) -> exchange.linkEstablished(peer));
		this.storeEvents.linkEstablished(peer);
	}

	private void peerLoads(String peer, LoadReport report, long now) {
		report.getRefusedList().forEach((one) -> this.dispatcher.recordPeerRefusal(LoadReportCodec.decode(one, now)));
		report.getLoadsList()
			.forEach((load) -> this.dispatcher.peerLoads().update(peer, LoadReportCodec.decode(load), now));
		report.getContendedList()
			.forEach((one) -> this.dispatcher.contention().reported(peer, LoadReportCodec.decode(one), now));
		this.dispatcher.rateLimits().merge(peer, LoadReportCodec.decodeRates(report, now), now);
	}

	private void tick(long now) {
		this.ticks++;
		this.dispatcher.tick(now);
		if (this.shutdown.endsRequests(now)) {
			this.dispatcher.endAll(RequestAdmission.ENTRY_STOPPING, now);
		}
		this.dispatcher.quarantine().runnersToCheck(now).forEach(this.output::check);
		this.announcer.tick(this.localView.routeTable(), now);
		this.loadReports.ifPresent((reports) -> reports.tick(this.ticks, now, this.roster::loadReportReceivers,
				DispatcherLoad.of(this.dispatcher, now)));
		this.failureDomainUpdates.ifPresent((domains) -> domains.tick(this.ticks, now));
		this.suspects.ifPresent((exchange) -> exchange.tick(this.ticks, now));
		if (this.ticks % TICKS_PER_UPDATE == 0) {
			this.dispatcher.updateEntryCount(this.roster.entryCount());
			this.rateLimitLog.updateEntries(this.roster, this.localView, now);
			this.metrics.slotsReserved(this.dispatcher.contention().reservedSlots().current(now));
			this.localView.tick(now);
			this.storeEvents.tick(this.roster.linkDistances(this.peers.orElseThrow().linkedEntries()),
					this.roster.leaderGroup(), now);
		}
		if (this.ticks % TICKS_PER_ECHO == 0) {
			requestEchoes(now);
		}
		this.contentionLog.report(this.dispatcher.contention(), now);
		this.runnerReports.tick(now);
		if (!this.shutdown.leaving()) {
			this.registration.ifPresent((one) -> one.tick(this.ticks, ready(), now));
		}
	}

	private void requestEchoes(long now) {
		Frame echoRequest = Frame.newBuilder().setEchoRequest(EchoRequest.newBuilder().setStamp(now)).build();
		this.dispatcher.runnerPaths()
			.pollChanges(now)
			.forEach((path) -> this.log.decision("way", "address", path.address(), "closed", path.blocked()));
		this.dispatcher.runnerPaths()
			.runnersToProbe(now)
			.forEach((address) -> this.peers.ifPresent((sender) -> sender.send(address, echoRequest)));
	}

	private void leave(long now) {
		if (this.shutdown.leaving()) {
			return;
		}
		this.shutdown.begin(now);
		this.log.decision("leaving", "inProgress", this.dispatcher.inProgress());
		this.announcer.announceLeaving();
	}

	private void applyEffects() {
		for (DispatchEffect effect : this.dispatcher.drainEffects()) {
			DirectCall call = this.calls.get(effect.job().id());
			if (call != null && this.effects.apply(effect, call, now())) {
				this.rateLimitLog.ended(effect, now());
				reportRefused(effect);
				this.calls.remove(effect.job().id());
			}
		}
	}

	private void reportRefused(DispatchEffect effect) {
		if (!(effect instanceof DispatchEffect.ForwardError)) {
			this.loadReports
				.ifPresent((reports) -> effect.job().refusedRequest().ifPresent(reports::addRefusedRequest));
		}
	}

	private boolean ready() {
		return this.localView.isReady(now()) && !this.shutdown.leaving();
	}

	private void publish() {
		this.view.publish(ready(), this.shutdown.leaving(), this.roster.advertisedEntries(ready()),
				this.roster.scopedByFailureDomain(), this.localView.routeTable(),
				this.localView.rejectionPermit(now(), this.clocks.wallMillis().getAsLong()),
				this.shutdown.mayExit(this.dispatcher.inProgress() + this.view.openAnswers().count(), now()));
	}

}
