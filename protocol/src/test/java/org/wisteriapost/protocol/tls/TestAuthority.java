package org.wisteriapost.protocol.tls;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Base64;
import java.util.Date;

import javax.security.auth.x500.X500Principal;

import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * Issues certificates for tests.
 */
final class TestAuthority {

	private final KeyPair keyPair = generateKeyPair();

	private final X500Principal name;

	private long serial;

	TestAuthority(String name) {
		this.name = new X500Principal("CN=" + name);
	}

	/**
	 * Writes a certificate, its key and this authority into a folder.
	 */
	PemFiles issue(Path folder, String subject) {
		try {
			KeyPair subjectKeys = generateKeyPair();
			PemFiles files = new PemFiles(folder.resolve(subject + ".pem"), folder.resolve(subject + ".key"),
					folder.resolve(subject + "-authority.pem"));
			write(files.certificate(), "CERTIFICATE", certificate(subject, subjectKeys, false).getEncoded());
			write(files.key(), "PRIVATE KEY", subjectKeys.getPrivate().getEncoded());
			write(files.authority(), "CERTIFICATE", certificate(null, this.keyPair, true).getEncoded());
			return files;
		}
		catch (GeneralSecurityException | IOException | OperatorCreationException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private X509Certificate certificate(String subject, KeyPair subjectKeys, boolean authority)
			throws GeneralSecurityException, IOException, OperatorCreationException {
		X500Principal principal = (subject != null) ? new X500Principal("CN=" + subject) : this.name;
		Instant now = Instant.now();
		JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(this.name,
				BigInteger.valueOf(++this.serial), Date.from(now.minus(1, ChronoUnit.DAYS)),
				Date.from(now.plus(1, ChronoUnit.DAYS)), principal, subjectKeys.getPublic());
		builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(authority));
		return new JcaX509CertificateConverter().getCertificate(
				builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(this.keyPair.getPrivate())));
	}

	private static void write(Path file, String kind, byte[] content) throws IOException {
		Files.writeString(file, "-----BEGIN " + kind + "-----\n" + Base64.getMimeEncoder().encodeToString(content)
				+ "\n-----END " + kind + "-----\n");
	}

	private static KeyPair generateKeyPair() {
		try {
			KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
			generator.initialize(256);
			return generator.generateKeyPair();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
