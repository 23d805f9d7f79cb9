package org.wisteriapost.kernel;

/**
 * Where in an operator's file a finding lies.
 *
 * @param file the file's name as the operator gave it
 * @param line counted from 1; 0 when the file as a whole is meant
 * @param section the INI section, empty outside any
 * @param key the key, empty when the section as a whole is meant
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
