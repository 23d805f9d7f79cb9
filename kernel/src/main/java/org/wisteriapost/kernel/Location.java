package org.wisteriapost.kernel;

/**
 * Position of a finding in a settings or bundle file.
 *
 * @param file the file name as given by the operator
 * @param line the line, counted from 1; 0 for the whole file
 * @param section the INI section; empty outside all sections
 * @param key the key; empty for the whole section
 */
public record Location(String file, int line, String section, String key) {

	/**
	 * Returns the location of a whole file.
	 */
	public static Location ofFile(String file) {
		return new Location(file, 0, "", "");
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(this.file);
		if (this.line > 0) {
			text.append(':').append(this.line);
		}
		if (!this.section.isEmpty()) {
			text.append(" [").append(this.section).append(']');
		}
		if (!this.key.isEmpty()) {
			text.append(' ').append(this.key);
		}
		return text.toString();
	}

}
