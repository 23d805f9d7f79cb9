package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

class BusyPeerTests {

	private static final long MILLI = 1_000_000;

	private static final int CHUNK = 32_768;

	private static final Peer OTHER = new Peer("other", "place");

	private static final Peer THIRD = new Peer("third", "place");

	private final ChunkIndex chunks = ChunkIndex.of(List.of(new WeightFile("model", "1", "model", "etag", 40L * CHUNK,
			CHUNK, IntStream.range(0, 40).mapToObj((index) -> "hash-" + index).toList())));

	private final TransferStateMachine machine = TransferStateMachine.create(this.chunks, new Peer("self", "place"),
			TransferLimits.standard(), RandomSource.XO_RO_SHI_RO_128_PP.create(7), Invariants.create());

	private long now = Duration.ofHours(5).toNanos();

	// A peer sends the first part of a chunk and then answers busy to every further
	// request, while another holder is idle.
	@Test
	void partialChunkIsRequestedElsewhereWhenItsPeerStaysBusy() {
		apply(new TransferEvent.RateSet(300_000));
		apply(new TransferEvent.PeersChanged(List.of(OTHER, THIRD)));
		apply(new TransferEvent.LinkUp(OTHER.vm()));
		apply(new TransferEvent.LinkUp(THIRD.vm()));
		apply(new TransferEvent.StoreScanned(new BitSet()));
		BitSet held = new BitSet();
		held.set(23);
		apply(new TransferEvent.PeerHolds(OTHER.vm(), held));
		this.now += 200 * MILLI;
		List<TransferEffect.Request> open = requestsTo(OTHER, apply(new TransferEvent.Tick()));
		assertThat(open.size(), is(1));
		List<TransferEffect> effects = new ArrayList<>(
				apply(new TransferEvent.PartReceived(23, OTHER.vm(), open.getFirst().length())));
		effects.addAll(apply(new TransferEvent.PeerHolds(THIRD.vm(), held)));
		open = new ArrayList<>(requestsTo(OTHER, effects));
		int busy = 0;
		for (int tick = 0; tick < 1500; tick++) {
			this.now += 20 * MILLI;
			List<TransferEffect> next = new ArrayList<>(apply(new TransferEvent.Tick()));
			for (TransferEffect.Request request : open) {
				busy++;
				next.addAll(apply(new TransferEvent.Refused(request.chunk(), OTHER.vm(), true)));
			}
			open = requestsTo(OTHER, next);
			effects.addAll(next);
		}
		assertThat("busy " + busy + " times in 30 s; requests to the idle peer",
				requestsTo(THIRD, effects).stream().map(TransferEffect.Request::chunk).toList(), hasItem(23));
	}

	// All eight peers hold every chunk. Six of them send the first part of each chunk
	// and then mostly answer busy; two are idle. The fetch must complete from the idle
	// ones.
	@ParameterizedTest
	@ValueSource(ints = { 50, 80, 95, 100 })
	void busyPeersDoNotBlockRequestsToIdlePeers(int busyPercent) {
		Random random = new Random(busyPercent);
		TransferLimits limits = new TransferLimits(TransferLimits.Distribution.SWARM, 1, 2, 8, 6, 1,
				Duration.ofMillis(600), Duration.ofMillis(80), 16, true, true);
		TransferStateMachine machine = TransferStateMachine.create(this.chunks, new Peer("self", "place"), limits,
				RandomSource.XO_RO_SHI_RO_128_PP.create(7), Invariants.create());
		List<Peer> peers = IntStream.range(0, 8).mapToObj((index) -> new Peer("peer-" + index, "place")).toList();
		machine.apply(new TransferEvent.RateSet(565_000), this.now);
		machine.apply(new TransferEvent.PeersChanged(peers), this.now);
		BitSet all = new BitSet();
		all.set(0, this.chunks.count());
		List<TransferEffect> effects = new ArrayList<>();
		for (Peer peer : peers) {
			effects.addAll(machine.apply(new TransferEvent.LinkUp(peer.vm()), this.now));
			effects.addAll(machine.apply(new TransferEvent.PeerHolds(peer.vm(), all), this.now));
		}
		effects.addAll(machine.apply(new TransferEvent.StoreScanned(new BitSet()), this.now));
		int idleRequests = 0;
		for (int tick = 0; tick < 1500; tick++) {
			this.now += 20 * MILLI;
			List<TransferEffect> previous = effects;
			effects = new ArrayList<>();
			for (TransferEffect effect : previous) {
				if (effect instanceof TransferEffect.Store store) {
					effects.addAll(machine.apply(new TransferEvent.Stored(store.chunk()), this.now));
				}
				else if (effect instanceof TransferEffect.Request request) {
					boolean idle = request.vm().compareTo("peer-6") >= 0;
					idleRequests += (idle && tick >= 500) ? 1 : 0;
					effects
						.addAll(machine.apply(answer(request, idle || random.nextInt(100) >= busyPercent), this.now));
				}
			}
			effects.addAll(machine.apply(new TransferEvent.Tick(), this.now));
		}
		assertThat("chunks after 30 s; requests to idle peers in the last 20 s: " + idleRequests,
				machine.verifiedCount(), is(40));
	}

	private static TransferEvent answer(TransferEffect.Request request, boolean idle) {
		if (!idle && request.offset() > 0) {
			return new TransferEvent.Refused(request.chunk(), request.vm(), true);
		}
		return (request.length() > 0)
				? new TransferEvent.PartReceived(request.chunk(), request.vm(), request.offset() + request.length())
				: new TransferEvent.Verified(request.chunk(), request.vm());
	}

	private List<TransferEffect> apply(TransferEvent event) {
		return this.machine.apply(event, this.now);
	}

	private static List<TransferEffect.Request> requestsTo(Peer peer, List<TransferEffect> effects) {
		return effects.stream()
			.filter(TransferEffect.Request.class::isInstance)
			.map(TransferEffect.Request.class::cast)
			.filter((request) -> request.vm().equals(peer.vm()))
			.toList();
	}

}
