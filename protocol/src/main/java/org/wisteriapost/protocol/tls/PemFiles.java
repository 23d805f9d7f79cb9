package org.wisteriapost.protocol.tls;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import java.util.List;

import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;
import javax.net.ssl.X509ExtendedTrustManager;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;

/**
 * PEM files with a certificate, its private key and the authority that peers are verified
 * against.
 *
 * @param certificate the certificate chain of this process
 * @param key its private key, PKCS#8
 * @param authority the certificates of the authority that must have issued peers'
 * certificates
 */
public record PemFiles(Path certificate, Path key, Path authority) {

	private static final Code TLS_UNREADABLE = Code.error("tls-files-unreadable",
			"A certificate or key file cannot be read or is not PEM.");

	private static final List<String> KEY_ALGORITHMS = List.of("EC", "RSA", "Ed25519");

	private static final char[] NO_PASSWORD = new char[0];

	/**
	 * Returns a key manager for this certificate.
	 */
	X509ExtendedKeyManager keyManager() {
		try {
			KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
			store.load(null, NO_PASSWORD);
			Collection<? extends Certificate> chain = certificates(this.certificate);
			store.setKeyEntry("own", privateKey(), NO_PASSWORD, chain.toArray(Certificate[]::new));
			KeyManagerFactory factory = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
			factory.init(store, NO_PASSWORD);
			for (KeyManager manager : factory.getKeyManagers()) {
				if (manager instanceof X509ExtendedKeyManager found) {
					return found;
				}
			}
			throw new GeneralSecurityException("no X.509 key manager");
		}
		catch (GeneralSecurityException | IOException ex) {
			throw CodedException.of(TLS_UNREADABLE, this.certificate + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns a trust manager that accepts certificates of the authority.
	 */
	X509ExtendedTrustManager trustManager() {
		try {
			KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
			store.load(null, NO_PASSWORD);
			int index = 0;
			for (Certificate one : certificates(this.authority)) {
				store.setCertificateEntry("authority-" + index++, one);
			}
			TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
			factory.init(store);
			for (TrustManager manager : factory.getTrustManagers()) {
				if (manager instanceof X509ExtendedTrustManager found) {
					return found;
				}
			}
			throw new GeneralSecurityException("no X.509 trust manager");
		}
		catch (GeneralSecurityException | IOException ex) {
			throw CodedException.of(TLS_UNREADABLE, this.authority + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the latest modification time of the files in milliseconds since the epoch;
	 * 0 when one is missing, for example while it is being replaced.
	 */
	long lastModifiedMillis() {
		try {
			long latest = 0;
			for (Path file : List.of(this.certificate, this.key, this.authority)) {
				latest = Math.max(latest, Files.getLastModifiedTime(file).toMillis());
			}
			return latest;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private static Collection<? extends Certificate> certificates(Path file)
			throws GeneralSecurityException, IOException {
		return CertificateFactory.getInstance("X.509")
			.generateCertificates(new ByteArrayInputStream(Files.readAllBytes(file)));
	}

	private PrivateKey privateKey() throws IOException, GeneralSecurityException {
		String pem = Files.readString(this.key, StandardCharsets.US_ASCII);
		byte[] bytes = Base64.getMimeDecoder().decode(pem.replaceAll("-----[A-Z ]+-----", ""));
		for (String algorithm : KEY_ALGORITHMS) {
			try {
				return KeyFactory.getInstance(algorithm).generatePrivate(new PKCS8EncodedKeySpec(bytes));
			}
			catch (java.security.spec.InvalidKeySpecException ex) {
				// The encoding names the algorithm, so at most one of these succeeds.
			}
		}
		throw new GeneralSecurityException("not a PKCS#8 key of " + KEY_ALGORITHMS);
	}

}
