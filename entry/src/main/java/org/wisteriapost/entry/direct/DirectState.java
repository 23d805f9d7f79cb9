package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.SuspensionWatch;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchOutcome;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.protocol.site.EngineFrames;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.EchoRequest;
import org.wisteriapost.protocol.wire.EngineState;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.LoadReport;

/**
 * The entry's state. One thread applies events to it.
 */
final class DirectState {

	private static final int TICKS_PER_NEWS = 5;

	private static final int TICKS_PER_ECHO = 8;

	// Within a site a connection takes some milliseconds.
	private static final long SLOW_CONNECTION_MILLIS = 20;

	private final EntryInfo self;

	private final Dispatcher dispatcher;

	private final CallOutput output;

	private final Duration declaredInForce;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private final DirectClock clock;

	private final EntryRoster roster;

	private final Announcer announcer;

	private final DirectView view;

	private final Departure departure;

	private final SiteBeliefs beliefs;

	private final Intake intake;

	private final SuspensionWatch suspension;

	private final Map<Long, DirectCall> calls = new HashMap<>();

	private Optional<ObjectStore> store = Optional.empty();

	private Optional<PeerSender> mesh = Optional.empty();

	private Optional<SiteNews> news = Optional.empty();

	private Optional<StoreReading> reading = Optional.empty();

	private Optional<LoadReports> reports = Optional.empty();

	private Optional<PlaceNews> places = Optional.empty();

	private boolean registering;

	private long ticks;

	DirectState(SiteSettings settings, EntryInfo self, Dispatcher dispatcher, CallOutput output, DecisionLog log,
			DirectMetrics metrics, UniformRandomProvider random, DirectClock clock, DirectView view) {
		this.self = self;
		this.dispatcher = dispatcher;
		this.output = output;
		this.log = log;
		this.metrics = metrics;
		this.clock = clock;
		this.declaredInForce = settings.bounds().declaredInForce();
		this.roster = new EntryRoster(self);
		this.announcer = new Announcer(settings, self, this.roster, dispatcher);
		this.beliefs = new SiteBeliefs(dispatcher, this.roster, this.announcer, log,
				settings.bounds().declaredInForce());
		this.view = view;
		this.departure = new Departure(settings.bounds().grace());
		this.intake = new Intake(this.beliefs, this.departure, output, log, metrics, random, this::rests);
		this.suspension = SuspensionWatch.start(now(), clock.dayMillis().getAsLong());
	}

	/**
	 * Sets what the entry tells others by.
	 */
	void connect(PeerSender links, ObjectStore objects, Following following) {
		this.announcer.connect(links);
		this.store = Optional.of(objects);
		this.mesh = Optional.of(links);
		StoreRole duty = StoreRole.of(this.self.name(), this.declaredInForce);
		UpstreamSelector upstream = UpstreamSelector.of(this.self.name());
		SiteNews passed = new SiteNews(objects, duty, upstream, links::send, this.clock.nanos(), this.log);
		this.news = Optional.of(passed);
		this.reading = Optional.of(new StoreReading(duty, passed, following, links::send, this.log));
		this.reports = Optional.of(new LoadReports(this.self.failureDomain(), links::send));
		this.places = Optional.of(new PlaceNews(this.self.failureDomain(), this.roster, this.dispatcher, links::send));
	}

	void apply(DirectEvent event) {
		long now = now();
		if (this.suspension.woke(now, this.clock.dayMillis().getAsLong())) {
			woke(now);
		}
		switch (event) {
			case DirectEvent.Arrived arrived -> arrived(arrived.arrival(), now);
			case DirectEvent.CallerGone gone -> callerGone(gone.id(), now);
			case DirectEvent.Connected connected -> connected(connected, now);
			case DirectEvent.FirstEvent first -> firstEvent(first, now);
			case DirectEvent.Ended ended -> ended(ended, now);
			case DirectEvent.AllObjects all -> all(all, now);
			case DirectEvent.ObjectChanged changed -> changed(changed.kind(), changed.change(), now);
			case DirectEvent.StoreReachable reachable -> reachable(reachable, now);
			case DirectEvent.StoreConfirmed known -> confirmed(known);
			case DirectEvent.StoreDoubtful doubtful -> this.news.ifPresent(SiteNews::dismiss);
			case DirectEvent.PeerLink link -> peerLink(link.peer(), link.up(), now);
			case DirectEvent.PeerLeaving leaving -> this.roster.leaving(leaving.peer());
			case DirectEvent.PeerMet met -> peerMet(met.peer());
			case DirectEvent.PeerLoads loads -> peerLoads(loads.peer(), loads.report(), now);
			case DirectEvent.PlaceSays says -> this.places
				.ifPresent((all) -> all.heard(says.peer(), says.state(), now).forEach((one) -> agentSays(one, now)));
			case DirectEvent.PeerNews heard -> news(heard, now);
			case DirectEvent.PeerWantsNews wants ->
				this.news.ifPresent((passed) -> passed.asked(wants.peer(), wants.request()));
			case DirectEvent.AgentSays says -> agentSays(says.state(), now);
			case DirectEvent.AgentEcho echo ->
				this.dispatcher.runnerPaths().echoReceived(echo.address(), echo.stampNanos(), now);
			case DirectEvent.Tick tick -> tick(now);
			case DirectEvent.Leave leave -> leave(now);
		}
		carryOut();
		publish();
	}

	private long now() {
		return this.clock.nanos().getAsLong();
	}

	private void woke(long now) {
		this.log.decision("woke");
		this.beliefs.suspended(now);
		this.news.ifPresent((passed) -> passed.suspended(now));
	}

	private void arrived(Arrival arrival, long now) {
		this.intake.admit(arrival, now).ifPresent((job) -> {
			this.calls.put(arrival.id(), new DirectCall(arrival, job));
			this.dispatcher.requestArrived(job, now);
		});
	}

	private void callerGone(long id, long now) {
		DirectCall call = this.calls.get(id);
		if (call != null) {
			this.log.decision("caller-gone", "attempt", call.job().attemptId());
			this.dispatcher.callerDisconnected(call.job(), now);
			carryOut();
			this.calls.remove(id);
		}
	}

	private void connected(DirectEvent.Connected connected, long now) {
		if (connected.dispatch() == connected.call().job().dispatchNumber()) {
			Job job = connected.call().job();
			long millis = TimeUnit.NANOSECONDS.toMillis(now - job.sentNanos());
			if (millis >= SLOW_CONNECTION_MILLIS) {
				this.log.decision("slow-connection", "attempt", job.attemptId(), "dispatch", connected.dispatch(), "ms",
						millis);
			}
			this.dispatcher.connectionEstablished(job, now);
		}
	}

	private void firstEvent(DirectEvent.FirstEvent first, long now) {
		if (first.dispatch() == first.call().job().dispatchNumber()) {
			this.metrics.firstEvent(first.call().job(), now);
			this.dispatcher.firstEventSent(first.call().job(), now);
		}
	}

	private void ended(DirectEvent.Ended ended, long now) {
		Job job = ended.call().job();
		if (ended.dispatch() != job.dispatchNumber()) {
			return;
		}
		this.log.decision("dispatch-ended", "attempt", job.attemptId(), "dispatch", ended.dispatch(), "outcome",
				ended.outcome(), "detail", ended.detail(), "events", job.events(), "ageMs",
				TimeUnit.NANOSECONDS.toMillis(now - job.arrivedNanos()));
		this.metrics.ended(job, ended.outcome(), now);
		this.dispatcher.dispatchEnded(job, ended.outcome(), now);
		if (ended.outcome() == DispatchOutcome.DONE) {
			this.calls.remove(job.id());
		}
	}

	// What the store says.

	// What was on its way here when a neighbour took over is older than what that says.
	private void all(DirectEvent.AllObjects all, long now) {
		if (rests()) {
			missed(all.kind());
			return;
		}
		this.news.ifPresent((passed) -> passed.read(all.kind(), all.items(), all.at()));
		this.beliefs.all(all.kind(), all.items(), now);
	}

	private void changed(Kind kind, ObjectStore.Change change, long now) {
		if (rests()) {
			missed(kind);
		}
		else if (this.news.map((passed) -> passed.read(kind, change)).orElse(true)) {
			this.beliefs.changed(kind, change, now);
		}
	}

	private void missed(Kind kind) {
		this.reading.ifPresent((all) -> all.missed(kind));
	}

	private boolean rests() {
		return this.reading.map(StoreReading::rests).orElse(false);
	}

	private void reachable(DirectEvent.StoreReachable reachable, long now) {
		this.log.decision("store", "kind", reachable.kind(), "reachable", reachable.reachable());
		if (reachable.kind() == Kind.RUNNERS) {
			this.dispatcher.updateStoreReachable(reachable.reachable(), now);
			this.news.ifPresent((passed) -> passed.reachable(reachable.reachable()));
		}
	}

	// What was on its way here when a neighbour took over was not taken, so it confirms
	// nothing.
	private void confirmed(DirectEvent.StoreConfirmed known) {
		if (known.kind() == Kind.ROUTES && !rests()) {
			this.beliefs.confirmed(known.asOfNanos());
			this.news.ifPresent((passed) -> passed.confirmed(known.asOfNanos()));
		}
	}

	// What another entry passes on while the store does not answer this one.
	private void news(DirectEvent.PeerNews heard, long now) {
		List<DirectEvent> fresh = this.reading.map((all) -> all.heard(heard.peer(), heard.news(), now))
			.orElse(List.of());
		if (!fresh.isEmpty()) {
			this.dispatcher.updateStoreReachable(true, now);
		}
		for (DirectEvent one : fresh) {
			switch (one) {
				case DirectEvent.AllObjects every -> this.beliefs.all(every.kind(), every.items(), now);
				case DirectEvent.ObjectChanged change -> this.beliefs.changed(change.kind(), change.change(), now);
				default -> throw new IllegalStateException("not from the store: " + one);
			}
		}
		this.news.map(SiteNews::asOfNanos).orElse(OptionalLong.empty()).ifPresent(this.beliefs::confirmed);
	}

	// What others say, and what they are told.

	private void peerLink(String peer, boolean up, long now) {
		this.roster.linked(peer, up, now);
		this.announcer.changed();
		if (up) {
			this.announcer.linked(peer, this.beliefs.table());
			this.reports.ifPresent(LoadReports::again);
		}
		else {
			this.dispatcher.removePeer(peer);
			this.dispatcher.runnerPaths().agentDisconnected(peer);
		}
	}

	private void peerMet(String peer) {
		this.announcer.met(peer);
		this.news.ifPresent((passed) -> passed.linked(peer));
	}

	private void peerLoads(String peer, LoadReport report, long now) {
		report.getRefusedList().forEach((one) -> this.dispatcher.recordPeerRefusal(LoadFrames.read(one, now)));
		report.getLoadsList().forEach((load) -> this.dispatcher.updatePeerLoad(peer, LoadFrames.read(load), now));
	}

	private void agentSays(EngineState says, long now) {
		this.log.decision("agent-says", "address", says.getAddress(), "version", says.getVersion(), "switching",
				says.getSwitching(), "closesInMs", says.getClosesInMillis());
		this.dispatcher.updateEngineStatus(says.getAddress(), EngineFrames.read(says, now), now);
	}

	private void tick(long now) {
		this.ticks++;
		this.dispatcher.tick(now);
		this.announcer.tick(this.beliefs.table(), now);
		this.reports
			.ifPresent((due) -> due.tick(this.ticks, now, this.roster::told, this.dispatcher.fleetView()::ownLoad));
		this.places.ifPresent((due) -> due.tick(this.ticks, now));
		if (this.ticks % TICKS_PER_NEWS == 0) {
			this.dispatcher.updateEntryCount(this.roster.count());
			this.news.ifPresent((passed) -> passed.tick(this.roster.distances(this.mesh.orElseThrow().entries()), now));
			this.reading.ifPresent((all) -> all.tick(this.roster.sharingReader(), this.beliefs.whole(), now));
		}
		if (this.ticks % TICKS_PER_ECHO == 0) {
			askForEchoes(now);
		}
		register(now);
	}

	private void askForEchoes(long now) {
		Frame ask = Frame.newBuilder().setEchoRequest(EchoRequest.newBuilder().setStamp(now)).build();
		this.dispatcher.runnerPaths()
			.pollChanges(now)
			.forEach((way) -> this.log.decision("way", "address", way.address(), "closed", way.blocked()));
		this.dispatcher.runnerPaths()
			.runnersToProbe(now)
			.forEach((address) -> this.mesh.ifPresent((links) -> links.send(address, ask)));
	}

	private void register(long now) {
		if (this.store.isEmpty() || this.departure.leaving()) {
			return;
		}
		if (ready() && !this.registering && !this.roster.selfRegistered() && this.ticks % 25 == 1) {
			this.registering = true;
			this.store.get().register(this.self).whenComplete((none, failure) -> this.registering = false);
		}
		if (this.ticks % 100 == 0) {
			this.roster.dead(now).ifPresent((dead) -> {
				this.log.decision("entry-removed", "entry", dead.info().name());
				this.store.get().unregister(dead.info().name(), dead.revision());
			});
		}
	}

	private void leave(long now) {
		if (this.departure.leaving()) {
			return;
		}
		this.departure.leave(now);
		this.log.decision("leaving", "inProgress", this.dispatcher.inProgress());
		this.announcer.leaving();
	}

	// What is done.

	private void carryOut() {
		for (DispatchEffect effect : this.dispatcher.drainEffects()) {
			DirectCall call = this.calls.get(effect.job().id());
			if (call != null) {
				carryOut(effect, call);
			}
		}
	}

	private void carryOut(DispatchEffect effect, DirectCall call) {
		switch (effect) {
			case DispatchEffect.Send send -> {
				this.log.decision("dispatched", "attempt", send.job().attemptId(), "dispatch",
						send.job().dispatchNumber(), "route", send.job().route().name(), "runner", send.runner().id(),
						"address", send.runner().address(), "rank", send.rank(), "version", send.weightsVersion(),
						"table", this.beliefs.version(), "prompt", send.job().size().promptTokens(), "answer",
						send.job().size().maxAnswerTokens(), "predictedMs", Math.round(send.job().predictedMillis()),
						"tries", send.requiresNewConnection());
				this.metrics.dispatched();
				this.output.send(call, send);
			}
			case DispatchEffect.Cancel stop -> this.output.stop(call);
			case DispatchEffect.Refuse refuse -> {
				this.log.failure("refused", "attempt", refuse.job().attemptId(), "code", refuse.code().name(), "route",
						refuse.job().route().name(), "retryAfterMs", refuse.retryAfterMillis(), "ageMs",
						TimeUnit.NANOSECONDS.toMillis(now() - refuse.job().arrivedNanos()));
				this.metrics.answered("refused", refuse.code().name());
				this.output.refuse(call, refuse.code(), refuse.retryAfterMillis());
				tellRefused(refuse.job());
				this.calls.remove(refuse.job().id());
			}
			case DispatchEffect.Fail fail -> {
				this.log.failure("failed", "attempt", fail.job().attemptId(), "code", fail.code().name(), "events",
						fail.job().events());
				this.metrics.answered("failed", fail.code().name());
				this.output.fail(call, fail.code(), fail.timeout());
				tellRefused(fail.job());
				this.calls.remove(fail.job().id());
			}
			case DispatchEffect.ForwardError passOn -> {
				this.log.failure("passed-on", "attempt", passOn.job().attemptId());
				this.output.passOn(call);
				this.calls.remove(passOn.job().id());
			}
		}
	}

	private void tellRefused(Job job) {
		this.reports.ifPresent((due) -> job.refusedRequest().ifPresent(due::refused));
	}

	private boolean ready() {
		return this.beliefs.complete() && !this.departure.leaving();
	}

	private void publish() {
		this.view.publish(ready(), this.departure.leaving(), this.roster.ready(ready()), this.roster.byPlace(),
				this.beliefs.table().map(RouteTable::limits),
				this.beliefs.rejectionPermit(now(), this.clock.dayMillis().getAsLong()),
				this.departure.over(this.dispatcher.inProgress(), now()));
	}

}
