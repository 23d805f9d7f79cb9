package org.wisteriapost.kernel;

/**
 * An unchecked failure that carries a stable {@link Code}.
 */
public final class CodedException extends RuntimeException {

	private final transient Code code;

	private CodedException(Code code, String detail, Throwable cause) {
		super(code.name() + ": " + detail, cause);
		this.code = code;
	}

	/**
	 * Returns a failure with a code and a detail that is safe to show to a caller.
	 */
	public static CodedException of(Code code, String detail) {
		return new CodedException(code, detail, null);
	}

	/**
	 * Returns a failure with a code, a detail and what caused it.
	 */
	public static CodedException of(Code code, String detail, Throwable cause) {
		return new CodedException(code, detail, cause);
	}

	public Code code() {
		return this.code;
	}

}
