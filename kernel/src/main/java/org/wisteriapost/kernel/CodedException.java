package org.wisteriapost.kernel;

/**
 * Unchecked exception that carries a stable {@link Code}.
 */
public final class CodedException extends RuntimeException {

	private final transient Code code;

	private CodedException(Code code, String detail, Throwable cause) {
		super(code.name() + ": " + detail, cause);
		this.code = code;
	}

	/**
	 * Returns an exception with a code.
	 * @param detail shown to callers, so it must not contain secrets
	 */
	public static CodedException of(Code code, String detail) {
		return new CodedException(code, detail, null);
	}

	/**
	 * Returns an exception with a code and a cause.
	 * @param detail shown to callers, so it must not contain secrets
	 */
	public static CodedException of(Code code, String detail, Throwable cause) {
		return new CodedException(code, detail, cause);
	}

	public Code code() {
		return this.code;
	}

}
