package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;

/**
 * Carries out what {@link StoreRole} decides. Used by the state thread alone.
 */
final class StoreReading {

	private final StoreRole duty;

	private final SiteNews news;

	private final Following following;

	private final BiConsumer<String, Frame> sender;

	private final DecisionLog log;

	private boolean relied;

	/**
	 * Returns the reading of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	StoreReading(StoreRole duty, SiteNews news, Following following, BiConsumer<String, Frame> sender,
			DecisionLog log) {
		this.duty = duty;
		this.news = news;
		this.following = following;
		this.sender = sender;
		this.log = log;
	}

	/**
	 * Returns whether this entry hears the store from a neighbour.
	 */
	boolean rests() {
		return this.duty.isFollower();
	}

	/**
	 * Hears that what was read of a kind came too late to be taken. The reading goes on
	 * later from where it was, and would miss it.
	 */
	void missed(Kind kind) {
		this.following.forget(kind);
	}

	/**
	 * Does what is due.
	 * @param group the entries that share a reader with this one
	 * @param complete whether this entry has read all kinds
	 */
	void tick(Collection<String> group, boolean complete, long nowNanos) {
		carryOut(this.duty.tick(group, complete && this.news.mayRest(), nowNanos));
		if (this.news.reliedOn() != this.relied) {
			this.relied = this.news.reliedOn();
			this.following.reliedOn(this.relied);
		}
	}

	/**
	 * Hears an entry and returns what is new of it, as if the store had said it.
	 */
	List<DirectEvent> heard(String peer, News said, long nowNanos) {
		List<DirectEvent> fresh = this.news.heard(peer, said);
		this.news.asOfNanos(peer).ifPresent((asOf) -> this.duty.routesConfirmed(peer, asOf));
		if (this.duty.acceptsUpdatesFrom(peer)) {
			reader(peer, said, nowNanos);
		}
		return fresh;
	}

	// Signs that follow a lost frame tell nothing. An entry that rests takes a reader
	// whose news stay incomplete for silent, and reads itself: it would go on with an old
	// table otherwise.
	private void reader(String peer, News said, long nowNanos) {
		boolean current = said.getCurrent();
		boolean whole = this.news.whole(peer);
		if (!current && said.hasHeardAgoMillis()) {
			long agoNanos = TimeUnit.MILLISECONDS.toNanos(said.getHeardAgoMillis());
			carryOut(this.duty.followerStatusReceived(peer, agoNanos, nowNanos));
		}
		else if (whole || !current || !this.duty.hasLeader()) {
			carryOut(this.duty.statusReceived(peer, current, whole, nowNanos));
		}
	}

	private void carryOut(List<StoreRole.Step> steps) {
		for (StoreRole.Step step : steps) {
			this.log.decision("store-duty", "step", step);
			switch (step) {
				case StoreRole.Step.Ask ask -> this.sender.accept(ask.entry(), this.news.ask(ask.entry()));
				case StoreRole.Step.Dismiss dismiss -> this.news.unwanted(dismiss.entry());
				case StoreRole.Step.Rest rest -> {
					this.news.stopReading();
					this.following.pause();
				}
				case StoreRole.Step.Read read -> this.following.resume(this.news::readTo);
			}
		}
	}

}
