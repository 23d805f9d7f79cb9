package org.wisteriapost.policy.bundle;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ApprovalsTests {

	private static final String DIGEST = Digests.sha256("bundle");

	private final KeyPair one = pair();

	private final KeyPair two = pair();

	@Test
	void signaturesOfDifferentKeysCount() {
		Set<String> counted = Approvals.countedOperators(DIGEST, Map.of("a", sign(this.one), "b", sign(this.two)),
				Map.of("a", key(this.one), "b", key(this.two)));
		assertThat(counted, is(Set.of("a", "b")));
	}

	@Test
	void operatorsWithTheSameKeyCountOnce() {
		Set<String> counted = Approvals.countedOperators(DIGEST, Map.of("a", sign(this.one), "b", sign(this.one)),
				Map.of("a", key(this.one), "b", key(this.one)));
		assertThat(counted.size(), is(1));
	}

	@Test
	void signatureOfAnotherKeyOperatorOrDigestDoesNotCount() {
		Map<String, String> keys = Map.of("a", key(this.one));
		assertThat(Approvals.countedOperators(DIGEST, Map.of("a", sign(this.two)), keys), is(Set.of()));
		assertThat(Approvals.countedOperators(DIGEST, Map.of("stranger", sign(this.one)), keys), is(Set.of()));
		assertThat(Approvals.countedOperators(Digests.sha256("other"), Map.of("a", sign(this.one)), keys),
				is(Set.of()));
		assertThat(Approvals.countedOperators(DIGEST, Map.of("a", new byte[3]), keys), is(Set.of()));
	}

	private static byte[] sign(KeyPair pair) {
		return Approvals.sign(DIGEST, Base64.getEncoder().encodeToString(pair.getPrivate().getEncoded()));
	}

	private static String key(KeyPair pair) {
		return Base64.getEncoder().encodeToString(pair.getPublic().getEncoded());
	}

	private static KeyPair pair() {
		try {
			return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
