package org.wisteriapost.policy.transfer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;

import static org.hamcrest.MatcherAssert.assertThat;

class CrossDomainRequestsTests {

	private static final int CHUNKS = 64;

	private static final long TIMEOUT = Duration.ofMillis(600).toNanos();

	// The minimum wait for a chunk to be relayed within the failure domain; requested
	// sooner, it crosses between failure domains twice.
	private static final long MIN_WAIT = Duration.ofMillis(1500).toNanos();

	private final ChunkIndex chunks = ChunkIndex.of(List.of(new WeightFile("lm", "2", "lm/2", "2", CHUNKS * 10L, 10,
			IntStream.range(0, CHUNKS).mapToObj((i) -> Digests.sha256(("chunk" + i).getBytes())).toList())));

	private static List<Peer> peers() {
		return List.of(new Peer("a", "here"), new Peer("b", "here"), new Peer("c", "here"), new Peer("d", "there"));
	}

	private CrossDomainRequests requests(Peer self, Set<String> failing) {
		CrossDomainRequests requests = new CrossDomainRequests(this.chunks, self);
		requests.update(peers().stream().filter((peer) -> !peer.equals(self)).toList(), failing);
		return requests;
	}

	// Each chunk crosses the link between failure domains once, so exactly one of three
	// VMs may request it from outside.
	@Test
	void eachChunkIsFetchedByOneVmOfAFailureDomain() {
		List<BitSet> allowed = new ArrayList<>();
		peers().stream()
			.filter((peer) -> peer.failureDomain().equals("here"))
			.forEach((peer) -> allowed.add(requests(peer, Set.of()).allowed()));
		for (int chunk = 0; chunk < CHUNKS; chunk++) {
			int at = chunk;
			assertThat(allowed.stream().filter((bits) -> bits.get(at)).count(), Matchers.equalTo(1L));
		}
	}

	@Test
	void chunksOfFailingVmsAreFetchedByTheOthers() {
		BitSet allowed = requests(new Peer("a", "here"), Set.of("b", "c")).allowed();
		assertThat(allowed.cardinality(), Matchers.equalTo(CHUNKS));
	}

	// The VM that should fetch a chunk is unreachable and not yet known to be; the
	// others wait no longer than the bound.
	@Test
	void chunkHeldElsewhereIsFetchedAfterTheWait() {
		CrossDomainRequests requests = requests(new Peer("a", "here"), Set.of());
		ChunkSelector selector = new ChunkSelector(CHUNKS, TransferLimits.standard(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(1));
		BitSet all = new BitSet();
		all.set(0, CHUNKS);
		selector.addHolder(all);
		requests.tick(all, selector, 0, TIMEOUT);
		assertThat(requests.allowed().cardinality(), Matchers.lessThan(CHUNKS));
		requests.tick(all, selector, MIN_WAIT - 1, TIMEOUT);
		assertThat(requests.allowed().cardinality(), Matchers.lessThan(CHUNKS));
		requests.tick(all, selector, MIN_WAIT + 1, TIMEOUT);
		assertThat(requests.allowed().cardinality(), Matchers.equalTo(CHUNKS));
	}

}
