package org.wisteriapost.policy.bundle;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;

/**
 * Signs and verifies operators' approvals: Ed25519 signatures of the ASCII bytes of a
 * bundle's digest.
 */
public final class Approvals {

	private static final Code KEY_UNREADABLE = Code.error("key-unreadable", "A key is not base64 of an Ed25519 key.");

	private static final String ALGORITHM = "Ed25519";

	private Approvals() {
	}

	/**
	 * Returns the signature of a digest.
	 * @param privateKey the private key in PKCS#8 form, base64
	 */
	public static byte[] sign(String digest, String privateKey) {
		try {
			PrivateKey key = KeyFactory.getInstance(ALGORITHM)
				.generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(privateKey.trim())));
			Signature signature = Signature.getInstance(ALGORITHM);
			signature.initSign(key);
			signature.update(digest.getBytes(StandardCharsets.US_ASCII));
			return signature.sign();
		}
		catch (GeneralSecurityException | IllegalArgumentException ex) {
			throw CodedException.of(KEY_UNREADABLE, "private key", ex);
		}
	}

	/**
	 * Returns whether a signature of a digest was made with the private key that belongs
	 * to a public key. Returns false for a malformed signature or key.
	 * @param publicKey the public key in X.509 form, base64
	 */
	public static boolean valid(String digest, byte[] signature, String publicKey) {
		try {
			PublicKey key = KeyFactory.getInstance(ALGORITHM)
				.generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(publicKey.trim())));
			Signature verifier = Signature.getInstance(ALGORITHM);
			verifier.initVerify(key);
			verifier.update(digest.getBytes(StandardCharsets.US_ASCII));
			return verifier.verify(signature);
		}
		catch (GeneralSecurityException | IllegalArgumentException ex) {
			return false;
		}
	}

	/**
	 * Returns the operators whose approval of a digest counts. Operators with the same
	 * key count once; otherwise one person with two names could approve alone.
	 * @param signatures the signatures by operator
	 * @param publicKeys the base64 public keys of the configured operators, by name
	 */
	public static Set<String> countedOperators(String digest, Map<String, byte[]> signatures,
			Map<String, String> publicKeys) {
		Set<String> keys = new HashSet<>();
		Set<String> operators = new HashSet<>();
		signatures.forEach((operator, signature) -> {
			String key = publicKeys.get(operator);
			if (key != null && valid(digest, signature, key) && keys.add(key.trim())) {
				operators.add(operator);
			}
		});
		return operators;
	}

}
