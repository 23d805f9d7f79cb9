package org.wisteriapost.standin.bench.weights;

import java.time.Duration;

import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.policy.transfer.TransferLimits.Distribution;

/**
 * Parses names of transfer designs and their variants.
 */
final class TransferVariants {

	private TransferVariants() {
	}

	/**
	 * Returns the limits of a design with its variants, for example
	 * {@code swarm+degree24}.
	 */
	static TransferLimits parse(String name) {
		String[] parts = name.split("\\+");
		TransferLimits limits = baseLimits(parts[0]);
		for (int i = 1; i < parts.length; i++) {
			limits = withVariant(limits, parts[i]);
		}
		return limits;
	}

	private static TransferLimits baseLimits(String name) {
		TransferLimits base = TransferLimits.standard();
		return switch (name) {
			case "naive" -> new Builder(base).design(Distribution.NAIVE).originCopies(Integer.MAX_VALUE).build();
			case "chain" -> new Builder(base).design(Distribution.CHAIN).originReads(8).perPeer(8).build();
			case "swarm", "peers" -> base;
			default -> throw new IllegalArgumentException("unknown design: " + name);
		};
	}

	private static TransferLimits withVariant(TransferLimits limits, String variant) {
		Builder builder = new Builder(limits);
		String digits = variant.replaceAll("[^0-9]", "");
		int number = digits.isEmpty() ? 0 : Integer.parseInt(digits);
		switch (variant.replaceAll("[0-9]", "")) {
			case "rarest" -> builder.rarestOf(number);
			case "anyplace" -> builder.samePlaceFirst(false);
			case "readers" -> builder.placeReaders();
			case "copies" -> builder.originCopies(number);
			case "reads" -> builder.originReads(number);
			case "degree" -> builder.neighbours(number);
			case "out" -> builder.outstanding(number);
			case "each" -> builder.perPeer(number);
			case "tell" -> builder.announce(Duration.ofMillis(number));
			case "deadline" -> builder.deadline(Duration.ofMillis(number));
			default -> throw new IllegalArgumentException("unknown variant: " + variant);
		}
		return builder.build();
	}

	private static final class Builder {

		private TransferLimits limits;

		Builder(TransferLimits limits) {
			this.limits = limits;
		}

		Builder design(Distribution design) {
			return set(design, this.limits.originReadersPerChunk(), this.limits.maxOriginReads(),
					this.limits.maxPeers(), this.limits.maxChunksInProgress(), this.limits.maxChunksPerPeer());
		}

		Builder originCopies(int copies) {
			return set(this.limits.distribution(), copies, this.limits.maxOriginReads(), this.limits.maxPeers(),
					this.limits.maxChunksInProgress(), this.limits.maxChunksPerPeer());
		}

		Builder originReads(int reads) {
			return set(this.limits.distribution(), this.limits.originReadersPerChunk(), reads, this.limits.maxPeers(),
					this.limits.maxChunksInProgress(), this.limits.maxChunksPerPeer());
		}

		Builder neighbours(int neighbours) {
			return set(this.limits.distribution(), this.limits.originReadersPerChunk(), this.limits.maxOriginReads(),
					neighbours, this.limits.maxChunksInProgress(), this.limits.maxChunksPerPeer());
		}

		Builder outstanding(int outstanding) {
			return set(this.limits.distribution(), this.limits.originReadersPerChunk(), this.limits.maxOriginReads(),
					this.limits.maxPeers(), outstanding, this.limits.maxChunksPerPeer());
		}

		Builder perPeer(int perPeer) {
			return set(this.limits.distribution(), this.limits.originReadersPerChunk(), this.limits.maxOriginReads(),
					this.limits.maxPeers(), this.limits.maxChunksInProgress(), perPeer);
		}

		Builder announce(Duration interval) {
			return times(this.limits.minTimeout(), interval);
		}

		Builder deadline(Duration deadline) {
			return times(deadline, this.limits.announceInterval());
		}

		Builder rarestOf(int value) {
			return flags(value, this.limits.preferSameFailureDomain(), this.limits.oneFetcherPerFailureDomain());
		}

		Builder samePlaceFirst(boolean value) {
			return flags(this.limits.rarestSampleSize(), value, this.limits.oneFetcherPerFailureDomain());
		}

		Builder placeReaders() {
			return flags(this.limits.rarestSampleSize(), this.limits.preferSameFailureDomain(), true);
		}

		TransferLimits build() {
			return this.limits;
		}

		private Builder set(Distribution design, int copies, int reads, int neighbours, int outstanding, int perPeer) {
			this.limits = new TransferLimits(design, copies, reads, neighbours, outstanding, perPeer,
					this.limits.minTimeout(), this.limits.announceInterval(), this.limits.rarestSampleSize(),
					this.limits.preferSameFailureDomain(), this.limits.oneFetcherPerFailureDomain());
			return this;
		}

		private Builder times(Duration deadline, Duration announce) {
			TransferLimits old = this.limits;
			this.limits = new TransferLimits(old.distribution(), old.originReadersPerChunk(), old.maxOriginReads(),
					old.maxPeers(), old.maxChunksInProgress(), old.maxChunksPerPeer(), deadline, announce,
					old.rarestSampleSize(), old.preferSameFailureDomain(), old.oneFetcherPerFailureDomain());
			return this;
		}

		private Builder flags(int rarest, boolean localFirst, boolean leaders) {
			TransferLimits old = this.limits;
			this.limits = new TransferLimits(old.distribution(), old.originReadersPerChunk(), old.maxOriginReads(),
					old.maxPeers(), old.maxChunksInProgress(), old.maxChunksPerPeer(), old.minTimeout(),
					old.announceInterval(), rarest, localFirst, leaders);
			return this;
		}

	}

}
