package org.wisteriapost.standin.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.entry.claim.ClaimReply;
import org.wisteriapost.entry.claim.ClaimStore;
import org.wisteriapost.policy.claim.ClaimEffect;
import org.wisteriapost.policy.claim.ClaimKey;
import org.wisteriapost.policy.claim.ClaimRecord.State;
import org.wisteriapost.policy.claim.ClaimRecord.StoredAnswer;
import org.wisteriapost.policy.claim.ClaimResult;
import org.wisteriapost.policy.claim.ClaimTable;
import org.wisteriapost.protocol.outside.Platform;

/**
 * Generates the claims of one entry; each successful claim is settled at once with a
 * small response.
 */
final class ClaimLoadGenerator implements AutoCloseable {

	private static final long TICK_MILLIS = 20;

	private static final StoredAnswer ANSWER = new StoredAnswer(200, List.of("Content-Type", "application/json"),
			new byte[100]);

	private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();

	private final Map<Long, PendingClaim> pending = new HashMap<>();

	private final ClaimTable table;

	private final ClaimStore store;

	private final Histogram latency;

	private final LongAdder refused;

	private ClaimLoadGenerator(Platform platform, int writes, long seed, Histogram latency, LongAdder refused) {
		this.table = ClaimTable.create(writes, RandomSource.SPLIT_MIX_64.create(seed), System.nanoTime());
		this.store = ClaimStore.of(platform, (reply) -> execute(() -> reply(reply)));
		this.latency = latency;
		this.refused = refused;
	}

	static ClaimLoadGenerator start(Platform platform, int writes, long seed, Histogram latency, LongAdder refused) {
		ClaimLoadGenerator generator = new ClaimLoadGenerator(platform, writes, seed, latency, refused);
		generator.loop.scheduleAtFixedRate(() -> generator.executeEffects(generator.table.tick(System.nanoTime())),
				TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
		return generator;
	}

	void offer(long id) {
		long now = System.nanoTime();
		execute(() -> {
			ClaimKey key = ClaimKey.of("organisation", "key-" + id, System.currentTimeMillis());
			PendingClaim claim = new PendingClaim(key, UUID.randomUUID().toString(), now);
			this.pending.put(id, claim);
			executeEffects(this.table.claim(id, key, "call", claim.nonce, System.nanoTime()));
		});
	}

	@Override
	public void close() {
		this.loop.shutdownNow();
	}

	private void reply(ClaimReply reply) {
		long now = System.nanoTime();
		executeEffects(switch (reply) {
			case ClaimReply.Found found ->
				this.table.onRead(found.object(), found.value(), found.version(), found.conflict(), now);
			case ClaimReply.Written written -> this.table.onWritten(written.object(), written.version(), now);
			case ClaimReply.Failed failed -> this.table.onFailure(failed.object(), failed.unconfirmed(), now);
		});
	}

	private void executeEffects(List<ClaimEffect> effects) {
		for (ClaimEffect effect : effects) {
			switch (effect) {
				case ClaimEffect.Read read -> this.store.read(read);
				case ClaimEffect.Write write -> this.store.write(write);
				case ClaimEffect.Complete tell -> complete(tell.result());
			}
		}
	}

	private void complete(ClaimResult verdict) {
		PendingClaim claim = this.pending.remove(verdict.id());
		if (verdict instanceof ClaimResult.Claimed) {
			this.latency.recordValue(System.nanoTime() - claim.atNanos);
			executeEffects(this.table.settle(claim.key, claim.nonce, State.ANSWERED, ANSWER, System.nanoTime()));
			return;
		}
		this.refused.increment();
	}

	private void execute(Runnable task) {
		try {
			this.loop.execute(task);
		}
		catch (RejectedExecutionException ex) {
			// Replies after the end of the run are not counted.
		}
	}

	private record PendingClaim(ClaimKey key, String nonce, long atNanos) {
	}

}
