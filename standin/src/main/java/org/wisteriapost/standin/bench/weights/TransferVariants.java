package org.wisteriapost.standin.bench.weights;

import java.time.Duration;

import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.policy.transfer.TransferLimits.Design;

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
			case "naive" -> new Builder(base).design(Design.NAIVE).originCopies(Integer.MAX_VALUE).build();
			case "chain" -> new Builder(base).design(Design.CHAIN).originReads(8).perPeer(8).build();
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

		Builder design(Design design) {
			return set(design, this.limits.originCopies(), this.limits.originReads(), this.limits.neighbours(),
					this.limits.outstanding(), this.limits.perPeer());
		}

		Builder originCopies(int copies) {
			return set(this.limits.design(), copies, this.limits.originReads(), this.limits.neighbours(),
					this.limits.outstanding(), this.limits.perPeer());
		}

		Builder originReads(int reads) {
			return set(this.limits.design(), this.limits.originCopies(), reads, this.limits.neighbours(),
					this.limits.outstanding(), this.limits.perPeer());
		}

		Builder neighbours(int neighbours) {
			return set(this.limits.design(), this.limits.originCopies(), this.limits.originReads(), neighbours,
					this.limits.outstanding(), this.limits.perPeer());
		}

		Builder outstanding(int outstanding) {
			return set(this.limits.design(), this.limits.originCopies(), this.limits.originReads(),
					this.limits.neighbours(), outstanding, this.limits.perPeer());
		}

		Builder perPeer(int perPeer) {
			return set(this.limits.design(), this.limits.originCopies(), this.limits.originReads(),
					this.limits.neighbours(), this.limits.outstanding(), perPeer);
		}

		Builder announce(Duration interval) {
			return times(this.limits.progressDeadline(), interval);
		}

		Builder deadline(Duration deadline) {
			return times(deadline, this.limits.announceInterval());
		}

		Builder rarestOf(int value) {
			return flags(value, this.limits.samePlaceFirst(), this.limits.placeReaders());
		}

		Builder samePlaceFirst(boolean value) {
			return flags(this.limits.rarestOf(), value, this.limits.placeReaders());
		}

		Builder placeReaders() {
			return flags(this.limits.rarestOf(), this.limits.samePlaceFirst(), true);
		}

		TransferLimits build() {
			return this.limits;
		}

		private Builder set(Design design, int copies, int reads, int neighbours, int outstanding, int perPeer) {
			this.limits = new TransferLimits(design, copies, reads, neighbours, outstanding, perPeer,
					this.limits.progressDeadline(), this.limits.announceInterval(), this.limits.rarestOf(),
					this.limits.samePlaceFirst(), this.limits.placeReaders());
			return this;
		}

		private Builder times(Duration deadline, Duration announce) {
			TransferLimits old = this.limits;
			this.limits = new TransferLimits(old.design(), old.originCopies(), old.originReads(), old.neighbours(),
					old.outstanding(), old.perPeer(), deadline, announce, old.rarestOf(), old.samePlaceFirst(),
					old.placeReaders());
			return this;
		}

		private Builder flags(int rarest, boolean localFirst, boolean leaders) {
			TransferLimits old = this.limits;
			this.limits = new TransferLimits(old.design(), old.originCopies(), old.originReads(), old.neighbours(),
					old.outstanding(), old.perPeer(), old.progressDeadline(), old.announceInterval(), rarest,
					localFirst, leaders);
			return this;
		}

	}

}
